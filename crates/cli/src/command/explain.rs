//! `chestnutdrift explain`.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use anyhow::{Context as _, bail};
use serde_json::Value;

use super::Context;

/// A log line with its sort key.
struct LogLine {
    /// The time-line stamp: wall time in milliseconds, then the count within it.
    stamp: (u64, u64),
    line: Value,
}

/// Returns the log lines whose subject or message names `id`, sorted by stamp.
///
/// Lines that are not JSON are skipped: other programs may write to the same output.
///
/// # Errors
///
/// Returns an error where a file can't be read.
fn find_lines(id: &str, files: &[String]) -> anyhow::Result<Vec<LogLine>> {
    let mut found = Vec::new();
    for path in files {
        let path = Path::new(path);
        let file = File::open(path).with_context(|| format!("{} can't be read", path.display()))?;
        for line in BufReader::new(file).lines() {
            let line = line.with_context(|| format!("{} can't be read", path.display()))?;
            // Log collectors prefix the JSON with a time and a host.
            let Some(start) = line.find('{') else { continue };
            let Ok(value) = serde_json::from_str::<Value>(&line[start..]) else { continue };
            if names_id(&value, id) {
                let stamp = (number(&value, "stamp_ms"), number(&value, "stamp_count"));
                found.push(LogLine { stamp, line: value });
            }
        }
    }
    found.sort_by_key(|line| line.stamp);
    Ok(found)
}

/// Prints the log lines about a request, job, upstream or host.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let Some((id, files)) = cx.matches.free.split_first() else {
        bail!("name the request, job, upstream or host to explain, and the log files of the hosts");
    };
    if files.is_empty() {
        bail!("name the log files of the hosts that may have handled {id}");
    }
    let found = find_lines(id, files)?;
    if found.is_empty() {
        bail!("no line of these logs names {id}; try the logs of the other hosts");
    }
    for LogLine { line, .. } in found {
        if cx.json {
            println!("{line}");
            continue;
        }
        println!(
            "{} host={} {} {} {}",
            number(&line, "stamp_ms"),
            number(&line, "host"),
            text(&line, "event"),
            text(&line, "subject"),
            text(&line, "message")
        );
    }
    Ok(())
}

/// Returns whether the subject is `id`, or the message has it as a word.
fn names_id(line: &Value, id: &str) -> bool {
    text(line, "subject") == id
        || text(line, "message").split([' ', '=', ',']).any(|word| word == id)
}

fn number(line: &Value, key: &str) -> u64 {
    line.get(key).and_then(Value::as_u64).unwrap_or_default()
}

fn text<'a>(line: &'a Value, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}
