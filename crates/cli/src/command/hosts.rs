//! `chestnutdrift hosts`.

use super::Context;
use crate::table;

/// Prints the hosts, as the entry host reports them.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let hosts = cx.fleet.hosts()?;
    if cx.json {
        return cx.print_json(&hosts);
    }
    let mut rows = Vec::new();
    for host in &hosts {
        rows.push(vec![
            host.name.to_string(),
            host.zone.to_string(),
            host.http.to_string(),
            if host.disk { "yes" } else { "no" }.into(),
            host.state.to_string(),
            host.leads.join(", "),
        ]);
    }
    table::print(&["host", "zone", "http", "disk", "state", "leads"], &rows);
    Ok(())
}
