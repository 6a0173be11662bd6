//! `chestnutdrift timeline`.

use std::collections::BTreeMap;

use chestnutdrift_core::HostId;
use chestnutdrift_core::timeline::TimelineEvent;
use getopts::Options;

use super::Context;
use crate::table;

/// Returns the options of the command.
pub(super) fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "subject", "only events whose subject holds this text", "TEXT");
    options.optopt("", "kind", "only events of this kind", "KIND");
    options.optopt("", "on", "only events of this host", "HOST");
    options
}

/// Prints the events of all hosts in one list, sorted by stamp.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let mut names: BTreeMap<HostId, Box<str>> = BTreeMap::new();
    let mut events = Vec::new();
    for reply in cx.fleet.get_from_all::<Vec<TimelineEvent>>("/v1/operator/timeline")? {
        names.insert(reply.host.id, reply.host.name.clone());
        match reply.answer {
            Ok(found) => events.extend(found),
            Err(error) => eprintln!("{}: {error:#}", reply.host.name),
        }
    }
    events.retain(|event| is_selected(cx, event, names.get(&event.host).map(|name| &**name)));
    events.sort_by_key(|event| (event.stamp, event.host));
    if cx.json {
        return cx.print_json(&events);
    }
    let mut rows = Vec::new();
    for event in &events {
        rows.push(vec![
            format!("{}.{}", event.stamp.wall.0, event.stamp.count),
            names.get(&event.host).map_or_else(String::new, ToString::to_string),
            kind_name(event),
            event.subject.to_string(),
            event.detail.to_string(),
        ]);
    }
    if rows.is_empty() {
        println!("no such events");
        return Ok(());
    }
    for row in &mut rows {
        row[4] = row[4].replace('\n', " ");
    }
    table::print_rows(&rows);
    Ok(())
}

/// Returns the serialized name of the event's kind, which `--kind` matches.
fn kind_name(event: &TimelineEvent) -> String {
    let value = serde_json::to_value(event.kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}

/// Returns whether an event passes the filters of the command line.
fn is_selected(cx: &Context, event: &TimelineEvent, host: Option<&str>) -> bool {
    let subject = cx.matches.opt_str("subject").is_none_or(|text| event.subject.contains(&text));
    let kind = cx.matches.opt_str("kind").is_none_or(|kind| kind_name(event) == kind);
    let on = cx.matches.opt_str("on").is_none_or(|name| host.is_some_and(|host| host == name));
    subject && kind && on
}
