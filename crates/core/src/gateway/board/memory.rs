//! The memory of the process: its limit and its measured size.

/// The memory of a process that holds no jobs, in bytes.
const BASE_BYTES: u64 = 16 << 20;

/// The share of the memory beyond [`BASE_BYTES`], in percent, that the directory may hold.
///
/// The rest is for the log, which shares the texts of results with the directory, and for messages,
/// runs of items and what the allocator keeps.
const DIRECTORY_PERCENT: u64 = 65;

/// The share of the memory beyond [`BASE_BYTES`], in percent, that the log may hold.
const LOG_PERCENT: u64 = 25;

/// The share of the limit, in percent, that log entries may take which wait for the disk.
const UNSYNCED_PERCENT: u64 = 10;

/// The share of the limit, in percent, that the cached texts of unfinished items may take.
const TEXT_CACHE_PERCENT: u64 = 5;

/// The share of the limit, in percent, from which memory counts as scarce.
///
/// The rest is for what the allocator needs beside the allocated memory.
const SCARCE_PERCENT: u64 = 75;

/// The memory of the process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessMemory {
    /// The limit, in bytes; `None` if there is none.
    pub limit: Option<u64>,
    /// The allocated memory at the last measurement, in bytes; zero before the first.
    ///
    /// Resident memory may stay high after a peak, although what the allocator keeps can be used.
    pub allocated: u64,
}

impl ProcessMemory {
    /// Creates the state before the first measurement.
    #[must_use]
    pub fn new(limit: Option<u64>) -> Self {
        Self { limit, allocated: 0 }
    }

    /// Returns the bytes that the directory may hold, or `None` if there is no limit.
    #[must_use]
    pub fn directory_budget(&self) -> Option<u64> {
        self.share(DIRECTORY_PERCENT)
    }

    /// Returns the bytes that the log may hold, or `None` if there is no limit.
    #[must_use]
    pub fn log_budget(&self) -> Option<u64> {
        self.share(LOG_PERCENT)
    }

    /// Returns the bytes of log entries that may wait for the disk, or `None` if there is no limit.
    #[must_use]
    pub fn unsynced_budget(&self) -> Option<u64> {
        self.limit.map(|limit| limit / 100 * UNSYNCED_PERCENT)
    }

    /// Returns the bytes of texts that may be cached, or `None` if there is no limit.
    #[must_use]
    pub fn text_cache_budget(&self) -> Option<u64> {
        self.limit.map(|limit| limit / 100 * TEXT_CACHE_PERCENT)
    }

    /// Returns whether little memory is left.
    #[must_use]
    pub fn is_scarce(&self) -> bool {
        self.limit.is_some_and(|limit| self.allocated > limit / 100 * SCARCE_PERCENT)
    }

    fn share(&self, percent: u64) -> Option<u64> {
        self.limit.map(|limit| limit.saturating_sub(BASE_BYTES) / 100 * percent)
    }
}
