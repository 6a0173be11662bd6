//! Slopes for docs/CAPACITY.md: processor time for each request and token, memory for each stream.

use std::path::Path;
use std::time::Duration;

use crate::experiment::{SERVICE, Usage, start_engines, usage};
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{self, LoadPlan, LoadTarget};

const WAIT: Duration = Duration::from_secs(60);

/// Requests a second and in all, for each length of answer.
const OFFER: (f64, usize) = (50.0, 400);

/// The time of a token.
const TOKEN: Duration = Duration::from_millis(4);

/// Lengths of answers, in tokens.
const LENGTHS: [u32; 4] = [1, 8, 64, 256];

/// Streams held at a time, for their memory.
const HELD: [usize; 3] = [50, 200, 400];

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let limits = "calls = 512\nconnections = 4096";
    let plan = FleetPlan::new(&["zone-a"]).hosts_per_zone(1).limits(limits).log_level("warn");
    let mut fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(WAIT)?;
    let id = fleet.process(0)?.id();
    let engines = start_engines(&fleet, TOKEN)?;
    println!("one host, {} requests a second, {} requests, seed {seed}", OFFER.0, OFFER.1);
    println!("tokens  core-ms per request  p50 ms   failed");
    for tokens in LENGTHS {
        let entry = LoadTarget::Entry(fleet.zone_hosts("zone-a"));
        let plan = LoadPlan::new(entry, SERVICE).requests(OFFER.0, OFFER.1).tokens(tokens);
        let before = usage(id)?;
        let report = load::run(&plan.senders(256).seed(seed))?;
        let used = usage(id)?.cpu_seconds - before.cpu_seconds;
        let failed = report.failed + report.refused + report.wrong;
        let each = used * 1_000.0 / OFFER.1 as f64;
        println!("{tokens:<7} {each:<20.3} {:<8.1} {failed}", report.millis(0.5));
    }
    let each = announce(&fleet, id)?;
    println!("one announcement of an upstream: {each:.3} core-ms");
    println!("streams held  resident MB  above idle, KB a stream");
    for held in HELD {
        let (idle, busy) = hold(&fleet, id, held)?;
        let each = busy.resident.saturating_sub(idle.resident) as f64 / held as f64 / 1_024.0;
        println!("{held:<13} {:<12.1} {each:.1}", busy.resident as f64 / f64::from(1 << 20));
    }
    for engine in engines {
        engine.close();
    }
    fleet.close(WAIT)
}

/// Announces an upstream many times and returns the processor time of one, in milliseconds.
fn announce(fleet: &Fleet, id: u32) -> anyhow::Result<f64> {
    const TIMES: u32 = 5_000;
    let url = fleet.url(0, "/v1/upstreams/announce");
    let body = serde_json::json!({
        "name": "announcer", "life": 1, "service": "other", "address": "127.0.0.1:1",
        "kind": "plain", "slots": 1, "idempotent": true,
    });
    let before = usage(id)?.cpu_seconds;
    for _ in 0..TIMES {
        fleet.client.post(&url, &body)?.ok()?;
    }
    Ok((usage(id)?.cpu_seconds - before) * 1_000.0 / f64::from(TIMES))
}

/// Holds streams and returns what the host uses before and in the middle of them.
fn hold(fleet: &Fleet, id: u32, held: usize) -> anyhow::Result<(Usage, Usage)> {
    const TOKENS: u32 = 800;
    const MIDDLE: Duration = Duration::from_millis(2_000);
    let idle = usage(id)?;
    let entry = LoadTarget::Entry(fleet.zone_hosts("zone-a"));
    let plan = LoadPlan::new(entry, SERVICE).requests(1_000.0, held).tokens(TOKENS).senders(held);
    let load = std::thread::spawn(move || load::run(&plan));
    std::thread::sleep(MIDDLE);
    let busy = usage(id)?;
    let report = load.join().map_err(|_| anyhow::anyhow!("the load panicked"))??;
    anyhow::ensure!(report.times.len() == held as u64, "{report:?}");
    Ok((idle, busy))
}
