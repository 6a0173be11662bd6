//! Slopes for docs/CAPACITY.md: processor time for each request and token, memory for each stream.

use std::path::Path;
use std::time::Duration;

use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};

use crate::engine::{Engine, EngineSettings};
use crate::experiment::{Usage, usage};
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{self, LoadPlan, LoadTarget};
use crate::process::wait_until;

const SERVICE: &str = "quote-drafters";
const ENGINES: usize = 4;
const WAIT: Duration = Duration::from_secs(60);

/// Requests a second and in all, for each length of answer.
const OFFER: (f64, usize) = (50.0, 400);

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
    let engines = start_engines(&fleet)?;
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

fn start_engines(fleet: &Fleet) -> anyhow::Result<Vec<Engine>> {
    let hosts = fleet.zone_hosts("zone-a");
    let mut engines = Vec::new();
    for at in 0..ENGINES {
        let cfg = EngineSettings::new(format!("engine-{at}"), SERVICE)
            .hosts(hosts.clone())
            .slots(256)
            .token(Duration::from_millis(4));
        engines.push(Engine::start(cfg)?);
    }
    wait_until("the engines are known", WAIT, || {
        let listed = fleet.client.get_json(&fleet.url(0, "/v1/operator/upstreams"));
        listed.is_ok_and(|list| list.as_array().is_some_and(|list| list.len() == ENGINES))
    })?;
    let (key, value, reason) = ("upstream_slots".into(), Some(256), "".into());
    let edits = vec![EditBody { key, value, scope: None, reason }];
    let base = fleet.settings_version(0)?;
    let change = ChangeBody { id: "slopes".into(), base, by: "slopes".into(), edits };
    let answer = fleet.change(0, &change)?;
    anyhow::ensure!(answer.accepted, "{answer:?}");
    Ok(engines)
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
