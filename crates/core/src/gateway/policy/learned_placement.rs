//! The placement of items by the learned speed of engines.

use std::cmp::Reverse;

use super::placement::{EngineCandidate, ItemPlacement, LongestFirst, WaitingItem};
use crate::gateway::capacity::{PROBE_AFTER, SLOW_ENGINE_PERCENT, is_slow};
use crate::key::UpstreamKey;

/// Engines whose tokens in flight differ by less than this count as equally loaded, so that the number
/// of items and the distance decide between them.
const TOKEN_STEP: u64 = 500;

/// Places the items of the job that is due first, the longest expected item first, and gives slow
/// engines fewer and shorter items.
///
/// Items go to the engine with the fewest tokens in flight that is not slow: a step of an engine takes
/// longer the more tokens its items have in memory, whatever their number. Long items thus run nearly
/// alone, and short ones beside each other. A slow engine gets only items that end
/// there no later than the longest waiting one ends at a typical engine, and others once they have
/// waited for as long as the slow engine takes longer; it fills only the share of its slots that its
/// speed is of a typical one's. An idle engine whose slowness is not confirmed by new
/// events gets one short item, which shows whether it has recovered.
#[derive(Debug, Clone, Copy)]
pub struct LearnedPlacement;

impl ItemPlacement for LearnedPlacement {
    fn order(&self, items: &mut [WaitingItem]) {
        LongestFirst.order(items);
    }

    fn place(&self, item: &WaitingItem, engines: &[EngineCandidate]) -> Option<UpstreamKey> {
        let able = engines.iter().filter(|engine| takes(engine, item));
        let rank = |engine: &&EngineCandidate| {
            let load = u64::from(engine.in_flight) * 100 / u64::from(engine.slots.max(1));
            let is_probe = is_probe(engine, item);
            let tokens = engine.tokens / TOKEN_STEP;
            (Reverse(is_probe), engine_is_slow(engine), tokens, load, engine.distance, engine.key)
        };
        able.min_by_key(rank).map(|engine| engine.key)
    }
}

fn engine_is_slow(engine: &EngineCandidate) -> bool {
    is_slow(engine.event_interval_us, engine.median_interval_us, SLOW_ENGINE_PERCENT)
}

/// Returns whether an engine takes an item, unless a better one does.
fn takes(engine: &EngineCandidate, item: &WaitingItem) -> bool {
    if !engine_is_slow(engine) {
        return true;
    }
    let (own_us, typical_us) = (engine.event_interval_us, engine.median_interval_us);
    let share = (u64::from(engine.slots) * typical_us / own_us.max(1)).max(1);
    let took_us = u64::from(item.expected) * own_us;
    let is_short = took_us <= u64::from(item.longest) * typical_us;
    let extra_us = took_us - u64::from(item.expected) * typical_us;
    u64::from(engine.in_flight) < share && (is_short || item.waited.0 * 1_000 >= extra_us)
}

/// Returns whether the item may show whether an idle engine that was slow still is.
fn is_probe(engine: &EngineCandidate, item: &WaitingItem) -> bool {
    let is_stale = engine.observed.is_none_or(|age| age >= PROBE_AFTER);
    engine_is_slow(engine) && engine.in_flight == 0 && is_stale && item.expected * 2 <= item.longest
}
