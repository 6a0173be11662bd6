//! The memory of the process: how much it uses, and what the largest holders of it are.

use std::alloc::System;
use std::sync::atomic::{AtomicU64, Ordering};

use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The file in which Linux reports the memory of a process.
const STATUS_FILE: &str = "/proc/self/status";

/// The change of the resident memory, in percent, from which it is logged again.
const LOGGED_CHANGE_PERCENT: u64 = 10;

/// The shares of the limit, in percent, at which the memory is logged in any case.
const LOGGED_LIMIT_PERCENTS: [u64; 3] = [60, 75, 90];

/// The memory that the process uses, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryUse {
    /// The resident memory, or the allocated memory where the system does not report it.
    pub resident: u64,
    /// The memory that is allocated.
    pub allocated: u64,
    /// The most memory that has been allocated at one time.
    pub peak_allocated: u64,
}

impl MemoryUse {
    /// Reads the current values.
    #[must_use]
    pub fn read() -> Self {
        let allocated = ALLOCATOR.allocated() as u64;
        let peak_allocated = ALLOCATOR.max_allocated() as u64;
        Self { resident: resident().unwrap_or(allocated), allocated, peak_allocated }
    }
}

/// The sizes of what holds most of the memory, in bytes, as far as they are known.
#[derive(Debug)]
pub struct Holders {
    /// The entries of the replicated log.
    pub log_bytes: AtomicU64,
    /// The jobs of the directory, with their results and partial texts.
    pub job_bytes: AtomicU64,
    /// The cached texts of unfinished items, with their items.
    pub text_cache_bytes: AtomicU64,
    /// The messages that wait for links to other hosts.
    pub link_queue_bytes: AtomicU64,
    /// The inputs that wait for the control thread.
    pub input_queue_bytes: AtomicU64,
    /// The records that wait for the disk.
    pub disk_queue_bytes: AtomicU64,
    /// The number of snapshots written to the disk.
    pub snapshots_written: AtomicU64,
    /// The size of the journals that were written with them.
    pub snapshot_bytes: AtomicU64,
}

/// The holders of this process.
pub static HOLDERS: Holders = Holders {
    log_bytes: AtomicU64::new(0),
    job_bytes: AtomicU64::new(0),
    text_cache_bytes: AtomicU64::new(0),
    link_queue_bytes: AtomicU64::new(0),
    input_queue_bytes: AtomicU64::new(0),
    disk_queue_bytes: AtomicU64::new(0),
    snapshots_written: AtomicU64::new(0),
    snapshot_bytes: AtomicU64::new(0),
};

/// Decides when a change of the memory is worth a log line.
#[derive(Debug, Default)]
pub struct MemoryMeter {
    limit: Option<u64>,
    logged_resident: u64,
    logged_percent: u64,
}

impl MemoryMeter {
    /// Sets the memory that the process may use, in bytes; the default is no limit.
    #[must_use]
    pub fn limit(mut self, limit: Option<u64>) -> Self {
        self.limit = limit;
        self
    }

    /// Measures the memory, and logs it if it has changed much since it was last logged or has
    /// passed one of the logged shares of the limit.
    pub fn report(&mut self) -> MemoryUse {
        let used = MemoryUse::read();
        let percent = self.limit_percent(used.resident);
        let change = used.resident.abs_diff(self.logged_resident);
        let is_change = change * 100 > self.logged_resident * LOGGED_CHANGE_PERCENT;
        if !is_change && percent == self.logged_percent {
            return used;
        }
        self.logged_resident = used.resident;
        self.logged_percent = percent;
        log(&used, "change");
        used
    }

    /// Returns the highest logged share of the limit that `resident` has reached, in percent.
    fn limit_percent(&self, resident: u64) -> u64 {
        let Some(limit) = self.limit else { return 0 };
        let reached = LOGGED_LIMIT_PERCENTS.iter().filter(|&p| resident * 100 >= limit * p);
        reached.max().copied().unwrap_or(0)
    }
}

/// Logs the memory with the reason for the line.
pub fn log_use(why: &str) {
    log(&MemoryUse::read(), why);
}

fn log(used: &MemoryUse, why: &str) {
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    log::info!(
        event = "memory",
        why = why,
        resident_bytes = used.resident,
        allocated_bytes = used.allocated,
        peak_allocated_bytes = used.peak_allocated,
        log_bytes = read(&HOLDERS.log_bytes),
        job_bytes = read(&HOLDERS.job_bytes),
        text_cache_bytes = read(&HOLDERS.text_cache_bytes),
        link_queue_bytes = read(&HOLDERS.link_queue_bytes),
        input_queue_bytes = read(&HOLDERS.input_queue_bytes),
        disk_queue_bytes = read(&HOLDERS.disk_queue_bytes),
        snapshots_written = read(&HOLDERS.snapshots_written),
        snapshot_bytes = read(&HOLDERS.snapshot_bytes);
        ""
    );
}

/// Returns the resident memory of the process; `None` where the system does not report it.
fn resident() -> Option<u64> {
    const KIB: u64 = 1_024;
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim_end().parse().ok()?;
    Some(kib * KIB)
}
