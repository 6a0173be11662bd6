//! The demand for upstreams: what the open items of jobs need.

use std::collections::VecDeque;

use crate::time::Millis;

/// How much later than its announced start an upstream may begin to serve.
pub(super) const START_MARGIN: Millis = Millis(500);

/// How long a need must last before upstreams are ordered for it: the items of a step that arrive
/// together wait for a moment even if there are enough.
const SUSTAINED_TIME: Millis = Millis(1_500);

/// How long the demand must be low before upstreams are removed: several steps of a trainer.
const LOW_HOLD_TIME: Millis = Millis(30_000);

/// The share of the time until a job's results are due, in percent, beyond which its longest item
/// alone leaves too little for the delay by other items on the same engine.
const TIGHT_PERCENT: u64 = 90;

/// How many items share an engine at most on average while a job is tight, in tenths. An item of 150
/// events takes 7.4 s alone and 7.9 to 8.5 s beside two or three others.
const MAX_SHARING_TENTHS: u64 = 15;

/// The time over which the number of items is averaged: two steps of a trainer.
const SHARING_TIME: Millis = Millis(8_000);

/// The most samples of a history, those of the hold time at four a second and some more.
const MAX_SAMPLES: usize = 160;

/// What an open item still needs.
#[derive(Debug, Clone, Copy)]
pub struct ItemWork {
    /// When its result is due.
    pub due: Millis,
    /// How long it still runs.
    pub remaining: Millis,
    /// Whether it waits for an upstream.
    pub waits: bool,
}

/// The upstreams that serve or are about to.
#[derive(Debug, Clone, Copy)]
pub struct Serving {
    /// The number of upstreams.
    pub upstreams: u32,
    /// The number of items that one runs at a time.
    pub slots: u32,
    /// Whether one of them has room for an item.
    pub has_room: bool,
    /// How long after its order an upstream serves.
    pub start_time: Millis,
}

/// Returns how many upstreams the items need.
///
/// That is one slot for each running item. Where items wait and no upstream has room, it is a slot
/// for each of those in addition. Where the work that is due by some time exceeds what the
/// upstreams can do by then, it includes those that do the rest once they have started.
#[must_use]
pub fn needed_upstreams(items: &mut [ItemWork], now: Millis, serving: Serving) -> u32 {
    let slots = u64::from(serving.slots.max(1));
    let waiting = items.iter().filter(|item| item.waits).count() as u64;
    let running = items.len() as u64 - waiting;
    let upstreams = u64::from(serving.upstreams);
    let mut needed = running.div_ceil(slots);
    if waiting > 0 && !serving.has_room {
        needed = needed.max(upstreams + waiting.div_ceil(slots));
    }
    let start = serving.start_time + START_MARGIN;
    items.sort_by_key(|item| item.due);
    let mut work = 0;
    for item in items {
        let time = item.due.since(now);
        // An item that can't end by its due time occupies one slot until then, and longer.
        let added = if time == Millis(0) { item.remaining.0 } else { item.remaining.0.min(time.0) };
        work = u64::saturating_add(work, added);
        let capacity = upstreams.saturating_mul(slots).saturating_mul(time.0);
        if time <= start || work <= capacity {
            continue;
        }
        let added = (work - capacity).div_ceil(slots.saturating_mul(time.since(start).0));
        needed = needed.max(upstreams.saturating_add(added));
    }
    u32::try_from(needed).unwrap_or(u32::MAX)
}

/// Returns whether a job is due little later than its longest item ends that has an engine for itself.
#[must_use]
pub fn is_tight(longest: Millis, due_after: Millis) -> bool {
    longest.0.saturating_mul(100) > due_after.0.saturating_mul(TIGHT_PERCENT)
}

/// The demand at one time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Millis,
    needed: u32,
    /// The number of items, running and waiting, that should share engines with few others.
    items: u32,
    /// How many upstreams these items needed, averaged up to this time.
    shared: u32,
}

/// The latest estimates of the demand for a service.
#[derive(Debug, Clone, Default)]
pub struct DemandHistory {
    samples: VecDeque<Sample>,
}

impl DemandHistory {
    /// Adds an estimate, and drops those that are older than needed.
    ///
    /// `items` counts the open items while a job is tight, and is zero otherwise.
    pub fn record(&mut self, now: Millis, needed: u32, items: u32) {
        self.samples.push_back(Sample { at: now, needed, items, shared: 0 });
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        let shared = self.upstreams_for_items(now);
        if let Some(sample) = self.samples.back_mut() {
            sample.shared = shared;
        }
    }

    /// Returns how many upstreams the items of the last 8 s need so that few share one; zero while
    /// that is not known.
    fn upstreams_for_items(&self, now: Millis) -> u32 {
        let Some(samples) = self.samples_of(now, SHARING_TIME) else { return 0 };
        let (mut sum, mut count) = (0_u64, 0_u64);
        for sample in samples {
            sum += u64::from(sample.items);
            count += 1;
        }
        let needed = (sum * 10).div_ceil((count * MAX_SHARING_TENTHS).max(1));
        u32::try_from(needed).unwrap_or(u32::MAX)
    }

    /// Returns how many upstreams are needed so that few items share one; zero where that does not
    /// matter.
    #[must_use]
    pub fn shared(&self) -> u32 {
        self.samples.back().map_or(0, |sample| sample.shared)
    }

    /// Returns the need that has lasted for 1.5 s, or zero.
    #[must_use]
    pub fn sustained(&self, now: Millis) -> u32 {
        let samples = self.samples_of(now, SUSTAINED_TIME);
        samples.and_then(|samples| samples.map(|sample| sample.needed).min()).unwrap_or(0)
    }

    /// Returns the greatest need within the hold time of 30 s, or `None` if it is not known yet.
    #[must_use]
    pub fn peak(&self, now: Millis) -> Option<u32> {
        let samples = self.samples_of(now, LOW_HOLD_TIME)?;
        samples.map(|sample| sample.needed.max(sample.shared)).max()
    }

    /// Returns the estimates of a time, or `None` if the history does not cover it.
    fn samples_of(&self, now: Millis, time: Millis) -> Option<impl Iterator<Item = &Sample>> {
        let oldest = self.samples.front()?;
        let covers = now.since(oldest.at) >= time;
        let recent = self.samples.iter().filter(move |sample| now.since(sample.at) <= time);
        covers.then_some(recent)
    }
}
