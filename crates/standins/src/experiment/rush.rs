//! Interactive chats while a trainer saturates the engines: latencies with and without slots
//! reserved for interactive requests, paired by seed.

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

const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const ZONE: &str = "zone-a";
const ENGINES: usize = 4;
const SEEDS: u64 = 5;

/// The compared values of `interactive_reserve_percent`; the first is the baseline.
const RESERVE_PERCENTS: [u64; 3] = [0, 10, 25];

/// The chats per second of each run, and their total number.
const CHATS: (f64, usize) = (60.0, 480);

/// The samples submitted for each run, more than the engines can generate in it, and the tokens of
/// each.
const SAMPLES: (u32, u32) = (1_600, 100);

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let plan = FleetPlan::new(&[ZONE]).log_level("warn");
    let fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(STEP_TIMEOUT)?;
    let engines = start_engines(&fleet)?;
    println!("3 hosts, {ENGINES} engines of 8 slots and 2 ms a token; {} chats a second", CHATS.0);
    println!("of 8 tokens while samples of {} tokens are always queued; times in ms", SAMPLES.1);
    println!("seed  reserve %  chat p50  p99      p99.9    not right  samples a second");
    let mut step = 0;
    for number in 0..SEEDS {
        for reserve in RESERVE_PERCENTS {
            step += 1;
            set_reserve(&fleet, reserve)?;
            measure(&fleet, seed + number, reserve, step)?;
        }
    }
    for engine in engines {
        engine.close();
    }
    for index in 0..fleet.hosts.len() {
        anyhow::ensure!(fleet.is_ready(index), "{} is not ready", fleet.hosts[index].name);
    }
    Ok(())
}

fn start_engines(fleet: &Fleet) -> anyhow::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let cfg = EngineSettings::new(format!("engine-{index}"), SERVICE);
        engines.push(Engine::start(cfg.hosts(fleet.zone_hosts(ZONE)))?);
    }
    wait_until("every host lists the engines", STEP_TIMEOUT, || {
        (0..fleet.hosts.len()).all(|index| {
            let listed = fleet.client.get_json(&fleet.url(index, "/v1/operator/upstreams"));
            listed.is_ok_and(|list| list.as_array().is_some_and(|list| list.len() == ENGINES))
        })
    })?;
    Ok(engines)
}

/// Sets the reserve and waits until it is in force on all hosts.
fn set_reserve(fleet: &Fleet, percent: u64) -> anyhow::Result<()> {
    let (key, value) = ("interactive_reserve_percent".into(), Some(percent));
    let edits = vec![EditBody { key, value, scope: None, reason: "".into() }];
    let base = fleet.settings_version(0)?;
    let id = format!("rush-{base}").into();
    let answer = fleet
        .propose_change(0, &ChangeBody { id, base_version: base, author: "rush".into(), edits })?;
    anyhow::ensure!(answer.accepted, "{answer:?}");
    wait_until("the change is in force", STEP_TIMEOUT, || {
        let in_force =
            |index| fleet.settings_version(index).is_ok_and(|version| version >= answer.version);
        (0..fleet.hosts.len()).all(in_force)
    })?;
    Ok(())
}

/// Sends the chats of a run while a trainer fetches samples, and prints the row.
fn measure(fleet: &Fleet, seed: u64, reserve: u64, step: u64) -> anyhow::Result<()> {
    let entry = fleet.hosts[1].http.to_string();
    let stop = Arc::new(AtomicBool::new(false));
    let stop_flag = Arc::clone(&stop);
    let trainer = std::thread::spawn(move || train(&entry, step, &stop_flag));
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

/// Fetches samples until `stop` is set, and returns the samples per second.
///
/// The remaining samples are fetched too before the function returns, so that every run of a seed
/// starts with idle engines.
fn train(entry: &str, step: u64, stop: &AtomicBool) -> anyhow::Result<f64> {
    let mut trainer = Trainer::new(format!("trainer-{step}"), SERVICE, entry);
    trainer.submit(step, &prompt_groups(step, SAMPLES.0, 1, SAMPLES.1), STEP_TIMEOUT)?;
    let start = Instant::now();
    while !stop.load(Ordering::Acquire) {
        let _ = trainer.fetch(256);
    }
    let rate = trainer.received().len() as f64 / start.elapsed().as_secs_f64();
    trainer.fetch_until(SAMPLES.0 as usize, STEP_TIMEOUT)?;
    Ok(rate)
}
