//! The slopes of the capacity model in docs/CAPACITY.md: processor time per request and token, and
//! memory per stream.

use std::path::Path;
use std::time::Duration;

use crate::experiment::{SERVICE, Usage, start_engines, usage};
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{self, LoadPlan, LoadTarget};

const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The requests per second and their total number, for each length of answer.
const LOAD: (f64, usize) = (50.0, 400);

/// The time to generate a token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(4);

/// The lengths of the answers, in tokens.
const ANSWER_LENGTHS: [u32; 4] = [1, 8, 64, 256];

/// The numbers of open streams at which the memory is read.
const OPEN_STREAMS: [usize; 3] = [50, 200, 400];

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let limits = "calls = 512\nconnections = 4096";
    let plan = FleetPlan::new(&["zone-a"]).hosts_per_zone(1).limits(limits).log_level("warn");
    let mut fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(READY_TIMEOUT)?;
    let id = fleet.process(0)?.id();
    let engines = start_engines(&fleet, TOKEN_INTERVAL)?;
    println!("one host, {} requests a second, {} requests, seed {seed}", LOAD.0, LOAD.1);
    println!("tokens  core-ms per request  p50 ms   failed");
    for tokens in ANSWER_LENGTHS {
        let entry = LoadTarget::Entry(fleet.zone_hosts("zone-a"));
        let plan = LoadPlan::new(entry, SERVICE).requests(LOAD.0, LOAD.1).tokens(tokens);
        let before = usage(id)?;
        let report = load::run(&plan.senders(256).seed(seed))?;
        let used = usage(id)?.cpu_seconds - before.cpu_seconds;
        let failed = report.failed + report.refused + report.wrong;
        let per_request = used * 1_000.0 / LOAD.1 as f64;
        println!("{tokens:<7} {per_request:<20.3} {:<8.1} {failed}", report.millis(0.5));
    }
    let per_announcement = measure_announcement(&fleet, id)?;
    println!("one announcement of an upstream: {per_announcement:.3} core-ms");
    println!("streams held  resident MB  above idle, KB a stream");
    for held in OPEN_STREAMS {
        let (idle, busy) = measure_streams(&fleet, id, held)?;
        let per_stream =
            busy.resident_bytes.saturating_sub(idle.resident_bytes) as f64 / held as f64 / 1_024.0;
        println!(
            "{held:<13} {:<12.1} {per_stream:.1}",
            busy.resident_bytes as f64 / f64::from(1 << 20)
        );
    }
    for engine in engines {
        engine.close();
    }
    fleet.close(READY_TIMEOUT)
}

/// Announces an upstream 5,000 times and returns the processor time of one announcement, in
/// milliseconds.
fn measure_announcement(fleet: &Fleet, id: u32) -> anyhow::Result<f64> {
    const ANNOUNCEMENTS: u32 = 5_000;
    let url = fleet.url(0, "/v1/upstreams/announce");
    let body = serde_json::json!({
        "name": "announcer", "life": 1, "service": "other", "address": "127.0.0.1:1",
        "kind": "plain", "slots": 1, "idempotent": true,
    });
    let before = usage(id)?.cpu_seconds;
    for _ in 0..ANNOUNCEMENTS {
        fleet.client.post(&url, &body)?.ok()?;
    }
    Ok((usage(id)?.cpu_seconds - before) * 1_000.0 / f64::from(ANNOUNCEMENTS))
}

/// Opens streams and returns the usage of the host before them and while all of them are open.
fn measure_streams(fleet: &Fleet, id: u32, held: usize) -> anyhow::Result<(Usage, Usage)> {
    const TOKENS: u32 = 800;
    const READ_DELAY: Duration = Duration::from_millis(2_000);
    let idle = usage(id)?;
    let entry = LoadTarget::Entry(fleet.zone_hosts("zone-a"));
    let plan = LoadPlan::new(entry, SERVICE).requests(1_000.0, held).tokens(TOKENS).senders(held);
    let load = std::thread::spawn(move || load::run(&plan));
    std::thread::sleep(READ_DELAY);
    let busy = usage(id)?;
    let report = load.join().map_err(|_| anyhow::anyhow!("the load panicked"))??;
    anyhow::ensure!(report.times.len() == held as u64, "{report:?}");
    Ok((idle, busy))
}
