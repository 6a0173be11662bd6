//! From a change accepted to the change in force on every host.

use std::path::Path;
use std::time::{Duration, Instant};

use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};
use hdrhistogram::Histogram;

use crate::fleet::{Fleet, FleetPlan};
use crate::process::wait_until;

const WAIT: Duration = Duration::from_secs(30);
const CHANGES: u64 = 200;

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let plan = FleetPlan::new(&["zone-a", "zone-b", "zone-c"]).log_level("warn");
    let fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(WAIT)?;
    let count = fleet.hosts.len();
    let mut decided = Histogram::<u64>::new(3)?;
    let mut in_force = Histogram::<u64>::new(3)?;
    for at in 0..CHANGES {
        let entry = usize::try_from((at + seed) % count as u64)?;
        let edit = EditBody {
            key: "staleness".into(),
            value: Some(1 + at % 9),
            scope: None,
            reason: "".into(),
        };
        let base = fleet.settings_version(entry)?;
        let id = format!("spread-{seed}-{at}").into();
        let change =
            ChangeBody { id, base_version: base, author: "spread".into(), edits: vec![edit] };
        let start = Instant::now();
        let answer = fleet.propose_change(entry, &change)?;
        anyhow::ensure!(answer.accepted, "{answer:?}");
        decided.record(u64::try_from(start.elapsed().as_micros())?)?;
        let accepted = Instant::now();
        wait_until("the change is in force everywhere", WAIT, || {
            (0..count).all(|host| {
                fleet.settings_version(host).is_ok_and(|version| version >= answer.version)
            })
        })?;
        in_force.record(u64::try_from(accepted.elapsed().as_micros())?)?;
    }
    println!("{CHANGES} changes on {count} hosts, one after the other, seed {seed}; times in ms");
    println!("measure                 p50      p99      max");
    row("proposed to accepted", &decided);
    row("accepted to in force", &in_force);
    println!("(in force is looked for every 20 ms, so its times are up to 20 ms too long)");
    fleet.close(WAIT)
}

fn row(name: &str, times: &Histogram<u64>) {
    const US_PER_MS: f64 = 1_000.0;
    let millis = |quantile| times.value_at_quantile(quantile) as f64 / US_PER_MS;
    println!("{name:<23} {:<8.1} {:<8.1} {:.1}", millis(0.5), millis(0.99), millis(1.0));
}
