//! The time from the acceptance of a settings change until it is in force on every host.

use std::path::Path;
use std::time::{Duration, Instant};

use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};
use hdrhistogram::Histogram;

use crate::fleet::{Fleet, FleetPlan};
use crate::process::wait_until;

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
const CHANGES: u64 = 200;

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let plan = FleetPlan::new(&["zone-a", "zone-b", "zone-c"]).log_level("warn");
    let fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(IN_FORCE_TIMEOUT)?;
    let count = fleet.hosts.len();
    let mut accepted_times = Histogram::<u64>::new(3)?;
    let mut in_force_times = Histogram::<u64>::new(3)?;
    for index in 0..CHANGES {
        let entry = usize::try_from((index + seed) % count as u64)?;
        let edit = EditBody {
            key: "staleness".into(),
            value: Some(1 + index % 9),
            scope: None,
            reason: "".into(),
        };
        let base = fleet.settings_version(entry)?;
        let id = format!("spread-{seed}-{index}").into();
        let change =
            ChangeBody { id, base_version: base, author: "spread".into(), edits: vec![edit] };
        let start = Instant::now();
        let answer = fleet.propose_change(entry, &change)?;
        anyhow::ensure!(answer.accepted, "{answer:?}");
        accepted_times.record(u64::try_from(start.elapsed().as_micros())?)?;
        let accepted = Instant::now();
        wait_until("the change is in force on every host", IN_FORCE_TIMEOUT, || {
            (0..count).all(|host| {
                fleet.settings_version(host).is_ok_and(|version| version >= answer.version)
            })
        })?;
        in_force_times.record(u64::try_from(accepted.elapsed().as_micros())?)?;
    }
    println!("{CHANGES} changes on {count} hosts, one after the other, seed {seed}; times in ms");
    println!("measure                 p50      p99      max");
    print_row("proposed to accepted", &accepted_times);
    print_row("accepted to in force", &in_force_times);
    println!(
        "(the version is polled every 20 ms, so the times to in force are up to 20 ms too long)"
    );
    fleet.close(IN_FORCE_TIMEOUT)
}

fn print_row(name: &str, times: &Histogram<u64>) {
    const US_PER_MS: f64 = 1_000.0;
    let millis = |quantile| times.value_at_quantile(quantile) as f64 / US_PER_MS;
    println!("{name:<23} {:<8.1} {:<8.1} {:.1}", millis(0.5), millis(0.99), millis(1.0));
}
