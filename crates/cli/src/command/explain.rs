//! `chestnutdrift explain`.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use anyhow::{Context as _, bail};
use serde_json::Value;

use super::Context;

/// One line of a log, with what it is sorted by.
struct LogLine {
    /// The stamp on the time line: wall time and count.
    stamp: (u64, u64),
    line: Value,
}

/// Reads the lines of logs whose subject or message names `id`, in the order of the time line.
///
/// Lines that are not JSON are left out: programs beside chestnutdrift write to the same output.
fn find(id: &str, files: &[String]) -> anyhow::Result<Vec<LogLine>> {
    let mut found = Vec::new();
    for path in files {
        let path = Path::new(path);
        let file = File::open(path).with_context(|| format!("{} can't be read", path.display()))?;
        for line in BufReader::new(file).lines() {
            let line = line.with_context(|| format!("{} can't be read", path.display()))?;
            // Collectors put a time and a host before the line.
            let Some(start) = line.find('{') else { continue };
            let Ok(value) = serde_json::from_str::<Value>(&line[start..]) else { continue };
            if names(&value, id) {
                let stamp = (number(&value, "stamp_ms"), number(&value, "stamp_count"));
                found.push(LogLine { stamp, line: value });
            }
        }
    }
    found.sort_by_key(|line| line.stamp);
    Ok(found)
}

/// Prints what logs say of a request, job, upstream or host.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let Some((id, files)) = cx.matches.free.split_first() else {
        bail!("name what is to be explained, and the log files of the hosts");
    };
    if files.is_empty() {
        bail!("name the log files of the hosts that may have had {id}");
    }
    let found = find(id, files)?;
    if found.is_empty() {
        bail!("no line of these logs speaks of {id}; try the logs of the other hosts");
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

fn names(line: &Value, id: &str) -> bool {
    text(line, "subject") == id || text(line, "message").split([' ', '=', ',']).any(|w| w == id)
}

fn number(line: &Value, key: &str) -> u64 {
    line.get(key).and_then(Value::as_u64).unwrap_or_default()
}

fn text<'a>(line: &'a Value, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}
