//! The time until a zone has a new leader, and until a host has caught up on missed changes.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;
use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};

use crate::fleet::{Fleet, FleetPlan};
use crate::process::{Signal, wait_until};

const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const ZONE: &str = "zone-a";
const ZONE_HOSTS: usize = 3;

/// The number of leader losses by each cause.
const LOSSES: usize = 8;

/// The numbers of changes that a stopped host misses.
const MISSED_CHANGES: [u64; 3] = [10, 100, 1_000];

/// Runs the experiment.
pub(super) fn run(folder: &Path, seed: u64) -> anyhow::Result<()> {
    let plan = FleetPlan::new(&[ZONE, "zone-b", "zone-c"]).disks_per_zone(2).log_level("warn");
    let mut fleet = Fleet::start(&plan, folder)?;
    fleet.wait_ready(STEP_TIMEOUT)?;
    println!("9 hosts, two with disks in each zone, seed {seed}; shortest election timeout 1 s");
    println!("time to a new leader of a zone, ms: each of {LOSSES} losses, sorted");
    print_row("killed", &mut lose_leaders(&mut fleet, true)?);
    print_row("frozen", &mut lose_leaders(&mut fleet, false)?);
    println!("changes missed  ms to be ready and up to date, without and with a disk");
    let mut base = fleet.settings_version(0)?;
    for missed in MISSED_CHANGES {
        let times = catch_up(&mut fleet, &mut base, missed)?;
        println!("{missed:<15} {} {}", times.0.as_millis(), times.1.as_millis());
    }
    fleet.close(STEP_TIMEOUT)
}

fn print_row(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let times: Vec<String> = times.iter().map(|time| time.as_millis().to_string()).collect();
    println!("{name:<8} {}", times.join(" "));
}

/// Kills or freezes the leader of the zone `LOSSES` times, and returns the times until the zone had
/// a new one.
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
        wait_until("another host is the leader", STEP_TIMEOUT, || {
            leader_of(fleet, other).is_some_and(|new| new != leader)
        })?;
        times.push(start.elapsed());
        if kill {
            fleet.start_host(leader)?;
        } else {
            fleet.process(leader)?.signal(Signal::CONT)?;
        }
        fleet.wait_ready(STEP_TIMEOUT)?;
        wait_until("every host of the zone is a voter", STEP_TIMEOUT, || {
            (0..ZONE_HOSTS).all(|index| votes(fleet, index) > 0)
        })?;
    }
    Ok(times)
}

/// Waits until all hosts of the zone report the same leader, and returns its index.
fn agreed_leader(fleet: &Fleet) -> anyhow::Result<usize> {
    let mut agreed = None;
    wait_until("the hosts of the zone agree on a leader", STEP_TIMEOUT, || {
        agreed = leader_of(fleet, 0);
        agreed.is_some() && (1..ZONE_HOSTS).all(|index| leader_of(fleet, index) == agreed)
    })?;
    agreed.context("no leader")
}

/// Returns the index of the zone's leader, as the host at `index` reports it.
fn leader_of(fleet: &Fleet, index: usize) -> Option<usize> {
    let hosts = fleet.client.get_json(&fleet.url(index, "/v1/operator/hosts")).ok()?;
    let name = format!("zone {ZONE}");
    for host in hosts.as_array()? {
        if host["leads"].as_array()?.iter().any(|lead| *lead == *name) {
            return usize::try_from(host["id"].as_u64()?).ok()?.checked_sub(1);
        }
    }
    None
}

/// Returns the number of groups in which a host votes.
fn votes(fleet: &Fleet, index: usize) -> u64 {
    let page = fleet.client.get(&fleet.url(index, "/metrics")).map(|answer| answer.text());
    let page = page.unwrap_or_default();
    let line = page.lines().find(|line| line.contains("name=\"votes\""));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Kills a host without a disk and one with a disk, makes changes, and returns the times that each
/// takes after its restart to be ready and up to date.
fn catch_up(
    fleet: &mut Fleet,
    base: &mut u64,
    missed: u64,
) -> anyhow::Result<(Duration, Duration)> {
    const WITHOUT_DISK: usize = 8;
    const WITH_DISK: usize = 6;
    for index in [WITHOUT_DISK, WITH_DISK] {
        fleet.kill_host(index)?;
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
    for index in [WITHOUT_DISK, WITH_DISK] {
        let start = Instant::now();
        fleet.start_host(index)?;
        wait_until("the host is up to date", STEP_TIMEOUT, || {
            fleet.is_ready(index)
                && fleet.settings_version(index).is_ok_and(|version| version >= *base)
        })?;
        times.push(start.elapsed());
    }
    Ok((times[0], times[1]))
}
