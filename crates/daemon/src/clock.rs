//! The monotonic and the wall clock, which the core's decisions use.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chestnutdrift_core::{Millis, Now};
use rustix::time::{ClockId, clock_gettime};

/// Reads the clocks of the machine.
///
/// The monotonic clock runs on while the machine is suspended, so that a lease of a host that was
/// suspended has expired when the host resumes.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Reads both clocks.
    #[must_use]
    pub fn now(&self) -> Now {
        let since_start = since_boot().saturating_sub(self.start);
        let mono = u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX);
        Now::new(Millis(mono), wall())
    }

    /// Returns the time left until a point on the monotonic clock, or zero where it has passed.
    #[must_use]
    pub fn time_until(&self, at: Millis) -> Duration {
        let at = Duration::from_millis(at.0);
        at.saturating_sub(since_boot().saturating_sub(self.start))
    }
}

/// Returns the wall-clock time since the Unix epoch, or zero where the clock is set before it.
#[must_use]
pub fn wall() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the time since the machine booted, including the time it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}
