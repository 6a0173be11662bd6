//! `chestnutdrift settings`.

use chestnutdrift_core::action::SettingsReport;
use getopts::Options;

use super::Context;
use crate::table;

/// Returns the options of the command.
pub(super) fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "service", "the values for this service", "NAME");
    options.optflag("", "all", "built-in values too");
    options
}

/// Prints the settings in force on each host.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let service = cx.matches.opt_str("service");
    let query = service.map_or_else(String::new, |service| format!("?service={service}"));
    let answers =
        cx.fleet.get_from_all::<SettingsReport>(&format!("/v1/operator/settings{query}"))?;
    if cx.json {
        let reports: Vec<&SettingsReport> =
            answers.iter().filter_map(|reply| reply.answer.as_ref().ok()).collect();
        return cx.print_json(&reports);
    }
    let mut rows = Vec::new();
    for reply in &answers {
        match &reply.answer {
            Ok(report) => rows.extend(report_rows(cx, report)),
            Err(error) => rows.push(vec![reply.host.name.to_string(), format!("{error:#}")]),
        }
    }
    table::print(&["host", "version", "since", "setting", "value", "from", "reason"], &rows);
    Ok(())
}

/// Returns the table rows of one host; built-in values are left out without `--all`.
fn report_rows(cx: &Context, report: &SettingsReport) -> Vec<Vec<String>> {
    let prefix = [report.host.to_string(), report.version.to_string(), report.since.0.to_string()];
    let mut rows = Vec::new();
    for effective in &report.effective {
        if &*effective.source == "built-in" && !cx.matches.opt_present("all") {
            continue;
        }
        let mut row = prefix.to_vec();
        row.push(effective.key.name().into());
        row.push(effective.value.to_string());
        row.push(effective.source.to_string());
        row.push(effective.reason.to_string());
        rows.push(row);
    }
    if rows.is_empty() {
        let mut row = prefix.to_vec();
        row.push("(all built-in)".into());
        rows.push(row);
    }
    rows
}
