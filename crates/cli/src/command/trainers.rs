//! `chestnutdrift trainers`.

use std::collections::BTreeMap;

use chestnutdrift_core::action::TrainerReport;

use super::Context;
use crate::table;

/// Prints the trainers.
///
/// Several hosts may report the same trainer; the report with the highest acknowledged count is the
/// newest, and is the one that is shown.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let mut trainers: BTreeMap<Box<str>, (Box<str>, TrainerReport)> = BTreeMap::new();
    for reply in cx.fleet.get_from_all::<Vec<TrainerReport>>("/v1/operator/trainers")? {
        for report in reply.answer.unwrap_or_default() {
            let newer = trainers
                .get(&report.name)
                .is_none_or(|(_, known)| report.counts.acknowledged >= known.counts.acknowledged);
            if newer {
                trainers.insert(report.name.clone(), (reply.host.zone.clone(), report));
            }
        }
    }
    if cx.json {
        return cx.print_json(&trainers);
    }
    let mut rows = Vec::new();
    for (zone, report) in trainers.values() {
        let counts = report.counts;
        let numbers = [
            report.version,
            counts.submitted,
            report.ready,
            report.delivered,
            counts.acknowledged,
            counts.stale,
            counts.failed,
        ];
        let mut row = vec![report.name.to_string(), zone.to_string(), report.service.to_string()];
        row.extend(numbers.iter().map(ToString::to_string));
        rows.push(row);
    }
    let header = [
        "trainer",
        "zone",
        "service",
        "version",
        "submitted",
        "ready",
        "delivered",
        "acknowledged",
        "stale",
        "failed",
    ];
    table::print(&header, &rows);
    Ok(())
}
