//! Time to a new leader of a zone, and to catch up after missed changes.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;
use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};

use crate::fleet::{Fleet, FleetPlan};
use crate::process::{Signal, wait_until};

const WAIT: Duration = Duration::from_secs(60);
const ZONE: &str = "zone-a";
const ZONE_HOSTS: usize = 3;

/// Times that a leader is lost, each way.
const LOSSES: usize = 8;

/// Changes that a host misses.
const MISSED: [u64; 3] = [10, 100, 1_000];

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let plan = FleetPlan::new(&[ZONE, "zone-b", "zone-c"]).disks_per_zone(2).log_level("warn");
    let mut fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(WAIT)?;
    println!("9 hosts, two with disks in each zone, seed {seed}; shortest election time 1 s");
    println!("a new leader of a zone, ms: each of {LOSSES} losses, in order of length");
    row("killed", &mut lose_leaders(&mut fleet, true)?);
    row("frozen", &mut lose_leaders(&mut fleet, false)?);
    println!("changes missed  ms to be ready and up to date, without and with a disk");
    let mut base = fleet.settings_version(0)?;
    for missed in MISSED {
        let times = catch_up(&mut fleet, &mut base, missed)?;
        println!("{missed:<15} {} {}", times.0.as_millis(), times.1.as_millis());
    }
    fleet.close(WAIT)
}

fn row(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let times: Vec<String> = times.iter().map(|time| time.as_millis().to_string()).collect();
    println!("{name:<8} {}", times.join(" "));
}

fn lose_leaders(fleet: &mut Fleet, kill: bool) -> anyhow::Result<Vec<Duration>> {
    let mut times = Vec::new();
    for _ in 0..LOSSES {
        let leader = agreed_leader(fleet)?;
        let other = (leader + 1) % ZONE_HOSTS;
        let start = Instant::now();
        if kill {
            fleet.kill_host(leader)?;
        } else {
            fleet.process(leader)?.signal(Signal::STOP)?;
        }
        wait_until("another host leads", WAIT, || {
            leader_of(fleet, other).is_some_and(|new| new != leader)
        })?;
        times.push(start.elapsed());
        if kill {
            fleet.start_host(leader)?;
        } else {
            fleet.process(leader)?.signal(Signal::CONT)?;
        }
        fleet.wait_ready(WAIT)?;
        wait_until("every host of the zone votes", WAIT, || {
            (0..ZONE_HOSTS).all(|at| votes(fleet, at) > 0)
        })?;
    }
    Ok(times)
}

/// Waits until all hosts of the zone name the same leader, and returns it.
fn agreed_leader(fleet: &Fleet) -> anyhow::Result<usize> {
    let mut agreed = None;
    wait_until("the hosts of the zone agree on a leader", WAIT, || {
        agreed = leader_of(fleet, 0);
        agreed.is_some() && (1..ZONE_HOSTS).all(|at| leader_of(fleet, at) == agreed)
    })?;
    agreed.context("no leader")
}

/// Returns the host that another takes for the leader of its zone.
fn leader_of(fleet: &Fleet, at: usize) -> Option<usize> {
    let hosts = fleet.client.get_json(&fleet.url(at, "/v1/operator/hosts")).ok()?;
    let name = format!("zone {ZONE}");
    for host in hosts.as_array()? {
        if host["leads"].as_array()?.iter().any(|lead| *lead == *name) {
            return usize::try_from(host["id"].as_u64()?).ok()?.checked_sub(1);
        }
    }
    None
}

/// Returns the groups in which a host votes.
fn votes(fleet: &Fleet, at: usize) -> u64 {
    let page = fleet.client.get(&fleet.url(at, "/metrics")).map(|answer| answer.text());
    let page = page.unwrap_or_default();
    let line = page.lines().find(|line| line.contains("name=\"votes\""));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Stops a host without a disk and one with, makes changes, and times both as they come back.
fn catch_up(
    fleet: &mut Fleet,
    base: &mut u64,
    missed: u64,
) -> anyhow::Result<(Duration, Duration)> {
    const WITHOUT: usize = 8;
    const WITH: usize = 6;
    for at in [WITHOUT, WITH] {
        fleet.kill_host(at)?;
    }
    for _ in 0..missed {
        let (key, value) = ("staleness".into(), Some(*base % 9));
        let edits = vec![EditBody { key, value, scope: None, reason: "".into() }];
        let id = format!("recovery-{base}").into();
        let change = ChangeBody { id, base_version: *base, author: "recovery".into(), edits };
        let answer = fleet.propose_change(1, &change)?;
        anyhow::ensure!(answer.accepted, "{answer:?}");
        *base = answer.version;
    }
    let mut times = Vec::new();
    for at in [WITHOUT, WITH] {
        let start = Instant::now();
        fleet.start_host(at)?;
        wait_until("it is up to date", WAIT, || {
            fleet.is_ready(at) && fleet.settings_version(at).is_ok_and(|have| have >= *base)
        })?;
        times.push(start.elapsed());
    }
    Ok((times[0], times[1]))
}
