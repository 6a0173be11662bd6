//! Items: on the leader, runs the items of jobs and lists their results.
//!
//! Reads: ended runs, progress, `jobs`, `upstreams`, the clock.
//! Writes: `items`, `attempts`, `upstreams` (health), `wishes`, `actions`.
//!
//! An item whose run breaks off goes on at another engine after the last event that came. An item
//! on an engine that falls behind the others is stopped there first and goes on elsewhere. Texts of
//! items that run long are given to the log in parts, so that another leader can go on from them.

mod engines;
mod progress;

use std::collections::BTreeMap;

use self::engines::{engines_for, reserved};
use self::progress::{keep_parts, move_slow, take_progress};
use super::Controller;
use crate::directory::{DirectoryCommand, ItemOutcome, ItemResult, ItemText, JobSpec, NewResult};
use crate::gateway::action::{Action, RunItem, UpstreamAddress};
use crate::gateway::board::{Board, Item, ItemState, Purpose};
use crate::gateway::event::{Event, ItemEnd, ItemRunReport};
use crate::gateway::policy::{ItemPlacement, WaitingItem};
use crate::key::{AttemptKey, ItemKey, JobKey, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long results are gathered before they are written to the log together.
const GATHER: Millis = Millis(40);

/// How many bytes of text are written to the log together at the latest: an entry must not keep a
/// link busy for long.
const GATHER_BYTES: usize = 64 * 1024;

/// How long an item rests after an upstream refused or failed it.
const REST: Millis = Millis(40);

/// The time between two looks for an engine with room.
const LOOK_AGAIN: Millis = Millis(100);

/// How long an engine may be silent in the middle of a run: longer than a load of weights.
const SILENCE: Millis = Millis(2_500);

/// The longest run, beyond which it is broken off and goes on elsewhere.
const LONGEST_RUN: Millis = Millis(30_000);

/// Runs items.
#[derive(Debug)]
pub(super) struct Items {
    placement: Box<dyn ItemPlacement>,
    finished: BTreeMap<JobKey, Vec<NewResult>>,
    bytes: usize,
    flush_at: Millis,
}

impl Items {
    /// Makes the controller with a policy.
    pub(super) fn new(placement: Box<dyn ItemPlacement>) -> Self {
        Self { placement, finished: BTreeMap::new(), bytes: 0, flush_at: Millis::MAX }
    }
}

impl Controller for Items {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::ItemEnded { attempt, run }) => self.ended(board, *attempt, run),
            Some(Event::ItemProgress(progress)) => {
                take_progress(board, progress);
                keep_parts(board, progress);
                move_slow(board);
            }
            _ => {}
        }
        self.give_up_old(board);
        self.place_waiting(board);
        self.flush(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let now = board.now.mono;
        let mut next = self.flush_at;
        for item in board.items.values() {
            if let ItemState::Waiting(at) = item.state {
                next = next.min(if at > now { at } else { now + LOOK_AGAIN });
            }
        }
        next
    }
}

impl Items {
    fn ended(&mut self, board: &mut Board, key: AttemptKey, run: &ItemRunReport) {
        let Some(attempt) = board.end_attempt(key) else { return };
        let Purpose::Item(item_key) = attempt.purpose else { return };
        let took = board.now.mono.since(attempt.started);
        let Some(item) = board.items.get_mut(item_key) else {
            note_health(board, attempt.upstream, run, (run.text.events, took));
            keep_orphan(board, key, &run.text);
            return;
        };
        let of_run = item.progress.0 + run.text.events;
        note_health(board, attempt.upstream, run, (of_run, took));
        let Some(item) = board.items.get_mut(item_key) else { return };
        let Some(job) = board.jobs.get(item.job) else { return };
        let spec = job.spec.clone();
        keep_text(item, spec.resumable, run);
        let now = board.now.mono;
        let outcome = match &run.end {
            ItemEnd::Whole => Some(completed(item, &spec)),
            ItemEnd::Impossible => Some(Some(ItemOutcome::Errored)),
            ItemEnd::Failed { .. } => {
                item.failures += 1;
                (item.failures >= spec.max_attempts).then_some(Some(ItemOutcome::Errored))
            }
            ItemEnd::NotRun { .. } | ItemEnd::Broken { .. } | ItemEnd::Cancelled => None,
        };
        let rest = if matches!(run.end, ItemEnd::Cancelled | ItemEnd::Broken { .. }) {
            Millis(0)
        } else {
            REST
        };
        item.avoid = (run.end != ItemEnd::Whole).then_some(attempt.upstream);
        item.state = ItemState::Waiting(now + rest);
        let detail = format!(
            "item={} run={} events={} of_run={} versions={:?} took_ms={} end={:?}",
            item.index, item.runs, item.text.events, of_run, item.text.versions, took.0, run.end
        );
        match outcome {
            Some(Some(outcome)) => self.finish(board, item_key, outcome),
            // The text can't be used: an engine ran it under weights that the job does not take.
            Some(None) => item.discard_text(),
            None => board.counters.items_moved += 1,
        }
        board.note(EventKind::Item, spec.id.clone(), detail);
    }

    fn finish(&mut self, board: &mut Board, key: ItemKey, outcome: ItemOutcome) {
        let Some(item) = board.items.get_mut(key) else { return };
        item.state = ItemState::Proposed;
        match outcome {
            ItemOutcome::Completed { .. } => board.counters.items_completed += 1,
            ItemOutcome::Errored => board.counters.items_errored += 1,
        }
        self.bytes += outcome.text_bytes();
        let after = match outcome {
            ItemOutcome::Completed { .. } => item.logged_events(),
            ItemOutcome::Errored => 0,
        };
        let result = ItemResult { item: item.index, outcome };
        self.finished.entry(item.job).or_default().push(NewResult { event_offset: after, result });
        self.flush_at = self.flush_at.min(board.now.mono + GATHER);
    }

    fn flush(&mut self, board: &mut Board) {
        if self.bytes < GATHER_BYTES && board.now.mono < self.flush_at {
            return;
        }
        self.bytes = 0;
        self.flush_at = Millis::MAX;
        for (key, results) in std::mem::take(&mut self.finished) {
            let Some(job) = board.jobs.get(key) else { continue };
            let job = job.spec.id.clone();
            board.proposals.push((DirectoryCommand::AppendResults { job, results }, None));
            board.another_round = true;
        }
    }

    /// Lists items as errored that may be given up by now.
    fn give_up_old(&mut self, board: &mut Board) {
        let now = board.now.mono;
        let mut old = Vec::new();
        for job in board.jobs.values() {
            if now >= job.give_up_at {
                old.extend(job.open_items.iter().copied());
            }
        }
        for key in old {
            let Some(item) = board.items.get(key) else { continue };
            match item.state {
                ItemState::Proposed | ItemState::Stopping(_) => continue,
                ItemState::Running(attempt) => {
                    board.end_attempt(attempt);
                    board.actions.push(Action::Cancel { attempt });
                }
                ItemState::Waiting(_) => {}
            }
            self.finish(board, key, ItemOutcome::Errored);
        }
    }

    fn place_waiting(&self, board: &mut Board) {
        let now = board.now.mono;
        let mut waiting = Vec::new();
        for (key, item) in &board.items {
            let ItemState::Waiting(at) = item.state else { continue };
            let Some(job) = board.jobs.get(item.job).filter(|_| at <= now) else { continue };
            let expected = job.item(item.index).map_or(0, |spec| spec.expected_tokens);
            let (due, index, begun) = (job.due, item.index, item.runs > 0);
            waiting.push(WaitingItem { key, due, index, expected, begun });
        }
        if waiting.is_empty() {
            return;
        }
        self.placement.order(&mut waiting);
        for open in waiting {
            let engines = engines_for(board, open.key);
            let Some(upstream) = self.placement.place(&open, &engines) else { continue };
            start(board, open.key, upstream);
        }
    }
}

fn note_health(
    board: &mut Board,
    key: UpstreamKey,
    run: &ItemRunReport,
    (events, took): (u32, Millis),
) {
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    match &run.end {
        ItemEnd::Whole => {
            upstream.health.failures = 0;
            upstream.health.avoid_until = Millis(0);
            upstream.health.record_events(events, took);
        }
        ItemEnd::NotRun { other_instance: true, .. } => upstream.gone = true,
        ItemEnd::NotRun { status: VERSION_DIFFERS, .. } => {
            let models: Vec<Box<str>> =
                upstream.announced.versions.iter().map(|(model, _)| model.clone()).collect();
            models.iter().for_each(|model| upstream.load.invalidate(model));
            upstream.health.avoid_until = now + REST;
        }
        ItemEnd::NotRun { .. } | ItemEnd::Broken { .. } => upstream.health.record_failure(now),
        ItemEnd::Failed { .. } | ItemEnd::Impossible | ItemEnd::Cancelled => {}
    }
}

/// The status of an upstream that runs another version than was expected.
const VERSION_DIFFERS: u16 = 421;

/// Adds what a run brought last to the item's text, where another run can go on from it.
fn keep_text(item: &mut Item, resumable: bool, run: &ItemRunReport) {
    item.progress = (0, item.progress.1);
    if !resumable && run.end != ItemEnd::Whole {
        item.discard_text();
        return;
    }
    item.text.append(&run.text);
}

/// Keeps the text of an item whose job is over, for a later job that asks for it again.
fn keep_orphan(board: &mut Board, attempt: AttemptKey, text: &ItemText) {
    let Some((spec, mut item)) = board.orphans.remove(&attempt) else { return };
    item.text.append(text);
    board.text_cache.insert(&spec, &item);
}

/// Returns the outcome of a whole text, or none where its weights are not those that the job takes.
fn completed(item: &Item, spec: &JobSpec) -> Option<ItemOutcome> {
    if !spec.accepts_versions(&item.text.versions) {
        return None;
    }
    let (text, versions) = (item.unlogged_text().into(), item.text.versions.clone());
    Some(ItemOutcome::Completed { text, versions })
}

fn start(board: &mut Board, key: ItemKey, upstream_key: UpstreamKey) {
    let item = &board.items[key];
    let Some(job) = board.jobs.get(item.job) else { return };
    let spec = job.spec.clone();
    let tokens = reserved(&spec, item.index);
    let expected = job.item(item.index).map_or(0, |spec| spec.expected_tokens);
    let attempt = board.begin_attempt(Purpose::Item(key), upstream_key, tokens);
    let now = board.now.mono;
    let upstream = &board.upstreams[upstream_key];
    let version = spec.model.as_ref().map(|model| upstream.version_of(model));
    let item = &mut board.items[key];
    item.state = ItemState::Running(attempt);
    item.runs += 1;
    item.progress = (0, now);
    let detail = format!(
        "item={} run={} expected_tokens={expected} upstream={} version={version:?} \
         in_flight={}/{} event_us={} resume_after={:?}",
        item.index,
        item.runs,
        upstream.announced.id,
        upstream.in_flight,
        upstream.announced.slots,
        upstream.health.event_interval_us,
        item.text.last_event
    );
    let run = RunItem {
        attempt,
        upstream: UpstreamAddress {
            id: upstream.announced.id.clone(),
            address: upstream.announced.address.clone(),
        },
        job: spec.clone(),
        item: item.index,
        resume_after: item.text.last_event,
        version,
        silence: SILENCE,
        deadline: LONGEST_RUN,
    };
    board.counters.item_runs += 1;
    board.note(EventKind::Item, spec.id.clone(), detail);
    board.actions.push(Action::RunItem(run));
}
