//! The selection of engines that can run an item.

use crate::directory::JobSpec;
use crate::gateway::board::{Board, Item, Upstream};
use crate::gateway::policy::EngineCandidate;
use crate::key::ItemKey;

/// The average share of its expected output that an item occupies in an engine's memory, in
/// percent: its text grows from nothing while it runs.
const OUTPUT_MEMORY_PERCENT: u64 = 50;

/// How much of an engine's memory may be reserved, in percent.
const MAX_RESERVED_PERCENT: u64 = 95;

/// Returns how many tokens of an engine's memory to reserve for an item: its average use during a
/// run, or its maximum if the expected output is unknown.
pub(super) fn reserved_tokens(spec: &JobSpec, index: u32) -> u64 {
    let Some(item) = spec.items.get(index as usize) else { return 0 };
    if item.expected_tokens == 0 {
        return u64::from(item.tokens);
    }
    let expected = u64::from(item.expected_tokens) * OUTPUT_MEMORY_PERCENT / 100;
    (u64::from(item.prompt_tokens) + expected).min(u64::from(item.tokens))
}

/// Returns the engines that have room for an item and run weights that its job accepts.
pub(super) fn engines_for(board: &Board, key: ItemKey) -> Vec<EngineCandidate> {
    let item = &board.items[key];
    let Some(job) = board.jobs.get(item.job) else { return Vec::new() };
    let spec = &job.spec;
    let Some(routing) = &board.routing else { return Vec::new() };
    let tokens = reserved_tokens(spec, item.index);
    let now = board.now.mono;
    let mut engines = Vec::new();
    for (upstream_key, upstream) in &board.upstreams {
        let announced = &upstream.announced;
        if !spec.services.contains(&announced.service) || !upstream.accepts_requests() {
            continue;
        }
        let memory =
            routing.service(&announced.service).and_then(|service| service.engine.as_ref());
        let memory = memory.map_or(u64::MAX, |engine| engine.memory_tokens);
        let has_memory = upstream.tokens == 0
            || (upstream.tokens + tokens) * 100 <= memory.saturating_mul(MAX_RESERVED_PERCENT);
        let is_free = upstream.in_flight < announced.slots.max(1) && has_memory;
        let is_loading = spec.model.as_ref().is_some_and(|model| upstream.load.blocks(model));
        let is_blocked = upstream.is_avoided(now) || is_loading;
        if !is_free || is_blocked || !accepts_version(item, spec, upstream) {
            continue;
        }
        engines.push(EngineCandidate {
            key: upstream_key,
            distance: board.cfg.distance(&announced.zone),
            in_flight: upstream.in_flight,
            slots: announced.slots.max(1),
            event_interval_us: upstream.health.event_interval_us,
        });
    }
    if engines.len() > 1 {
        engines.retain(|engine| Some(engine.key) != item.avoid);
    }
    engines
}

fn accepts_version(item: &Item, spec: &JobSpec, upstream: &Upstream) -> bool {
    let Some(model) = &spec.model else { return true };
    let version = upstream.version_of(model);
    let resumes = item.text.events > 0 && spec.single_version;
    version >= spec.min_version && (!resumes || item.text.versions == [version])
}
