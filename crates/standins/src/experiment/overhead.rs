//! The latency that an entry host adds to a chat, and the chats per second that it serves on two
//! processors.

use std::path::Path;
use std::time::Duration;

use crate::experiment::{SERVICE, start_engines, usage};
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{self, LoadPlan, LoadReport, LoadTarget};

const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The time to generate a token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(1);

/// The requests per second of each compared run, and their total number.
const COMPARED_LOAD: (f64, usize) = (100.0, 1_500);

/// The number of pairs of runs; each pair has its own seed.
const PAIRS: u64 = 5;

/// The rates, in requests per second, that are tried to find the maximum that a host serves.
const OFFERED_RATES: [f64; 5] = [1_000.0, 2_000.0, 4_000.0, 6_000.0, 8_000.0];

/// The time that each rate is held, in seconds.
const RATE_SECONDS: f64 = 4.0;

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let limits = "calls = 512\nconnections = 4096";
    let plan = FleetPlan::new(&["zone-a"]).hosts_per_zone(1).limits(limits).log_level("warn");
    let mut fleet = Fleet::prepare(&plan, folder)?;
    fleet.start_host(0)?;
    let id = fleet.process(0)?.id();
    pin(id)?;
    fleet.wait_ready(READY_TIMEOUT)?;
    let engines = start_engines(&fleet, TOKEN_INTERVAL)?;
    let addresses: Vec<Box<str>> =
        engines.iter().map(|engine| engine.address().to_string().into()).collect();
    compare(&fleet, &addresses, id, seed)?;
    saturate(&fleet, id, seed)?;
    for engine in engines {
        engine.close();
    }
    fleet.close(READY_TIMEOUT)
}

/// Pins the daemon to two processors.
fn pin(id: u32) -> anyhow::Result<()> {
    let id = id.to_string();
    let status = std::process::Command::new("taskset")
        .args(["-a", "-p", "-c", "0,1", &id])
        .stdout(std::process::Stdio::null())
        .status()?;
    anyhow::ensure!(status.success(), "the daemon can't be pinned to two processors");
    Ok(())
}

/// Sends the same load to the engines directly and through the host, in turn.
fn compare(fleet: &Fleet, engines: &[Box<str>], id: u32, seed: u64) -> anyhow::Result<()> {
    let (rate, count) = COMPARED_LOAD;
    println!("chat of 8 tokens, {rate} a second, {count} requests; times in ms");
    println!("seed  path    p50     p99     p99.9   wrong failed  core-s per 1,000");
    for pair in 0..PAIRS {
        let seed = seed + pair;
        let direct = LoadTarget::Engines(engines.to_vec());
        let plan = LoadPlan::new(direct, SERVICE).requests(rate, count).senders(128).seed(seed);
        print_row(seed, "direct", &load::run(&plan)?, None);
        let entry = LoadTarget::Entry(fleet.zone_hosts("zone-a"));
        let plan = LoadPlan { target: entry, ..plan };
        let before = usage(id)?.cpu_seconds;
        let report = load::run(&plan)?;
        let used = usage(id)?.cpu_seconds - before;
        print_row(seed, "entry", &report, Some(used * 1_000.0 / count as f64));
    }
    Ok(())
}

fn print_row(seed: u64, path: &str, report: &LoadReport, cost: Option<f64>) {
    let cost = cost.map_or_else(|| "-".into(), |cost| format!("{cost:.3}"));
    println!(
        "{seed:<5} {path:<7} {:<7.2} {:<7.2} {:<7.2} {:<5} {:<7} {cost}",
        report.millis(0.5),
        report.millis(0.99),
        report.millis(0.999),
        report.wrong,
        report.failed + report.refused,
    );
}

/// Sends the host more and more requests per second.
fn saturate(fleet: &Fleet, id: u32, seed: u64) -> anyhow::Result<()> {
    println!("one host on two processors, chat of 8 tokens; times in ms");
    println!("offered  served   p50     p99      refused failed wrong  cores used");
    for rate in OFFERED_RATES {
        let entry = LoadTarget::Entry(fleet.zone_hosts("zone-a"));
        let count = (rate * RATE_SECONDS) as usize;
        let plan = LoadPlan::new(entry, SERVICE).requests(rate, count).senders(512).seed(seed);
        let before = usage(id)?.cpu_seconds;
        let report = load::run(&plan)?;
        let used = (usage(id)?.cpu_seconds - before) / report.took.as_secs_f64();
        println!(
            "{rate:<8} {:<8.0} {:<7.1} {:<8.1} {:<7} {:<6} {:<6} {used:.2}",
            report.goodput(),
            report.millis(0.5),
            report.millis(0.99),
            report.refused,
            report.failed,
            report.wrong,
        );
    }
    Ok(())
}
