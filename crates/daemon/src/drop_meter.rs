//! Counts of dropped messages, for log lines at a bounded rate.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts messages that are dropped, and tells when a log line about them is due.
#[derive(Debug, Default)]
pub struct DropMeter {
    state: Mutex<DropState>,
}

#[derive(Debug, Default)]
struct DropState {
    unreported: u64,
    reported_at: Option<Instant>,
}

impl DropMeter {
    /// Counts a dropped message. Returns the number since the last log line if the next one is due.
    #[must_use]
    pub fn record(&self) -> Option<u64> {
        // The state stays valid if another user panicked.
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.unreported += 1;
        if state.reported_at.is_some_and(|reported| reported.elapsed() < LOG_INTERVAL) {
            return None;
        }
        state.reported_at = Some(Instant::now());
        Some(std::mem::take(&mut state.unreported))
    }
}
