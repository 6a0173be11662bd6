//! Structured logs: one JSON line per event, written with `log` and `fern`.
//!
//! A separate thread receives the lines over a bounded channel and writes them, so that no other
//! thread blocks on the file. Lines are dropped where the channel is full, or where more come in a
//! second than `MAX_LINES_PER_SECOND`; a line then reports how many.

use std::fmt::Arguments;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use crossbeam::channel::{self, Receiver, Sender};
use log::{LevelFilter, Record, kv};
use serde_json::{Map, Value};

use crate::clock;

/// The capacity of the queue of lines.
const MAX_QUEUED_LINES: usize = 4_096;

/// The maximum number of lines written in a second; the busiest host of a deployment writes a fifth
/// of it.
const MAX_LINES_PER_SECOND: u64 = 1_000;

/// How long lines are collected before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The size of a batch, in bytes, at which it is written before the interval ends.
const MAX_BATCH_BYTES: usize = 8 * 1024;

/// How long a program that ends waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A message to the log thread.
enum Job {
    /// Write a line, in a batch with those that follow within the interval.
    Line(Value),
    /// Write all lines queued so far, then confirm on the channel.
    Flush(Sender<()>),
}

/// The queue of the log thread.
static WRITER: OnceLock<Sender<Job>> = OnceLock::new();

/// The number of lines dropped since it was last reported.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The destination and level of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// The file; `None` for standard output.
    pub file: Option<PathBuf>,
}

/// Starts the log of this process.
///
/// # Errors
///
/// Returns an error if the file can't be opened or a log has been started before.
pub fn start(settings: &LogSettings) -> anyhow::Result<()> {
    let out: Box<dyn Write + Send> = match &settings.file {
        Some(path) => {
            let file = fern::log_file(path)
                .with_context(|| format!("log file {} can't be opened", path.display()))?;
            Box::new(file)
        }
        None => Box::new(std::io::stdout()),
    };
    let (tx, rx) = channel::bounded(MAX_QUEUED_LINES);
    std::thread::Builder::new().name("log".into()).spawn(move || write_lines(out, &rx))?;
    let writer = WRITER.get_or_init(|| tx);
    let enqueue = fern::Output::call(|record| {
        if writer.try_send(Job::Line(json_line(record.args(), record))).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    let dispatch = fern::Dispatch::new().level(settings.level).chain(enqueue);
    dispatch.apply().context("a log was started before")
}

/// Logs the error that ended a program, if any, waits until the last lines are written, and returns
/// the exit code.
#[must_use]
pub fn finish(ran: anyhow::Result<()>) -> ExitCode {
    let code = match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(event = "failed"; "{error:#}");
            ExitCode::FAILURE
        }
    };
    let (done, written) = channel::bounded(1);
    let flush_requested = WRITER.get().is_some_and(|writer| writer.send(Job::Flush(done)).is_ok());
    if flush_requested && written.recv_timeout(FLUSH_TIMEOUT).is_err() {
        eprintln!("the last lines of the log were not written within {FLUSH_TIMEOUT:?}");
    }
    code
}

/// Writes lines in batches.
fn write_lines(mut out: Box<dyn Write + Send>, jobs: &Receiver<Job>) {
    let mut window = (Instant::now(), 0);
    while let Ok(first) = jobs.recv() {
        let mut buf = Vec::new();
        let mut flush_done = None;
        let deadline = Instant::now() + BATCH_INTERVAL;
        let mut job = Some(first);
        while let Some(next) = job {
            match next {
                Job::Line(line) => push_within_rate(&mut buf, &mut window, &line),
                Job::Flush(done) => {
                    flush_done = Some(done);
                    break;
                }
            }
            let full = buf.len() >= MAX_BATCH_BYTES;
            job = if full { None } else { jobs.recv_deadline(deadline).ok() };
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let wall_ms = clock::wall().0;
            let line = serde_json::json!({
                "wall_ms": wall_ms, "level": "warn", "event": "log-lines-left-out",
                "lines": dropped,
            });
            append(&mut buf, &line);
        }
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(done) = flush_done {
            // The receiver is gone where the flush has timed out.
            let _ = done.send(());
        }
    }
}

/// Adds a line, or drops it where the limit of this second has been reached.
fn push_within_rate(buf: &mut Vec<u8>, window: &mut (Instant, u64), line: &Value) {
    if window.0.elapsed() >= Duration::from_secs(1) {
        *window = (Instant::now(), 0);
    }
    window.1 += 1;
    if window.1 > MAX_LINES_PER_SECOND {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        return;
    }
    append(buf, line);
}

fn append(buf: &mut Vec<u8>, line: &Value) {
    buf.extend_from_slice(line.to_string().as_bytes());
    buf.push(b'\n');
}

fn json_line(message: &Arguments<'_>, record: &Record<'_>) -> Value {
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
