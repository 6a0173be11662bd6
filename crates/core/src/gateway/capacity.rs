//! Learned capacity: how fast an upstream is, and how many concurrent attempts it handles well, as
//! this host observes it.
//!
//! An upstream of a service may be several times slower than its peers for some seconds, and some
//! slow down long before all their slots are in use. A [`CapacityEstimate`] is kept for each
//! upstream and kind of work. It starts with the announced slots, follows within about a second, and
//! forgets what it learned at a number in flight within seconds.

mod recent_mean;
mod slow_reports;

use self::recent_mean::RecentMean;
use crate::time::Millis;

pub use self::slow_reports::{MAX_SLOW_UPSTREAMS, REPORT_VALIDITY, SlowReports};

/// The number of ranges into which the slots of an upstream are divided, each with its own mean.
const LEVELS: usize = 8;

/// The weight after which the mean of a level is used, in units of work: about four progress reports
/// of an item.
const MIN_LEVEL_UNITS: u32 = 16;

/// How long a level is used after its last observation. Slow periods last 8 s; a longer memory would
/// compare levels that were seen in different periods.
const LEVEL_MEMORY: Millis = Millis(10_000);

/// Levels are compared if one has at least this percentage of the other's number in flight: the
/// difference between closer ones is within the noise of the event intervals.
const MIN_LEVEL_STEP_PERCENT: u64 = 125;

/// The part of proportional growth, in percent, that the throughput must show between two levels to
/// count as growing. An engine that takes 47 ms for an event alone and 60 ms at all slots shows 60 or
/// more.
const MIN_GROWTH_PERCENT: u64 = 25;

/// How long after the last sign that more in flight adds no throughput the limit grows by one, and
/// again after each further interval.
const PROBE_INTERVAL: Millis = Millis(2_000);

/// An upstream with attempts in flight that sends nothing for this long counts as slow.
const SILENCE: Millis = Millis(1_000);

/// How long after its last observation an idle upstream that was slow gets a single attempt, to find
/// out whether it still is.
pub const PROBE_AFTER: Millis = Millis(1_500);

/// An upstream whose unit of work takes more than this percentage of its peers' median is slow.
/// Engines at all their slots take up to 130 % of the time that they take alone.
pub const SLOW_ENGINE_PERCENT: u64 = 170;

/// The same for requests, of which each takes a different time.
pub const SLOW_ANSWER_PERCENT: u64 = 200;

/// What one upstream does with one kind of work.
///
/// A unit of work is an event of an item, or a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct CapacityEstimate {
    unit_time: RecentMean,
    levels: [RecentMean; LEVELS],
    in_flight: u32,
    /// Since when attempts are in flight of which nothing was observed; `None` if none are.
    silent_since: Option<Millis>,
}

/// Units of work that an upstream has done.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// The number of attempts that the upstream announces to run at a time.
    pub slots: u32,
    /// The number of units.
    pub units: u32,
    /// How long they took.
    pub took: Millis,
}

impl CapacityEstimate {
    /// Records that an attempt was started.
    pub fn begin(&mut self, now: Millis) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records that an attempt has ended.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent_since = None;
        }
    }

    /// Records units of work done at the present number in flight. Failures are not recorded, since a
    /// quick one is no sign of speed.
    pub fn observe(&mut self, now: Millis, seen: Observation) {
        if seen.units == 0 {
            return;
        }
        if self.silent_since.is_some() {
            self.silent_since = Some(now);
        }
        let unit_us = (seen.took.0 * 1_000 / u64::from(seen.units)).max(1);
        self.unit_time.add(now, unit_us, seen.units);
        self.levels[level(self.in_flight, seen.slots)].add(now, unit_us, seen.units);
    }

    /// Returns the time that a unit of work takes, in microseconds; zero before the first observation.
    ///
    /// Silence while attempts are in flight counts as a unit that takes at least as long.
    #[must_use]
    pub fn unit_time_us(&self, now: Millis) -> u64 {
        let silence = self.silent_since.map_or(Millis(0), |since| now.since(since));
        if silence < SILENCE {
            return self.unit_time.mean_us();
        }
        self.unit_time.mean_us().max(silence.0 * 1_000)
    }

    /// Returns the time since the last observation; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.unit_time.last().map(|last| now.since(last))
    }

    /// Returns how many attempts the upstream handles well, at most `slots`.
    ///
    /// This is the number in flight beyond which its throughput has lately not grown, and all slots
    /// if it has. Time without such a sign raises the limit step by step.
    #[must_use]
    pub fn limit(&self, now: Millis, slots: u32) -> u32 {
        let slots = slots.max(1);
        let mut best: Option<(u64, u64)> = None;
        let mut seen_at = None;
        for (index, mean) in self.levels.iter().enumerate() {
            let last = mean.last().filter(|last| now.since(*last) <= LEVEL_MEMORY);
            let Some(last) = last.filter(|_| mean.units() >= MIN_LEVEL_UNITS) else { continue };
            let here = (in_flight_at(index, slots), mean.mean_us());
            let Some(below) = best else {
                best = Some(here);
                continue;
            };
            if here.0 * 100 < below.0 * MIN_LEVEL_STEP_PERCENT {
                continue;
            }
            if grows(below, here) {
                best = Some(here);
                seen_at = None;
            } else {
                seen_at = seen_at.max(Some(last));
            }
        }
        let (Some((in_flight, _)), Some(at)) = (best, seen_at) else { return slots };
        let probed = now.since(at).0 / PROBE_INTERVAL.0;
        u32::try_from(in_flight + probed).unwrap_or(slots).min(slots)
    }
}

/// Returns whether the throughput grows from one number in flight, with its unit time, to another.
fn grows(below: (u64, u64), here: (u64, u64)) -> bool {
    let expected = 100 * below.0 + MIN_GROWTH_PERCENT * (here.0 - below.0);
    here.0 * below.1 * 100 >= expected * here.1
}

/// Returns the level of a number in flight.
fn level(in_flight: u32, slots: u32) -> usize {
    let level = (in_flight.max(1) as usize * LEVELS).div_ceil(slots.max(1) as usize);
    level.min(LEVELS) - 1
}

/// Returns the largest number in flight of a level.
fn in_flight_at(level: usize, slots: u32) -> u64 {
    ((level as u64 + 1) * u64::from(slots) / LEVELS as u64).max(1)
}

/// Returns the median of the known unit times, or zero without one.
#[must_use]
pub fn median_us(unit_times_us: impl IntoIterator<Item = u64>) -> u64 {
    let mut known: Vec<u64> = unit_times_us.into_iter().filter(|us| *us > 0).collect();
    known.sort_unstable();
    known.get(known.len().saturating_sub(1) / 2).copied().unwrap_or(0)
}

/// Returns whether a unit time is more than the percentage of the peers' median; not so if one is
/// unknown.
#[must_use]
pub fn is_slow(unit_time_us: u64, median_us: u64, percent: u64) -> bool {
    median_us > 0 && unit_time_us * 100 > median_us * percent
}
