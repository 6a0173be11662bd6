//! The two clocks that the core is told.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use chestnutdrift_core::{Millis, Now};

/// Reads the clocks of the machine.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Reads both clocks.
    #[must_use]
    pub fn now(&self) -> Now {
        let mono = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        Now::new(Millis(mono), wall())
    }

    /// Returns the instant of a point on the monotonic clock.
    #[must_use]
    pub fn instant(&self, at: Millis) -> Option<Instant> {
        self.start.checked_add(std::time::Duration::from_millis(at.0))
    }
}

/// Returns the wall time.
#[must_use]
pub fn wall() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
