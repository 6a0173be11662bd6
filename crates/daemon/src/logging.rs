//! Structured logs: one JSON line per event, by `log` with `fern`.
//!
//! Lines are handed to a thread of their own over a bounded channel, so that nobody waits for the
//! file. Where the channel is full, or more lines come in a second than `LINES_PER_SECOND`, lines
//! are left out, and a line says how many.

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

/// Lines that may wait to be written.
const LINES_WAITING: usize = 4_096;

/// Lines written in a second at most; the busiest host of a deployment writes a fifth of it.
const LINES_PER_SECOND: u64 = 1_000;

/// How long lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);

/// Bytes gathered at most.
const GATHER_BYTES: usize = 64 * 1024;

/// How long a program that ends waits until its last lines are written.
const LAST_LINES: Duration = Duration::from_secs(2);

/// What the thread that writes is told.
enum Job {
    /// Write a line, together with those that come soon after it.
    Line(Value),
    /// Write what has come so far and say so.
    Flush(Sender<()>),
}

/// The way to the thread that writes.
static WRITER: OnceLock<Sender<Job>> = OnceLock::new();

/// Lines left out since the last line that told so.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Where the log goes and how much of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The least important level that is written.
    pub level: LevelFilter,
    /// The file; standard output where there is none.
    pub file: Option<PathBuf>,
}

/// Starts the log of this process.
///
/// # Errors
///
/// Returns an error where the file can't be opened or a log was started before.
pub fn start(settings: &LogSettings) -> anyhow::Result<()> {
    let out: Box<dyn Write + Send> = match &settings.file {
        Some(path) => {
            let file = fern::log_file(path)
                .with_context(|| format!("log file {} can't be opened", path.display()))?;
            Box::new(file)
        }
        None => Box::new(std::io::stdout()),
    };
    let (tx, rx) = channel::bounded(LINES_WAITING);
    std::thread::Builder::new().name("log".into()).spawn(move || write_lines(out, &rx))?;
    let writer = WRITER.get_or_init(|| tx);
    let hand_over = fern::Output::call(|record| {
        if writer.try_send(Job::Line(line(record.args(), record))).is_err() {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
    });
    let dispatch = fern::Dispatch::new().level(settings.level).chain(hand_over);
    dispatch.apply().context("a log was started before")
}

/// Logs how a program ended, waits until the last lines are written, and returns its exit code.
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
    let asked = WRITER.get().is_some_and(|writer| writer.send(Job::Flush(done)).is_ok());
    if asked && written.recv_timeout(LAST_LINES).is_err() {
        eprintln!("the last lines of the log are not written");
    }
    code
}

/// Writes lines, many at a time.
fn write_lines(mut out: Box<dyn Write + Send>, jobs: &Receiver<Job>) {
    let mut window = (Instant::now(), 0);
    while let Ok(first) = jobs.recv() {
        let mut buf = Vec::new();
        let mut flushed = None;
        let until = Instant::now() + GATHER;
        let mut job = Some(first);
        while let Some(next) = job {
            match next {
                Job::Line(line) => push(&mut buf, &mut window, &line),
                Job::Flush(done) => {
                    flushed = Some(done);
                    break;
                }
            }
            let full = buf.len() >= GATHER_BYTES;
            job = if full { None } else { jobs.recv_deadline(until).ok() };
        }
        let left_out = LEFT_OUT.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let wall_ms = clock::wall().0;
            let line = serde_json::json!({
                "wall_ms": wall_ms, "level": "warn", "event": "log-lines-left-out",
                "lines": left_out,
            });
            append(&mut buf, &line);
        }
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(done) = flushed {
            // Whoever asked may have stopped waiting.
            let _ = done.send(());
        }
    }
}

/// Adds a line, unless this second has had its share.
fn push(buf: &mut Vec<u8>, window: &mut (Instant, u64), line: &Value) {
    if window.0.elapsed() >= Duration::from_secs(1) {
        *window = (Instant::now(), 0);
    }
    window.1 += 1;
    if window.1 > LINES_PER_SECOND {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        return;
    }
    append(buf, line);
}

fn append(buf: &mut Vec<u8>, line: &Value) {
    buf.extend_from_slice(line.to_string().as_bytes());
    buf.push(b'\n');
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
