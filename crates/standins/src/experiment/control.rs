//! The cost of control messages alone on a host, by the number of hosts.

use std::path::Path;
use std::time::Duration;

use crate::experiment::usage;
use crate::fleet::{Fleet, FleetPlan};

const READY_TIMEOUT: Duration = Duration::from_secs(60);
const MEASURE_TIME: Duration = Duration::from_secs(15);

/// The number of zones and of hosts in each.
const FLEET_SIZES: [(usize, usize); 5] = [(3, 3), (6, 3), (12, 3), (3, 6), (3, 12)];

/// Runs the experiment.
pub(super) fn run(folder: &Path, _seed: u64) -> anyhow::Result<()> {
    println!("hosts without load; median and maximum of the hosts, over {MEASURE_TIME:?}");
    println!("zones hosts  cpu %        MB           sent B/s        messages/s");
    for (zones, hosts) in FLEET_SIZES {
        measure(&folder.join(format!("{zones}x{hosts}")), zones, hosts)?;
    }
    Ok(())
}

/// Starts a fleet of a size, measures it and prints its row.
fn measure(folder: &Path, zones: usize, hosts: usize) -> anyhow::Result<()> {
    let names: Vec<String> = (0..zones).map(|index| format!("zone-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let plan = FleetPlan::new(&names).hosts_per_zone(hosts).log_level("warn");
    let mut fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(READY_TIMEOUT)?;
    let count = fleet.hosts.len();
    let before = read_usage(&mut fleet, count)?;
    std::thread::sleep(MEASURE_TIME);
    let after = read_usage(&mut fleet, count)?;
    let seconds = MEASURE_TIME.as_secs_f64();
    let rate = |column: usize| {
        let mut rates: Vec<f64> = before
            .iter()
            .zip(&after)
            .map(|(old, new)| (new[column] - old[column]) / seconds)
            .collect();
        median_and_max(&mut rates)
    };
    let (cpu, sent, messages) = (rate(0), rate(2), rate(3));
    let mut resident: Vec<f64> = after.iter().map(|row| row[1] / f64::from(1 << 20)).collect();
    let resident = median_and_max(&mut resident);
    println!(
        "{zones:<5} {count:<6} {:<5.2} {:<6.2} {:<5.1} {:<6.1} {:<7.0} {:<7.0} {:<5.1} {:.1}",
        cpu.0 * 100.0,
        cpu.1 * 100.0,
        resident.0,
        resident.1,
        sent.0,
        sent.1,
        messages.0,
        messages.1,
    );
    fleet.close(READY_TIMEOUT)
}

/// Returns the median and the maximum.
fn median_and_max(values: &mut [f64]) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
    (median, values.last().copied().unwrap_or(0.0))
}

/// Reads, for each host, processor seconds, resident bytes, and the bytes and messages that its
/// links have sent.
fn read_usage(fleet: &mut Fleet, count: usize) -> anyhow::Result<Vec<[f64; 4]>> {
    let mut rows = Vec::new();
    for index in 0..count {
        let usage = usage(fleet.process(index)?.id())?;
        let page = fleet.client.get(&fleet.url(index, "/metrics"))?.text();
        let sent = metric(&page, "chestnutdrift_link_sent_bytes");
        let messages = metric(&page, "chestnutdrift_link_sent_messages");
        rows.push([usage.cpu_seconds, usage.resident_bytes as f64, sent, messages]);
    }
    Ok(rows)
}

/// Returns the value of a metric without labels; 0 where it is missing.
fn metric(page: &str, name: &str) -> f64 {
    for line in page.lines() {
        let Some((metric, value)) = line.split_once(' ') else { continue };
        if metric == name {
            return value.parse().unwrap_or(0.0);
        }
    }
    0.0
}
