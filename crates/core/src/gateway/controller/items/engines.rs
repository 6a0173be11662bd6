//! The selection of engines that can run an item.

use std::collections::BTreeMap;

use super::resumption::can_resume;
use crate::directory::JobSpec;
use crate::gateway::board::{Board, Item, Upstream};
use crate::gateway::capacity;
use crate::gateway::policy::EngineCandidate;
use crate::key::{ItemKey, JobKey, UpstreamKey};

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

/// An engine with a free slot.
#[derive(Debug, Clone, Copy)]
struct FreeEngine {
    key: UpstreamKey,
    /// The size of its memory, in tokens.
    memory_tokens: u64,
}

/// The engines that have a free slot during one pass over the waiting items.
///
/// The items of a job differ only in the memory that they need and in the text that they resume, so
/// the engines that can run a job are selected once for all its items.
#[derive(Debug)]
pub(super) struct FreeEngines {
    all: Vec<FreeEngine>,
    by_job: BTreeMap<JobKey, Vec<FreeEngine>>,
    /// The median event interval of the engines of each service that was needed so far, in
    /// microseconds; zero where unknown.
    medians_us: BTreeMap<Box<str>, u64>,
}

impl FreeEngines {
    /// Selects the engines that have a free slot and may be given items within their limits.
    pub(super) fn new(board: &Board) -> Self {
        let mut all = Vec::new();
        for (key, upstream) in &board.upstreams {
            if !has_free_slot(board, upstream) || !upstream.accepts_requests() {
                continue;
            }
            if upstream.is_avoided(board.now.mono) || !board.may_send(key) {
                continue;
            }
            let Some(routing) = &board.routing else { continue };
            let service = routing.service(&upstream.announced.service);
            let engine = service.and_then(|service| service.engine.as_ref());
            let memory_tokens = engine.map_or(u64::MAX, |engine| engine.memory_tokens);
            all.push(FreeEngine { key, memory_tokens });
        }
        Self { all, by_job: BTreeMap::new(), medians_us: BTreeMap::new() }
    }

    /// Returns whether no engine has a free slot.
    pub(super) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Removes an engine that has just been given an item, if that took its last free slot or it may
    /// be sent no more within its limit.
    pub(super) fn remove_if_full(&mut self, board: &Board, key: UpstreamKey) {
        if board.upstreams.get(key).is_some_and(|upstream| has_free_slot(board, upstream))
            && board.may_send(key)
        {
            return;
        }
        for engines in self.by_job.values_mut().chain([&mut self.all]) {
            engines.retain(|engine| engine.key != key);
        }
    }

    /// Returns the engines that have memory for an item, run weights that its job accepts, and can continue
    /// its text.
    pub(super) fn candidates_for(&mut self, board: &Board, key: ItemKey) -> Vec<EngineCandidate> {
        self.select(board, key, can_resume)
    }

    /// Returns whether an engine could take an item if its text began anew.
    pub(super) fn has_candidate_without_text(&mut self, board: &Board, key: ItemKey) -> bool {
        !self.select(board, key, |_, _, _| true).is_empty()
    }

    fn select(
        &mut self,
        board: &Board,
        key: ItemKey,
        can_continue: impl Fn(&Item, &JobSpec, &Upstream) -> bool,
    ) -> Vec<EngineCandidate> {
        let item = &board.items[key];
        let Some(job) = board.jobs.get(item.job) else { return Vec::new() };
        let spec = &job.spec;
        let able = self.by_job.entry(item.job).or_insert_with(|| {
            let can_run = |engine: &&FreeEngine| can_run_job(board, engine.key, spec);
            self.all.iter().filter(can_run).copied().collect()
        });
        let tokens = reserved_tokens(spec, item.index);
        let (learned, now) = (board.cfg.learned_capacity, board.now.mono);
        let mut engines = Vec::new();
        for engine in able.iter() {
            let Some(upstream) = board.upstreams.get(engine.key) else { continue };
            let limit = engine.memory_tokens.saturating_mul(MAX_RESERVED_PERCENT);
            let has_memory = upstream.tokens == 0 || (upstream.tokens + tokens) * 100 <= limit;
            if !has_memory || !can_continue(item, spec, upstream) {
                continue;
            }
            let service = &upstream.announced.service;
            let median = self.medians_us.get(service).copied();
            let median_interval_us = median.unwrap_or_else(|| median_interval_us(board, service));
            if median.is_none() {
                self.medians_us.insert(service.clone(), median_interval_us);
            }
            engines.push(EngineCandidate {
                key: engine.key,
                distance: board.cfg.distance(&upstream.announced.zone),
                in_flight: upstream.in_flight,
                slots: upstream.item_slots(learned, now),
                tokens: upstream.tokens,
                event_interval_us: upstream.event_interval_us(learned, now),
                median_interval_us,
                observed: upstream.item_capacity.age(now),
            });
        }
        if engines.len() > 1 {
            engines.retain(|engine| Some(engine.key) != item.avoid);
        }
        engines
    }
}

fn has_free_slot(board: &Board, upstream: &Upstream) -> bool {
    upstream.in_flight < upstream.item_slots(board.cfg.learned_capacity, board.now.mono)
}

/// Returns the median event interval of the engines of a service; zero without one, and unless
/// capacity is learned.
fn median_interval_us(board: &Board, service: &str) -> u64 {
    let (learned, now) = (board.cfg.learned_capacity, board.now.mono);
    if !learned {
        return 0;
    }
    let peers = board
        .upstreams
        .values()
        .filter(|upstream| *upstream.announced.service == *service && upstream.accepts_requests());
    capacity::median_us(peers.map(|upstream| upstream.event_interval_us(learned, now)))
}

/// Returns whether an engine serves a job and runs weights that the job accepts.
fn can_run_job(board: &Board, key: UpstreamKey, spec: &JobSpec) -> bool {
    let Some(upstream) = board.upstreams.get(key) else { return false };
    if !spec.services.contains(&upstream.announced.service) {
        return false;
    }
    let Some(model) = &spec.model else { return true };
    !upstream.load.blocks(model) && upstream.version_of(model) >= spec.min_version
}
