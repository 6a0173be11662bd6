//! Items on upstreams that are gone at an announced time: which move before, and which may end there.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::engines::FreeEngines;
use crate::gateway::action::Action;
use crate::gateway::board::{Board, DEFAULT_EVENT_INTERVAL_US, Item, ItemState, Upstream};
use crate::gateway::policy::EngineCandidate;
use crate::key::{AttemptKey, ItemKey, JobKey, UpstreamKey};
use crate::time::Millis;

/// How long before an upstream is gone its last items are stopped there: their events arrive, and the
/// connection does not end in the middle of one.
const MOVE_MARGIN: Millis = Millis(300);

/// How much longer than expected an item is taken to run, in percent: the engines that stay get
/// slower with the items that move, and so do those of the same machine.
const ESTIMATE_PERCENT: u64 = 125;

/// An item on an upstream that will be gone.
#[derive(Debug, Clone, Copy)]
struct Move {
    item: ItemKey,
    attempt: AttemptKey,
    /// How long the item still runs there, as far as is known.
    remaining: Millis,
    /// The time until the upstream is gone.
    left: Millis,
}

/// Stops the resumable items that do not end before their upstream is gone, if another one has room
/// or no time is left. Returns whether others may have to be stopped later.
pub(super) fn move_from_leaving(board: &mut Board) -> bool {
    let now = board.now.mono;
    if now >= board.last_departure {
        return false;
    }
    let is_leaving = |upstream: &Upstream| {
        upstream.in_flight > 0 && upstream.leave_notice.is_some_and(|notice| notice.until > now)
    };
    if !board.upstreams.values().any(is_leaving) {
        return false;
    }
    let (mut moves, mut stays) = (Vec::new(), false);
    for (key, item) in &board.items {
        let ItemState::Running(attempt) = item.state else { continue };
        let Some(upstream) = board.attempts.get(attempt).map(|attempt| attempt.upstream) else {
            continue;
        };
        let Some(upstream) = board.upstreams.get(upstream) else { continue };
        let Some(notice) = upstream.leave_notice else { continue };
        if !board.jobs.get(item.job).is_some_and(|job| job.spec.resumable) {
            continue;
        }
        let left = notice.until.since(now);
        let remaining = remaining_time(board, item, item.job, upstream);
        if remaining + MOVE_MARGIN <= left {
            stays = true;
            continue;
        }
        moves.push(Move { item: key, attempt, remaining, left });
    }
    // The longest items gain the most.
    moves.sort_by_key(|a| Reverse(a.remaining));
    let mut free = FreeEngines::new(board);
    let mut moved: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
    for Move { item, attempt, remaining, left } in moves {
        let load = |engine: &EngineCandidate| {
            engine.in_flight + moved.get(&engine.key).copied().unwrap_or(0)
        };
        let engines = free.candidates_for(board, item);
        let engines = engines.iter().filter(|engine| load(engine) < engine.slots);
        let to = engines.min_by_key(|engine| (load(engine), engine.key)).map(|engine| engine.key);
        if to.is_none() && left > MOVE_MARGIN {
            stays = true;
            continue;
        }
        if let Some(to) = to {
            *moved.entry(to).or_default() += 1;
        }
        stop(board, Move { item, attempt, remaining, left });
    }
    stays
}

fn stop(board: &mut Board, stopped: Move) {
    board.items[stopped.item].state = ItemState::Stopping(stopped.attempt);
    board.actions.push(Action::Cancel { attempt: stopped.attempt });
    board.counters.items_moved_in_time += 1;
}

/// Returns how long an item still runs at its upstream, or [`Millis::MAX`] if that is not known.
fn remaining_time(board: &Board, item: &Item, job: JobKey, upstream: &Upstream) -> Millis {
    let service =
        board.routing.as_ref().and_then(|routing| routing.service(&upstream.announced.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let spec = board.jobs.get(job).map(|job| &job.spec);
    let Some(events) = spec.and_then(|spec| item.remaining_events(spec, per_event)) else {
        return Millis::MAX;
    };
    let measured = upstream.health.event_interval_us;
    let interval_us = if measured > 0 { measured } else { DEFAULT_EVENT_INTERVAL_US };
    Millis(u64::from(events) * interval_us / 1_000 * ESTIMATE_PERCENT / 100)
}
