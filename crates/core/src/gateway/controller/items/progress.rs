//! What runs report while they go on: texts, and the pace of their engines.

use std::collections::BTreeMap;

use super::GATHER_BYTES;
use super::engines::engines_for;
use crate::directory::{DirectoryCommand, ItemText, TextPart};
use crate::gateway::action::Action;
use crate::gateway::board::{Board, ItemState, Purpose};
use crate::gateway::policy::EngineCandidate;
use crate::key::{AttemptKey, JobKey, UpstreamKey};

/// The events of a resumable text that are given to the log together before it is whole: a second's
/// worth, so that most texts need no part and the others lose a second with their leader.
const EVENTS_PER_PART: u32 = 24;

/// How much slower than the usual an engine must be for its items to move, in percent: twice as
/// slow, for a move costs an item a new start.
const MOVE_PERCENT: u64 = 200;

/// How much slower than the usual an engine may be for items to move there, in percent.
const MOVE_TO_PERCENT: u64 = 130;

/// The events that an item must have brought at an engine before it moves: neighbours slow an
/// engine for as long as a dozen events take, and then leave.
const EVENTS_FOR_PACE: u32 = 12;

/// Adds the events that came to their texts, and takes in the pace of the engines.
pub(super) fn take_progress(board: &mut Board, progress: &[(AttemptKey, ItemText)]) {
    let now = board.now.mono;
    for (attempt_key, text) in progress {
        let Some(attempt) = board.attempts.get(*attempt_key).copied() else { continue };
        let Purpose::Item(item_key) = attempt.purpose else { continue };
        let Some(item) = board.items.get_mut(item_key) else {
            if let Some((_, item)) = board.orphans.get_mut(attempt_key) {
                item.text.append(text);
            }
            continue;
        };
        let (before, since) = item.progress;
        item.progress = (before + text.events, now);
        item.text.append(text);
        let Some(upstream) = board.upstreams.get_mut(attempt.upstream) else { continue };
        if before > 0 && !upstream.load.is_busy() {
            upstream.health.record_events(text.events, now.since(since));
        }
    }
}

/// Gives the log the parts of long texts that it lacks.
pub(super) fn keep_parts(board: &mut Board, progress: &[(AttemptKey, ItemText)]) {
    let mut parts: BTreeMap<JobKey, Vec<TextPart>> = BTreeMap::new();
    for (attempt_key, _) in progress {
        let Some(attempt) = board.attempts.get(*attempt_key) else { continue };
        let Purpose::Item(item_key) = attempt.purpose else { continue };
        let Some(item) = board.items.get_mut(item_key) else { continue };
        let job = board.jobs.get(item.job).filter(|job| job.spec.resumable);
        let long = item.text.events >= item.logged_events() + EVENTS_PER_PART;
        if long && job.is_some() {
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

/// Divides parts into lists that each fit an entry of the log.
fn chunks(parts: Vec<TextPart>) -> Vec<Vec<TextPart>> {
    let (mut lists, mut bytes) = (vec![Vec::new()], 0);
    for part in parts {
        if bytes >= GATHER_BYTES {
            lists.push(Vec::new());
            bytes = 0;
        }
        bytes += part.text.text.len();
        if let Some(list) = lists.last_mut() {
            list.push(part);
        }
    }
    lists
}

/// Returns the median of the engines' times between two events, in microseconds.
fn usual_pace(board: &Board) -> Option<u64> {
    let paces = board.upstreams.values().map(|upstream| upstream.health.event_interval_us);
    let mut paces: Vec<u64> = paces.filter(|us| *us > 0).collect();
    paces.sort_unstable();
    paces.get(paces.len() / 2).copied()
}

/// Stops items on engines that fall behind, where another engine has room for them.
pub(super) fn move_slow(board: &mut Board) {
    let Some(usual) = usual_pace(board) else { return };
    let mut slow = Vec::new();
    for (key, item) in &board.items {
        let ItemState::Running(attempt_key) = item.state else { continue };
        let Some(attempt) = board.attempts.get(attempt_key) else { continue };
        let Some(upstream) = board.upstreams.get(attempt.upstream) else { continue };
        let behind = upstream.health.event_interval_us * 100 > usual * MOVE_PERCENT;
        let resumable = board.jobs.get(item.job).is_some_and(|job| job.spec.resumable);
        if behind && resumable && !upstream.load.is_busy() && item.progress.0 >= EVENTS_FOR_PACE {
            slow.push((key, attempt_key, attempt.upstream));
        }
    }
    let mut room: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
    for (key, attempt_key, from) in slow {
        let fast = |engine: &&EngineCandidate| {
            let taken = room.get(&engine.key).copied().unwrap_or(0);
            let keeps_pace = engine.event_interval_us * 100 <= usual * MOVE_TO_PERCENT;
            engine.key != from && keeps_pace && engine.in_flight + taken < engine.slots
        };
        let engines = engines_for(board, key);
        let Some(to) = engines.iter().find(fast).map(|engine| engine.key) else { continue };
        *room.entry(to).or_default() += 1;
        board.items[key].state = ItemState::Stopping(attempt_key);
        board.actions.push(Action::Cancel { attempt: attempt_key });
    }
}
