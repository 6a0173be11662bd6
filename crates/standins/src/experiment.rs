//! Measurements, each with its baseline in the same run.

mod control;
mod overhead;
mod recovery;
mod rush;
mod slopes;
mod spread;

use std::path::Path;
use std::time::Duration;

use anyhow::bail;
use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};

use crate::engine::{Engine, EngineSettings};
use crate::fleet::Fleet;
use crate::process::wait_until;

/// The service of the experiments on one host.
const SERVICE: &str = "quote-drafters";

/// Engines of the experiments on one host.
const ENGINES: usize = 4;

/// How long the engines may take to be known.
const WAIT: Duration = Duration::from_secs(60);

/// Runs an experiment by name and prints its table.
///
/// # Errors
///
/// Returns an error where there is no such experiment or it fails.
pub fn run(name: &str, folder: &Path, seed: u64) -> anyhow::Result<()> {
    let folder = folder.join(format!("{name}-{}", std::process::id()));
    match name {
        "overhead" => overhead::run(&folder, seed),
        "spread" => spread::run(&folder, seed),
        "control" => control::run(&folder, seed),
        "recovery" => recovery::run(&folder, seed),
        "rush" => rush::run(&folder, seed),
        "slopes" => slopes::run(&folder, seed),
        _ => bail!("experiments: overhead, spread, control, slopes, recovery, rush; not {name:?}"),
    }
}

/// Starts engines with many slots before one host, and lets the host use all of them.
fn start_engines(fleet: &Fleet, token: Duration) -> anyhow::Result<Vec<Engine>> {
    let hosts = fleet.zone_hosts("zone-a");
    let mut engines = Vec::new();
    for at in 0..ENGINES {
        let cfg = EngineSettings::new(format!("engine-{at}"), SERVICE)
            .hosts(hosts.clone())
            .slots(256)
            .token_interval(token);
        engines.push(Engine::start(cfg)?);
    }
    wait_until("the engines are known", WAIT, || {
        let listed = fleet.client.get_json(&fleet.url(0, "/v1/operator/upstreams"));
        listed.is_ok_and(|list| list.as_array().is_some_and(|list| list.len() == ENGINES))
    })?;
    let (key, value, reason) = ("upstream_slots".into(), Some(256), "".into());
    let edits = vec![EditBody { key, value, scope: None, reason }];
    let base = fleet.settings_version(0)?;
    let change =
        ChangeBody { id: "slots".into(), base_version: base, author: "experiment".into(), edits };
    let answer = fleet.propose_change(0, &change)?;
    anyhow::ensure!(answer.accepted, "{answer:?}");
    Ok(engines)
}

/// What a process has used, read from the system.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident: u64,
}

/// Reads what a process has used.
///
/// # Errors
///
/// Returns an error where the system does not tell.
pub fn usage(id: u32) -> anyhow::Result<Usage> {
    const TICKS_PER_SECOND: f64 = 100.0;
    const BYTES_PER_KB: u64 = 1_024;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').unwrap_or(("", ""));
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let cpu_seconds = (ticks(11) + ticks(12)) / TICKS_PER_SECOND;
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes: u64 =
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok(Usage { cpu_seconds, resident: kilobytes * BYTES_PER_KB })
}
