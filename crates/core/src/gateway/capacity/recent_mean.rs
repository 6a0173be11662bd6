//! A mean in which older observations count less.

use crate::time::Millis;

/// The time in which the weight of past observations halves. Event intervals must show a slow engine
/// within about a second.
const HALF_LIFE: Millis = Millis(400);

/// Units of work are counted in this fraction, so that few of them outlast some halvings.
const SCALE: u64 = 16;

/// The mean of a time; the last one is kept when all weight has decayed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentMean {
    mean_us: u64,
    /// The weight of the mean, in parts of a unit.
    weight: u64,
    /// When the weight was last halved.
    halved_at: Millis,
    /// When the last observation was added; `None` before the first one.
    last: Option<Millis>,
}

impl RecentMean {
    /// Adds an observation that counts for `units`.
    pub(super) fn add(&mut self, now: Millis, value_us: u64, units: u32) {
        let halvings = now.since(self.halved_at).0 / HALF_LIFE.0;
        self.weight =
            self.weight.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX)).unwrap_or(0);
        self.halved_at = self.halved_at + Millis(halvings * HALF_LIFE.0);
        self.last = Some(now);
        let added = u64::from(units) * SCALE;
        let sum = self.mean_us.saturating_mul(self.weight).saturating_add(value_us * added);
        self.weight += added;
        self.mean_us = sum / self.weight;
    }

    /// Returns the mean in microseconds; zero before the first observation.
    pub(super) fn mean_us(&self) -> u64 {
        self.mean_us
    }

    /// Returns the weight at the last observation, in units.
    pub(super) fn units(&self) -> u32 {
        u32::try_from(self.weight / SCALE).unwrap_or(u32::MAX)
    }

    /// Returns when the last observation was added; `None` before the first one.
    pub(super) fn last(&self) -> Option<Millis> {
        self.last
    }
}
