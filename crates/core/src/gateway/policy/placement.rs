//! The order of waiting items, and their placement on engines.

use std::fmt::Debug;

use crate::key::{ItemKey, UpstreamKey};
use crate::time::Millis;

/// An item that waits for an engine.
#[derive(Debug, Clone, Copy)]
pub struct WaitingItem {
    /// The item.
    pub key: ItemKey,
    /// When the results of its job are due, on the monotonic clock.
    pub due: Millis,
    /// Its index in the job; callers put the items of the highest priority first.
    pub index: u32,
    /// Number of output tokens expected of it.
    pub expected: u32,
    /// The largest expected number of tokens of the waiting items that are due with it.
    pub longest: u32,
    /// How long it has waited for an engine.
    pub waited: Millis,
    /// Whether an earlier run of it was started.
    pub begun: bool,
}

/// An engine that can take an item.
#[derive(Debug, Clone, Copy)]
pub struct EngineCandidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// Distance: 0 in this zone, 1 in this region, 2 elsewhere.
    pub distance: u8,
    /// Number of items in flight there.
    pub in_flight: u32,
    /// Number of items that it runs at a time.
    pub slots: u32,
    /// Number of tokens that the items in flight reserve in its memory.
    pub tokens: u64,
    /// Moving average of the interval between two events of an item, in microseconds; zero where
    /// unknown.
    pub event_interval_us: u64,
    /// The median of the event intervals of the engines of its service, in microseconds; zero where
    /// unknown.
    pub median_interval_us: u64,
    /// The time since an event of it was last observed; `None` before the first one.
    pub observed: Option<Millis>,
}

/// Orders waiting items and chooses their engines.
pub trait ItemPlacement: Debug + Send {
    /// Sorts waiting items, the next one to place first.
    fn order(&self, items: &mut [WaitingItem]);

    /// Returns the engine for an item, out of those that have room for it.
    fn place(&self, item: &WaitingItem, engines: &[EngineCandidate]) -> Option<UpstreamKey>;
}

/// Places the items of the job that is due first, the longest expected item first.
///
/// Items of which an earlier run was started come before the others of their job. Each item is
/// placed on the least loaded engine that is not slow, or, if all are slow, on the least loaded of
/// them.
#[derive(Debug, Clone, Copy)]
pub struct LongestFirst;

/// Event interval, in percent of the fastest engine's, above which other engines are preferred.
const SLOW_ENGINE_PERCENT: u64 = 170;

impl ItemPlacement for LongestFirst {
    fn order(&self, items: &mut [WaitingItem]) {
        items.sort_by_key(|item| {
            (item.due, !item.begun, std::cmp::Reverse(item.expected), item.index)
        });
    }

    fn place(&self, _item: &WaitingItem, engines: &[EngineCandidate]) -> Option<UpstreamKey> {
        let known = engines.iter().map(|engine| engine.event_interval_us).filter(|us| *us > 0);
        let fastest = known.min().unwrap_or(0);
        let slow = |engine: &EngineCandidate| {
            fastest > 0 && engine.event_interval_us * 100 > fastest * SLOW_ENGINE_PERCENT
        };
        let rank = |engine: &&EngineCandidate| {
            let load = u64::from(engine.in_flight) * 100 / u64::from(engine.slots.max(1));
            (slow(engine), load, engine.distance, engine.key)
        };
        engines.iter().min_by_key(rank).map(|engine| engine.key)
    }
}

/// Places items in the order of their jobs, each on the engine with the fewest in flight:
/// a simple policy, as a baseline for comparison.
#[derive(Debug, Clone, Copy)]
pub struct FewestInFlight;

impl ItemPlacement for FewestInFlight {
    fn order(&self, items: &mut [WaitingItem]) {
        items.sort_by_key(|item| (item.due, item.index));
    }

    fn place(&self, _item: &WaitingItem, engines: &[EngineCandidate]) -> Option<UpstreamKey> {
        engines.iter().min_by_key(|engine| (engine.in_flight, engine.key)).map(|engine| engine.key)
    }
}
