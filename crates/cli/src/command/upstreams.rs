//! `chestnutdrift upstreams`.

use chestnutdrift_core::action::UpstreamReport;

use super::Context;
use crate::table;

/// Prints the upstreams, one row for each host that reports them.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let answers = cx.fleet.get_from_all::<Vec<UpstreamReport>>("/v1/operator/upstreams")?;
    let mut rows = Vec::new();
    let mut all = Vec::new();
    for reply in answers {
        let host = reply.host;
        let reports = match reply.answer {
            Ok(reports) => reports,
            Err(error) => {
                eprintln!("{}: {error:#}", host.name);
                continue;
            }
        };
        for report in &reports {
            rows.push(vec![
                host.zone.to_string(),
                report.name.to_string(),
                report.service.to_string(),
                report.version.to_string(),
                report.state.to_string(),
                host.name.to_string(),
                format!("{}/{}", report.in_flight, report.limit),
            ]);
        }
        all.push((host.name, reports));
    }
    if cx.json {
        return cx.print_json(&all);
    }
    rows.sort();
    let header = ["zone", "upstream", "service", "version", "state", "seen by", "in flight"];
    table::print(&header, &rows);
    Ok(())
}
