//! Measurements, each with its baseline in the same run.

mod control;
mod overhead;
mod slopes;
mod spread;

use std::path::Path;

use anyhow::bail;

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
        "slopes" => slopes::run(&folder, seed),
        _ => bail!("experiments: overhead, spread, control, slopes; not {name:?}"),
    }
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
