//! Interactive chats while a trainer keeps the engines busy: the reserve for interactive work
//! against none, paired by seed.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};

use crate::engine::{Engine, EngineSettings};
use crate::experiment::SERVICE;
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{self, LoadPlan, LoadTarget};
use crate::process::wait_until;
use crate::trainer::{Trainer, prompt_groups};

const WAIT: Duration = Duration::from_secs(60);
const ZONE: &str = "zone-a";
const ENGINES: usize = 4;
const SEEDS: u64 = 5;

/// The reserves that are compared, in percent; the first is the baseline.
const RESERVES: [u64; 3] = [0, 10, 25];

/// Chats a second and in all, of each run.
const CHATS: (f64, usize) = (60.0, 480);

/// Samples handed in for each run, more than it can generate, and their tokens.
const SAMPLES: (u32, u32) = (1_600, 100);

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let plan = FleetPlan::new(&[ZONE]).log_level("warn");
    let fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(WAIT)?;
    let engines = start_engines(&fleet)?;
    println!("3 hosts, {ENGINES} engines of 8 slots and 2 ms a token; {} chats a second", CHATS.0);
    println!("of 8 tokens beside samples of {} tokens without end; times in ms", SAMPLES.1);
    println!("seed  reserve %  chat p50  p99      p99.9    not right  samples a second");
    let mut step = 0;
    for number in 0..SEEDS {
        for reserve in RESERVES {
            step += 1;
            set_reserve(&fleet, reserve)?;
            one(&fleet, seed + number, reserve, step)?;
        }
    }
    for engine in engines {
        engine.close();
    }
    for at in 0..fleet.hosts.len() {
        anyhow::ensure!(fleet.is_ready(at), "{} is not ready", fleet.hosts[at].name);
    }
    Ok(())
}

fn start_engines(fleet: &Fleet) -> anyhow::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for at in 0..ENGINES {
        let cfg = EngineSettings::new(format!("engine-{at}"), SERVICE);
        engines.push(Engine::start(cfg.hosts(fleet.zone_hosts(ZONE)))?);
    }
    wait_until("every host knows the engines", WAIT, || {
        (0..fleet.hosts.len()).all(|at| {
            let listed = fleet.client.get_json(&fleet.url(at, "/v1/operator/upstreams"));
            listed.is_ok_and(|list| list.as_array().is_some_and(|list| list.len() == ENGINES))
        })
    })?;
    Ok(engines)
}

fn set_reserve(fleet: &Fleet, percent: u64) -> anyhow::Result<()> {
    let (key, value) = ("interactive_reserve_percent".into(), Some(percent));
    let edits = vec![EditBody { key, value, scope: None, reason: "".into() }];
    let base = fleet.settings_version(0)?;
    let id = format!("rush-{base}").into();
    let answer = fleet
        .propose_change(0, &ChangeBody { id, base_version: base, author: "rush".into(), edits })?;
    anyhow::ensure!(answer.accepted, "{answer:?}");
    wait_until("the change is in force", WAIT, || {
        let in_force = |at| fleet.settings_version(at).is_ok_and(|have| have >= answer.version);
        (0..fleet.hosts.len()).all(in_force)
    })?;
    Ok(())
}

fn one(fleet: &Fleet, seed: u64, reserve: u64, step: u64) -> anyhow::Result<()> {
    let entry = fleet.hosts[1].http.to_string();
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = Arc::clone(&stop);
    let trainer = std::thread::spawn(move || train(&entry, step, &stopped));
    let target = LoadTarget::Entry(fleet.zone_hosts(ZONE));
    let plan = LoadPlan::new(target, SERVICE).requests(CHATS.0, CHATS.1).senders(256).seed(seed);
    let report = load::run(&plan)?;
    stop.store(true, Ordering::Release);
    let samples = trainer.join().map_err(|_| anyhow::anyhow!("the trainer panicked"))??;
    println!(
        "{seed:<5} {reserve:<10} {:<9.1} {:<8.1} {:<8.1} {:<10} {samples:.0}",
        report.millis(0.5),
        report.millis(0.99),
        report.millis(0.999),
        report.failed + report.refused + report.wrong,
    );
    Ok(())
}

/// Trains until it is told to stop and returns the samples a second; the rest is generated and
/// thrown away before the next run, so that all runs of a seed begin alike.
fn train(entry: &str, step: u64, stop: &AtomicBool) -> anyhow::Result<f64> {
    let mut trainer = Trainer::new(format!("trainer-{step}"), SERVICE, entry);
    trainer.submit(step, &prompt_groups(step, SAMPLES.0, 1, SAMPLES.1), WAIT)?;
    let start = Instant::now();
    while !stop.load(Ordering::Acquire) {
        let _ = trainer.fetch(256);
    }
    let rate = trainer.received().len() as f64 / start.elapsed().as_secs_f64();
    trainer.fetch_until(SAMPLES.0 as usize, WAIT)?;
    Ok(rate)
}
