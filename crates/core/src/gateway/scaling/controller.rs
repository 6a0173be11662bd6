//! Scaling: on the host that holds the lease, orders the numbers of upstreams.
//!
//! Reads: `holder_lease`, `routing`, `group` (intended numbers), `upstreams`, `jobs`, `items`, ends of
//! calls in `provider`, the clock.
//! Writes: `scaling`, `provider` (requests), `proposals`, `counters`, `actions`.
//!
//! A number is recorded in the directory before it is ordered, so that the next holder orders the
//! same. The numbers present without an order are recorded as the baseline once no further
//! upstreams announce themselves.

use std::collections::BTreeSet;

use super::decision::{CountChange, PoolView, ScalingInput, ScalingPolicy};
use super::demand::{ItemWork, Serving, is_tight, needed_upstreams};
use super::orders;
use super::pool::{Pool, ScalingState, count_upstreams, pool_name};
use crate::directory::{DirectoryCommand, ScalingSpec, ServiceSpec, UpstreamTarget};
use crate::gateway::board::{Board, DEFAULT_EVENT_INTERVAL_US, ItemState};
use crate::gateway::controller::Controller;
use crate::gateway::event::Event;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The interval between two checks.
const CHECK_INTERVAL: Millis = Millis(250);

/// The interval between two counts of upstreams for orders that wait; each looks at all upstreams.
const UPDATE_INTERVAL: Millis = Millis(100);

/// How long no further upstream must have announced itself before the baseline is recorded: some
/// announcement intervals.
const BASELINE_SETTLE_TIME: Millis = Millis(5_000);

/// How long more upstreams than the baseline must be present without an order before it is raised. A
/// rolling replacement has one more for a few seconds.
const SURPLUS_SETTLE_TIME: Millis = Millis(20_000);

/// How long to wait for the record of a decision before the next one.
const RECORD_TIMEOUT: Millis = Millis(3_000);

/// The share of an engine's memory beyond which it has no room for another item, in percent.
const FULL_MEMORY_PERCENT: u64 = 85;

/// Orders the numbers of upstreams.
#[derive(Debug)]
pub struct Scaling {
    policy: Box<dyn ScalingPolicy>,
    next_check: Millis,
    next_update: Millis,
}

impl Scaling {
    /// Creates the controller with the policy that decides on the numbers.
    #[must_use]
    pub fn new(policy: Box<dyn ScalingPolicy>) -> Self {
        Self { policy, next_check: Millis(0), next_update: Millis(0) }
    }
}

impl Controller for Scaling {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        if !is_enabled(board) {
            return;
        }
        orders::handle_ends(board);
        let Some(lease) = board.holder_lease else {
            orders::withdraw(board);
            board.scaling = ScalingState::default();
            board.counters.upstreams_intended = 0;
            return;
        };
        let now = board.now.mono;
        if board.scaling.fence != lease.fence {
            orders::withdraw(board);
            let (fence, last_growth) = (lease.fence, now);
            board.scaling = ScalingState { fence, last_growth, ..ScalingState::default() };
            self.next_check = now;
        }
        if now < self.next_check {
            if now >= self.next_update {
                self.next_update = now + UPDATE_INTERVAL;
                orders::update_waiting(board);
            }
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        let Some(routing) = board.routing.clone() else { return };
        for service in &routing.services {
            let Some(spec) = &service.scaling else { continue };
            count_upstreams(board, &service.name);
            let (needed, items) = estimate(board, service, spec);
            let demand = board.scaling.demand.entry(service.name.clone()).or_default();
            demand.record(now, needed, items);
            let Some(group) = &board.group else { return };
            let recorded = &group.directory.upstream_targets;
            let is_recording = board.scaling.is_recording(recorded, now);
            let has_baseline = recorded.iter().any(|target| target.service == service.name);
            let records = is_recording
                || record_baseline(board, &service.name)
                || confirm_reductions(board, &service.name);
            if !records && has_baseline {
                self.decide(board, &service.name, spec);
            }
            orders::send_due(board, &service.name, spec.start_time);
        }
        orders::update_waiting(board);
        let targets = board.group.iter().flat_map(|group| &group.directory.upstream_targets);
        board.counters.upstreams_intended = targets.map(|target| u64::from(target.count)).sum();
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.holder_lease.is_none() || !is_enabled(board) {
            return Millis::MAX;
        }
        self.next_check
    }
}

impl Scaling {
    /// Has the changes of a decision recorded.
    fn decide(&self, board: &mut Board, service: &str, spec: &ScalingSpec) {
        let now = board.now.mono;
        let Some(group) = &board.group else { return };
        let mut pools = Vec::new();
        for (key, pool) in board.scaling.pools_of(service) {
            let target = pool.target(&group.directory.upstream_targets);
            let (baseline, count) = target.map_or((0, 0), |target| (target.baseline, target.count));
            pools.push(PoolView {
                key,
                zone: pool.zone.clone(),
                reclaimable: pool.reclaimable,
                baseline,
                count,
                present: pool.present,
                idle: pool.idle,
                is_available: pool.is_available(now),
            });
        }
        let Some(demand) = board.scaling.demand.get(service) else { return };
        // The upstreams that were added last need time to take up the demand.
        let is_settled = now >= board.scaling.last_addition + spec.start_time;
        let needed = if is_settled { demand.sustained(now) } else { 0 };
        let shared = if is_settled { demand.shared() } else { 0 };
        let input = ScalingInput { spec, pools: &pools, needed, shared, peak: demand.peak(now) };
        let changes = self.policy.decide(input);
        if changes.is_empty() {
            return;
        }
        let (mut targets, mut adds) = (Vec::new(), false);
        for CountChange { key, count, reduces } in changes {
            let Some(pool) = board.scaling.pools.get(key) else { continue };
            let target = pool.target(&group.directory.upstream_targets);
            let mut target = target.cloned().unwrap_or_else(|| empty_target(pool));
            target.reduces = reduces;
            adds |= count > target.count;
            target.changes += 1;
            target.count = count;
            targets.push(target);
        }
        if adds {
            board.scaling.last_addition = now;
        }
        let detail = format!("needed={needed} shared={shared} peak={:?}", input.peak);
        record(board, targets, &detail);
    }
}

fn is_enabled(board: &Board) -> bool {
    board.cfg.provider.as_ref().is_some_and(|provider| provider.scaling)
}

fn empty_target(pool: &Pool) -> UpstreamTarget {
    UpstreamTarget {
        service: pool.service.clone(),
        zone: pool.zone.clone(),
        reclaimable: pool.reclaimable,
        baseline: 0,
        count: 0,
        changes: 0,
        reduces: false,
    }
}

/// Proposes intended numbers to the directory.
fn record(board: &mut Board, targets: Vec<UpstreamTarget>, detail: &str) {
    for target in &targets {
        let subject = pool_name(&target.service, &target.zone, target.reclaimable);
        let detail =
            format!("decided count={} baseline={} {detail}", target.count, target.baseline);
        board.note(EventKind::Scaling, subject, detail);
    }
    board.scaling.recording = Some((targets.clone(), board.now.mono + RECORD_TIMEOUT));
    board.proposals.push((DirectoryCommand::SetUpstreamTargets(targets), None));
    board.another_round = true;
}

/// Has the numbers present without an order recorded as the baseline, once they have settled;
/// returns whether there are such numbers.
fn record_baseline(board: &mut Board, service: &str) -> bool {
    let now = board.now.mono;
    let Some(group) = &board.group else { return false };
    let known = &group.directory.upstream_targets;
    let is_first = !known.iter().any(|target| *target.service == *service);
    let mut targets = Vec::new();
    for (_, pool) in board.scaling.pools_of(service) {
        let settle = if is_first { BASELINE_SETTLE_TIME } else { SURPLUS_SETTLE_TIME };
        let since = if is_first { Some(board.scaling.last_growth) } else { pool.surplus_since };
        let is_settled = since.is_some_and(|since| now >= since + settle);
        let mut target = pool.target(known).cloned().unwrap_or_else(|| empty_target(pool));
        let is_ordered = target.count != target.baseline || pool.in_call.is_some();
        let is_removing = target.reduces || pool.is_removing;
        if is_settled && !is_ordered && !is_removing && pool.present > target.count {
            (target.baseline, target.count) = (pool.present, pool.present);
            targets.push(target);
        }
    }
    let is_due = !targets.is_empty();
    if is_due {
        record(board, targets, "present");
    }
    is_due
}

/// Has reductions that took effect recorded as confirmed, so that no later holder repeats them;
/// returns whether there are any.
fn confirm_reductions(board: &mut Board, service: &str) -> bool {
    let Some(group) = &board.group else { return false };
    // A new holder may not know all upstreams yet.
    let is_settled = board.now.mono >= board.scaling.last_growth + BASELINE_SETTLE_TIME;
    let mut targets = Vec::new();
    for pool in board.scaling.pools.values_mut().filter(|pool| *pool.service == *service) {
        let target = pool.target(&group.directory.upstream_targets);
        let Some(target) = target.filter(|target| target.reduces) else { continue };
        let is_confirmed = match pool.accepted {
            Some(accepted) => accepted == target.count,
            None => is_settled && pool.in_call.is_none() && pool.present <= target.count,
        };
        if is_confirmed {
            pool.is_removing = true;
            targets.push(UpstreamTarget { reduces: false, ..target.clone() });
        }
    }
    let is_due = !targets.is_empty();
    if is_due {
        record(board, targets, "reduction confirmed");
    }
    is_due
}

/// Estimates how many upstreams of a service the open items need, and returns how many items are
/// open while a job is tight.
fn estimate(board: &Board, service: &ServiceSpec, spec: &ScalingSpec) -> (u32, u32) {
    let now = board.now.mono;
    let mut upstreams = 0;
    for (_, pool) in board.scaling.pools_of(&service.name) {
        let target = board.group.as_ref().map(|group| &group.directory.upstream_targets);
        let intended = target.and_then(|targets| pool.target(targets)).map_or(0, |t| t.count);
        upstreams += if pool.is_starting(now) { pool.present.max(intended) } else { pool.present };
    }
    let memory = service.engine.as_ref().map_or(u64::MAX, |engine| engine.memory_tokens);
    let is_full =
        |tokens: u64| tokens.saturating_mul(100) >= memory.saturating_mul(FULL_MEMORY_PERCENT);
    let (mut slots, mut has_room) = (0, false);
    for upstream in board.upstreams.values() {
        if *upstream.announced.service != *service.name || !upstream.accepts_requests() {
            continue;
        }
        slots = slots.max(upstream.announced.slots);
        let is_usable = !upstream.silent && !upstream.is_avoided(now);
        has_room |=
            is_usable && upstream.in_flight < upstream.announced.slots && !is_full(upstream.tokens);
    }
    let serving = Serving { upstreams, slots, has_room, start_time: spec.start_time };
    let (mut work, is_any_tight) = open_items(board, service);
    let items = if is_any_tight { u32::try_from(work.len()).unwrap_or(u32::MAX) } else { 0 };
    (needed_upstreams(&mut work, now, serving), items)
}

/// Returns the work of the open items that upstreams of a service may run, and whether a job of
/// theirs is tight.
fn open_items(board: &Board, service: &ServiceSpec) -> (Vec<ItemWork>, bool) {
    let now = board.now.mono;
    let per_event = service.engine.as_ref().map_or(1, |engine| engine.tokens_per_event);
    let usual_us = usual_interval_us(board, &service.name);
    let (mut work, mut jobs) = (Vec::new(), BTreeSet::new());
    for item in board.items.values() {
        let Some(job) = board.jobs.get(item.job) else { continue };
        if !job.spec.services.contains(&service.name) {
            continue;
        }
        let (waits, interval_us) = match item.state {
            ItemState::Waiting(at) if at <= now => (true, usual_us),
            ItemState::Running(attempt) | ItemState::Stopping(attempt) => {
                let attempt = board.attempts.get(attempt);
                let upstream = attempt.and_then(|attempt| board.upstreams.get(attempt.upstream));
                let measured = upstream.map_or(0, |upstream| upstream.health.event_interval_us);
                (false, if measured > 0 { measured } else { usual_us })
            }
            _ => continue,
        };
        let events = item.remaining_events(&job.spec, per_event).unwrap_or(0);
        let remaining = Millis(u64::from(events).saturating_mul(interval_us) / 1_000);
        work.push(ItemWork { due: job.due, remaining, waits });
        jobs.insert(item.job);
    }
    let is_any_tight = jobs.iter().filter_map(|job| board.jobs.get(*job)).any(|job| {
        let longest = job.spec.items.iter().map(|item| item.expected_tokens).max().unwrap_or(0);
        let events = u64::from(longest.div_ceil(per_event.max(1)));
        is_tight(Millis(events.saturating_mul(usual_us) / 1_000), job.spec.due_after)
    });
    (work, is_any_tight)
}

/// Returns the median interval between two events over the upstreams of a service.
fn usual_interval_us(board: &Board, service: &str) -> u64 {
    let upstreams = board.upstreams.values();
    let of_service = upstreams.filter(|upstream| *upstream.announced.service == *service);
    let (learned, now) = (board.cfg.learned_capacity, board.now.mono);
    let measured = of_service.map(|upstream| upstream.event_interval_us(learned, now));
    let mut measured: Vec<u64> = measured.filter(|us| *us > 0).collect();
    measured.sort_unstable();
    measured.get(measured.len() / 2).copied().unwrap_or(DEFAULT_EVENT_INTERVAL_US)
}
