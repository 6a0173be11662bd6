//! Which item of a job goes next, and to which engine.

use std::fmt::Debug;

use crate::key::{ItemKey, UpstreamKey};
use crate::time::Millis;

/// An item that waits.
#[derive(Debug, Clone, Copy)]
pub struct WaitingItem {
    /// The item.
    pub key: ItemKey,
    /// When its job is due.
    pub due: Millis,
    /// Its index in the job; callers put what they want most first.
    pub index: u32,
    /// The output tokens that are expected of it.
    pub expected: u32,
    /// Whether a run of it was begun before.
    pub begun: bool,
}

/// An engine that may take an item.
#[derive(Debug, Clone, Copy)]
pub struct EngineCandidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// How far it is: 0 in this zone, 1 in this region, 2 elsewhere.
    pub distance: u8,
    /// Items in flight there.
    pub in_flight: u32,
    /// Items that it runs at a time.
    pub slots: u32,
    /// The moving average of the time between two events, in microseconds; zero where unknown.
    pub event_interval_us: u64,
}

/// Orders items and places them.
pub trait ItemPlacement: Debug + Send {
    /// Sorts the items that wait, the one to go first in front.
    fn order(&self, items: &mut [WaitingItem]);

    /// Returns the engine for an item among those that have room for it.
    fn place(&self, item: &WaitingItem, engines: &[EngineCandidate]) -> Option<UpstreamKey>;
}

/// Longest expected item first within a job that is due first, on the least loaded engine of those
/// that keep pace.
#[derive(Debug, Clone, Copy)]
pub struct LongestFirst;

/// How much slower than the fastest an engine may be before others are preferred, in percent.
const SLOW_PERCENT: u64 = 170;

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
            fastest > 0 && engine.event_interval_us * 100 > fastest * SLOW_PERCENT
        };
        let rank = |engine: &&EngineCandidate| {
            let load = u64::from(engine.in_flight) * 100 / u64::from(engine.slots.max(1));
            (slow(engine), load, engine.distance, engine.key)
        };
        engines.iter().min_by_key(rank).map(|engine| engine.key)
    }
}

/// Items as they came, on the engine with the fewest: the plainest policy that works, to compare
/// with.
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
