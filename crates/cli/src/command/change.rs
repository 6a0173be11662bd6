//! `chestnutdrift change`.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use chestnutdrift_core::action::SettingsReport;
use chestnutdrift_wire::api::operator::{ChangeAnswer, ChangeBody, EditBody};
use getopts::Options;

use super::Context;
use crate::change_file;

/// How long the command waits for a change to come into force.
const WAIT: Duration = Duration::from_secs(30);

/// The time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Returns the options.
pub(super) fn options() -> Options {
    let mut options = Options::new();
    options.reqopt("", "id", "a name for the change; sent again it gets the first answer", "ID");
    options.reqopt("", "by", "who proposes it", "NAME");
    options.optopt("", "base", "the version seen; the one in force where left out", "N");
    options.optopt("", "scope", "zone:NAME, host:NAME or service:NAME", "SCOPE");
    options.optopt("", "reason", "why; needed for an exception", "TEXT");
    options.optopt("", "file", "an INI file of edits", "FILE");
    options
}

/// Proposes a change and waits until it is in force.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let base = match cx.matches.opt_str("base") {
        Some(text) => text.parse().with_context(|| format!("--base {text}"))?,
        None => cx.fleet.get::<SettingsReport>("/v1/operator/settings")?.version,
    };
    let edits = match cx.matches.opt_str("file") {
        Some(file) => change_file::read(Path::new(&file))?,
        None => edits(cx)?,
    };
    let id = cx.matches.opt_str("id").unwrap_or_default().into();
    let by = cx.matches.opt_str("by").unwrap_or_default().into();
    let change = ChangeBody { id, base_version: base, author: by, edits };
    let answer: ChangeAnswer = cx.fleet.post("/v1/operator/changes", &change, &[200, 409])?;
    if cx.json {
        cx.print_json(&answer)?;
    }
    if !answer.accepted {
        let winner = answer.conflicting_change.unwrap_or_default();
        bail!(
            "version {base} has been passed: change {winner} was accepted first, version {} is \
             in force; read it with `chestnutdrift settings` and propose again under a new id",
            answer.version
        );
    }
    wait_in_force(cx, answer.version)
}

fn edits(cx: &Context) -> anyhow::Result<Vec<EditBody>> {
    let mut edits = Vec::new();
    for text in &cx.matches.free {
        let (key, value) =
            text.split_once('=').with_context(|| format!("{text} is not KEY=VALUE"))?;
        let value = match value {
            "" | "default" => None,
            number => Some(number.parse().with_context(|| format!("{text}: no whole number"))?),
        };
        edits.push(EditBody {
            key: key.into(),
            value,
            scope: cx.matches.opt_str("scope").map(Into::into),
            reason: cx.matches.opt_str("reason").unwrap_or_default().into(),
        });
    }
    Ok(edits)
}

fn wait_in_force(cx: &Context, version: u64) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let asked = cx.fleet.ask_all::<SettingsReport>("/v1/operator/settings")?;
        let count = asked.len();
        let mut behind = Vec::new();
        for asked in asked {
            if asked.answer.is_ok_and(|report| report.version >= version) {
                continue;
            }
            behind.push(asked.host.name.to_string());
        }
        let there = count - behind.len();
        if !cx.json {
            println!("version {version} in force on {there} of {count} hosts");
        }
        if behind.is_empty() {
            return Ok(());
        }
        if start.elapsed() > WAIT {
            bail!("accepted, but not in force after {WAIT:?} on {}", behind.join(", "));
        }
        std::thread::sleep(LOOK_EVERY);
    }
}
