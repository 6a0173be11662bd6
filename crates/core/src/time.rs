//! Time as the core sees it: numbers that come in with each event.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest point that can be written.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the span since `earlier`, or zero where `earlier` lies ahead.
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

/// The two clocks that are read once for each event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Now {
    /// Monotonic time since the process started; leases and deadlines are counted on it.
    pub mono: Millis,
    /// Wall time since 1970; used only to label what people read.
    pub wall: Millis,
}

impl Now {
    /// Makes a reading of both clocks.
    #[must_use]
    pub fn new(mono: Millis, wall: Millis) -> Self {
        Self { mono, wall }
    }
}
