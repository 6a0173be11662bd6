//! Time in the core: clock readings that arrive with each event.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest point in time; as a deadline it means never.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

/// A reading of the two clocks, taken once for each event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Now {
    /// Monotonic time since the process started; leases and deadlines use it.
    pub mono: Millis,
    /// Wall time since 1970, for labels and stamps only.
    pub wall: Millis,
}

impl Now {
    /// Creates a reading of both clocks.
    #[must_use]
    pub fn new(mono: Millis, wall: Millis) -> Self {
        Self { mono, wall }
    }
}
