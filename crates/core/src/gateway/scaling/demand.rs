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

/// The latest estimates of the demand for a service.
#[derive(Debug, Clone, Default)]
pub struct DemandHistory {
    samples: VecDeque<(Millis, u32)>,
}

impl DemandHistory {
    /// Adds an estimate, and drops those that are older than needed.
    pub fn record(&mut self, now: Millis, needed: u32) {
        self.samples.push_back((now, needed));
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the need that has lasted for 1.5 s, or zero.
    #[must_use]
    pub fn sustained(&self, now: Millis) -> u32 {
        self.samples_of(now, SUSTAINED_TIME).and_then(Iterator::min).unwrap_or(0)
    }

    /// Returns the greatest need within the hold time of 30 s, or `None` if it is not known yet.
    #[must_use]
    pub fn peak(&self, now: Millis) -> Option<u32> {
        self.samples_of(now, LOW_HOLD_TIME).and_then(Iterator::max)
    }

    /// Returns the estimates of a time, or `None` if the history does not cover it.
    fn samples_of(&self, now: Millis, time: Millis) -> Option<impl Iterator<Item = u32>> {
        let (oldest, _) = self.samples.front()?;
        let covers = now.since(*oldest) >= time;
        let recent = self.samples.iter().filter(move |(at, _)| now.since(*at) <= time);
        covers.then(|| recent.map(|(_, needed)| *needed))
    }
}
