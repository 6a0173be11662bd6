//! Structured logs: one JSON line per event, by `log` with `fern`.

use std::fmt::Arguments;
use std::path::PathBuf;

use anyhow::Context;
use log::{LevelFilter, Record, kv};
use serde_json::{Map, Value};

use crate::clock;

/// Where the log goes and how much of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The least important level that is written.
    pub level: LevelFilter,
    /// The file; standard error where there is none.
    pub file: Option<PathBuf>,
}

/// Starts the log of this process.
///
/// # Errors
///
/// Returns an error where the file can't be opened or a log was started before.
pub fn start(settings: &LogSettings) -> anyhow::Result<()> {
    let dispatch = fern::Dispatch::new().level(settings.level).format(|out, message, record| {
        out.finish(format_args!("{}", line(message, record)));
    });
    let dispatch = match &settings.file {
        Some(path) => {
            let file = fern::log_file(path)
                .with_context(|| format!("log file {} can't be opened", path.display()))?;
            dispatch.chain(file)
        }
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().context("a log was started before")
}

fn line(message: &Arguments<'_>, record: &Record<'_>) -> Value {
    let mut fields = Fields(Map::new());
    fields.0.insert("wall_ms".into(), clock::wall().0.into());
    fields.0.insert("level".into(), record.level().as_str().to_lowercase().into());
    let _ = record.key_values().visit(&mut fields);
    fields.0.insert("message".into(), message.to_string().into());
    Value::Object(fields.0)
}

struct Fields(Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
