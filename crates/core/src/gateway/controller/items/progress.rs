//! Progress reports of runs: the texts of items and the event intervals of engines.

use std::collections::BTreeMap;

use super::BATCH_BYTES;
use super::engines::FreeEngines;
use crate::directory::{DirectoryCommand, ItemText, TextPart};
use crate::gateway::action::Action;
use crate::gateway::board::{Board, ItemState, Purpose};
use crate::gateway::policy::EngineCandidate;
use crate::key::{AttemptKey, JobKey, UpstreamKey};

/// How many events of an incomplete resumable text are written to the log as one part. They are the
/// events of one second: most texts need no part, and the others lose one second of output if the
/// leader fails.
const EVENTS_PER_PART: u32 = 24;

/// Items move away from an engine whose time between events exceeds this percentage of the median.
/// The threshold is twice the median because a moved item has to be started again.
const MOVE_FROM_PERCENT: u64 = 200;

/// Items may move to an engine whose time between events is at most this percentage of the median.
const MOVE_TO_PERCENT: u64 = 130;

/// How many events a run must have delivered before its item may move. Temporary load from a
/// neighbouring workload slows an engine for about as long as a dozen events take.
const MIN_EVENTS_BEFORE_MOVE: u32 = 12;

/// The same where capacity is learned: the estimate comes from all items of the engine. In the replayed
/// load with slow engines, 12 events made the slowest job take 2 s longer, and zero 5 s.
const MIN_EVENTS_BEFORE_LEARNED_MOVE: u32 = 4;

/// Appends the reported events to the texts of their items, and updates the engines' event intervals.
pub(super) fn handle_progress(board: &mut Board, progress: &[(AttemptKey, ItemText)]) {
    let now = board.now.mono;
    for (attempt_key, text) in progress {
        let Some(attempt) = board.attempts.get(*attempt_key).copied() else { continue };
        let Purpose::Item(item_key) = attempt.purpose else { continue };
        let Some(item) = board.items.get_mut(item_key) else {
            if let Some(orphan) = board.orphans.get_mut(attempt_key) {
                orphan.item.append_events(text);
            }
            continue;
        };
        let (before, since) = item.progress;
        item.progress = (before + text.events, now);
        item.append_events(text);
        let Some(upstream) = board.upstreams.get_mut(attempt.upstream) else { continue };
        if before > 0 && !upstream.load.is_busy() {
            upstream.record_events(now, text.events, now.since(since));
        }
    }
}

/// Proposes the parts of long texts that the log lacks.
pub(super) fn propose_parts(board: &mut Board, progress: &[(AttemptKey, ItemText)]) {
    let mut parts: BTreeMap<JobKey, Vec<TextPart>> = BTreeMap::new();
    for (attempt_key, _) in progress {
        let Some(attempt) = board.attempts.get(*attempt_key) else { continue };
        let Purpose::Item(item_key) = attempt.purpose else { continue };
        let Some(item) = board.items.get_mut(item_key) else { continue };
        let job = board.jobs.get(item.job).filter(|job| job.spec.resumable);
        let is_part_due = item.text.events >= item.logged_events() + EVENTS_PER_PART;
        if is_part_due && job.is_some() {
            parts.entry(item.job).or_default().push(item.take_unlogged_part());
        }
    }
    for (key, parts) in parts {
        let Some(job) = board.jobs.get(key).map(|job| job.spec.id.clone()) else { continue };
        for parts in chunks(parts) {
            board
                .proposals
                .push((DirectoryCommand::SaveTextParts { job: job.clone(), parts }, None));
            board.another_round = true;
        }
    }
}

/// Divides parts into chunks that each fit into one log entry.
fn chunks(parts: Vec<TextPart>) -> Vec<Vec<TextPart>> {
    let (mut chunks, mut bytes) = (vec![Vec::new()], 0);
    for part in parts {
        if bytes >= BATCH_BYTES {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += part.text.text.len();
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(part);
        }
    }
    chunks
}

/// Returns the median time between two events over all engines, in microseconds, or `None` if no
/// engine has sent events yet.
fn median_event_us(board: &Board) -> Option<u64> {
    let (learned, now) = (board.cfg.learned_capacity, board.now.mono);
    let times_us =
        board.upstreams.values().map(|upstream| upstream.event_interval_us(learned, now));
    let mut times_us: Vec<u64> = times_us.filter(|us| *us > 0).collect();
    times_us.sort_unstable();
    times_us.get(times_us.len() / 2).copied()
}

/// Stops the items on engines much slower than the median, if a faster one has room for them.
pub(super) fn move_slow_items(board: &mut Board) {
    let Some(median_us) = median_event_us(board) else { return };
    let (learned, now) = (board.cfg.learned_capacity, board.now.mono);
    let min_events = if learned { MIN_EVENTS_BEFORE_LEARNED_MOVE } else { MIN_EVENTS_BEFORE_MOVE };
    let mut slow = Vec::new();
    for (key, item) in &board.items {
        let ItemState::Running(attempt_key) = item.state else { continue };
        let Some(attempt) = board.attempts.get(attempt_key) else { continue };
        let Some(upstream) = board.upstreams.get(attempt.upstream) else { continue };
        let interval_us = upstream.event_interval_us(learned, now);
        let is_slow = interval_us * 100 > median_us * MOVE_FROM_PERCENT;
        let resumable = board.jobs.get(item.job).is_some_and(|job| job.spec.resumable);
        if is_slow && resumable && !upstream.load.is_busy() && item.progress.0 >= min_events {
            slow.push((key, attempt_key, attempt.upstream));
        }
    }
    if slow.is_empty() {
        return;
    }
    let mut free = FreeEngines::new(board);
    let mut moves: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
    for (key, attempt_key, from) in slow {
        let can_take = |engine: &&EngineCandidate| {
            let moved = moves.get(&engine.key).copied().unwrap_or(0);
            let is_fast_enough = engine.event_interval_us * 100 <= median_us * MOVE_TO_PERCENT;
            engine.key != from && is_fast_enough && engine.in_flight + moved < engine.slots
        };
        let engines = free.candidates_for(board, key);
        let Some(to) = engines.iter().find(can_take).map(|engine| engine.key) else { continue };
        *moves.entry(to).or_default() += 1;
        board.items[key].state = ItemState::Stopping(attempt_key);
        board.actions.push(Action::Cancel { attempt: attempt_key });
    }
}
