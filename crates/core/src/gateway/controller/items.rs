//! Items: on the leader, runs the items of jobs and adds their results to the directory.
//!
//! Reads: ended runs, progress, `scored_items`, `jobs`, `upstreams`, `routing`, the clock.
//! Writes: `items`, `reward_queue`, `orphans`, `text_cache`, `attempts`, `upstreams` (health and load
//! state), `counters`, `proposals`, `actions`.
//!
//! An item whose run breaks off resumes at another engine of the same software version after the last
//! event received. An item on an engine that is much slower than the median is first stopped there
//! and then resumes elsewhere. The same is done with an item on an engine that will be gone before
//! the item ends. A complete text that needs a score waits for its reward call. The texts of long
//! items are written to the log in parts, so that another leader can resume them.

mod engines;
mod leaving;
mod progress;
mod resumption;

use std::collections::BTreeMap;

use self::engines::{FreeEngines, reserved_tokens};
use self::leaving::move_from_leaving;
use self::progress::{handle_progress, move_slow_items, propose_parts};
use self::resumption::{drop_text, is_text_hopeless, void_runs};
use super::{Controller, access};
use crate::directory::{DirectoryCommand, ItemOutcome, ItemResult, ItemText, JobSpec, NewResult};
use crate::gateway::action::{Action, RunItem};
use crate::gateway::board::{Board, Item, ItemState, Purpose};
use crate::gateway::capacity::Observation;
use crate::gateway::event::{Event, ItemEnd, ItemRunReport};
use crate::gateway::policy::{ItemPlacement, WaitingItem};
use crate::key::{AttemptKey, ItemKey, JobKey, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long results are collected before they are written to the log together.
const BATCH_DELAY: Millis = Millis(40);

/// The size of the collected text at which it is written to the log without further delay, because
/// a large entry would keep a link busy for too long.
const BATCH_BYTES: usize = 64 * 1024;

/// How long an item waits after an upstream refused or failed it.
const RETRY_DELAY: Millis = Millis(40);

/// The interval between two checks for an engine with room.
const ENGINE_POLL_INTERVAL: Millis = Millis(100);

/// The least time between two passes over the waiting items, where the last one left some waiting: a
/// pass compares each of them with the engines that have a free slot.
const PLACE_INTERVAL: Millis = Millis(10);

/// How long an engine may send nothing during a run. The limit exceeds the duration of a weight
/// load, and doubles with each short run of an item: where all engines are slow, it would else never end.
const SILENCE_TIMEOUT: Millis = Millis(2_500);

/// The most times that the limit is doubled.
const MAX_SILENCE_DOUBLINGS: u32 = 3;

/// A run that broke off after fewer events is short.
const SHORT_RUN_EVENTS: u32 = 4;

/// The time limit of a run; a longer one is broken off and the item resumes elsewhere.
const RUN_TIMEOUT: Millis = Millis(30_000);

/// Places items on engines and adds their results to the directory.
#[derive(Debug)]
pub(super) struct Items {
    placement: Box<dyn ItemPlacement>,
    finished: BTreeMap<JobKey, Vec<NewResult>>,
    finished_bytes: usize,
    flush_at: Millis,
    /// When the next pass over the waiting items may be made.
    next_pass: Millis,
    /// When items on upstreams that will be gone are looked at again; zero if there are none.
    next_move: Millis,
}

impl Items {
    /// Creates the controller with the policy that orders and places items.
    pub(super) fn new(placement: Box<dyn ItemPlacement>) -> Self {
        Self {
            placement,
            finished: BTreeMap::new(),
            finished_bytes: 0,
            flush_at: Millis::MAX,
            next_pass: Millis(0),
            next_move: Millis(0),
        }
    }
}

impl Controller for Items {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::ItemEnded { attempt, run }) => self.handle_item_ended(board, *attempt, run),
            Some(Event::ItemProgress(progress)) => {
                handle_progress(board, progress);
                propose_parts(board, progress);
                move_slow_items(board);
            }
            _ => {}
        }
        for key in std::mem::take(&mut board.upgraded_upstreams) {
            void_runs(board, key);
        }
        for (key, score) in std::mem::take(&mut board.scored_items) {
            self.finish_scored(board, key, score);
        }
        if board.now.mono >= self.next_move {
            let may_move_later = move_from_leaving(board);
            let next = board.now.mono + ENGINE_POLL_INTERVAL;
            self.next_move = if may_move_later { next } else { Millis(0) };
        }
        self.expire_items(board);
        self.place_waiting(board);
        self.flush(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let now = board.now.mono;
        let mut next = self.flush_at;
        if self.next_move > now {
            next = next.min(self.next_move);
        }
        for item in board.items.values() {
            if let ItemState::Waiting(at) = item.state {
                let again =
                    if self.next_pass > now { self.next_pass } else { now + ENGINE_POLL_INTERVAL };
                next = next.min(if at > now { at } else { again });
            }
        }
        next
    }
}

impl Items {
    fn handle_item_ended(&mut self, board: &mut Board, key: AttemptKey, run: &ItemRunReport) {
        let Some(attempt) = board.end_attempt(key) else { return };
        let Purpose::Item(item_key) = attempt.purpose else { return };
        let took = board.now.mono.since(attempt.started);
        let Some(item) = board.items.get_mut(item_key) else {
            update_health(board, attempt.upstream, run, (run.text.events, took));
            keep_orphan_text(board, key, &run.text);
            return;
        };
        let run_events = item.progress.0 + run.text.events;
        let tail = match item.progress {
            (0, _) => (run_events, took),
            (_, since) => (run.text.events, board.now.mono.since(since)),
        };
        update_health(board, attempt.upstream, run, (run_events, took));
        update_capacity(board, attempt.upstream, run, tail);
        let Some(item) = board.items.get_mut(item_key) else { return };
        let Some(job) = board.jobs.get(item.job) else { return };
        let spec = job.spec.clone();
        append_text(item, spec.resumable, run);
        let adds_nothing = run.end == ItemEnd::Whole && run_events == 0 && item.text.events > 0;
        // An answer that lost all its events looks the same, so another run has to confirm the end.
        let unconfirmed = adds_nothing && !item.end_reported;
        item.end_reported = unconfirmed || (item.end_reported && run_events == 0);
        let is_short = matches!(run.end, ItemEnd::Broken { .. }) && run_events < SHORT_RUN_EVENTS;
        item.short_runs = if is_short { item.short_runs + 1 } else { 0 };
        let now = board.now.mono;
        // `Some(None)` is a complete text whose weight versions the job does not accept.
        let outcome = match &run.end {
            _ if item.is_run_void => None,
            ItemEnd::Whole if unconfirmed => None,
            ItemEnd::Whole => Some(completed_outcome(item, &spec, None)),
            ItemEnd::Impossible => Some(Some(ItemOutcome::Errored)),
            ItemEnd::Failed { .. } => {
                item.failures += 1;
                (item.failures >= spec.max_attempts).then_some(Some(ItemOutcome::Errored))
            }
            ItemEnd::NotRun { .. } | ItemEnd::Broken { .. } | ItemEnd::Cancelled => None,
        };
        let delay = if matches!(run.end, ItemEnd::Cancelled | ItemEnd::Broken { .. }) {
            Millis(0)
        } else {
            RETRY_DELAY
        };
        item.avoid = (run.end != ItemEnd::Whole || unconfirmed).then_some(attempt.upstream);
        item.state = ItemState::Waiting(now + delay);
        let detail = format!(
            "item={} run={} events={} of_run={} versions={:?} took_ms={} end={:?}",
            item.index,
            item.runs,
            item.text.events,
            run_events,
            item.text.versions,
            took.0,
            run.end
        );
        let needs_score = job.item(item.index).is_some_and(|spec| spec.reward.is_some());
        match outcome {
            Some(Some(ItemOutcome::Completed { .. })) if needs_score => {
                item.complete_text(now);
                board.reward_queue.push(item_key, job.due, now);
                board.another_round = true;
            }
            Some(Some(outcome)) => self.finish(board, item_key, outcome),
            // The text is unusable: it was generated under weights that the job does not accept.
            Some(None) => item.discard_text(),
            None => board.counters.items_moved += 1,
        }
        board.note(EventKind::Item, spec.id.clone(), detail);
    }

    /// Finishes an item whose reward call has ended for good.
    fn finish_scored(&mut self, board: &mut Board, key: ItemKey, score: Option<Box<str>>) {
        let Some(item) = board.items.get(key) else { return };
        let Some(job) = board.jobs.get(item.job) else { return };
        let scored = score.and_then(|score| completed_outcome(item, &job.spec, Some(score)));
        self.finish(board, key, scored.unwrap_or(ItemOutcome::Errored));
    }

    fn finish(&mut self, board: &mut Board, key: ItemKey, outcome: ItemOutcome) {
        let Some(item) = board.items.get_mut(key) else { return };
        item.state = ItemState::Proposed;
        match outcome {
            ItemOutcome::Completed { .. } => board.counters.items_completed += 1,
            ItemOutcome::Errored => board.counters.items_errored += 1,
        }
        self.finished_bytes += outcome.text_bytes();
        let event_offset = match outcome {
            ItemOutcome::Completed { .. } => item.logged_events(),
            ItemOutcome::Errored => 0,
        };
        let result = ItemResult { item: item.index, outcome };
        self.finished.entry(item.job).or_default().push(NewResult { event_offset, result });
        self.flush_at = self.flush_at.min(board.now.mono + BATCH_DELAY);
    }

    fn flush(&mut self, board: &mut Board) {
        if self.finished_bytes < BATCH_BYTES && board.now.mono < self.flush_at {
            return;
        }
        self.finished_bytes = 0;
        self.flush_at = Millis::MAX;
        for (key, results) in std::mem::take(&mut self.finished) {
            let Some(job) = board.jobs.get(key) else { continue };
            let job = job.spec.id.clone();
            board.proposals.push((DirectoryCommand::AppendResults { job, results }, None));
            board.another_round = true;
        }
    }

    /// Ends the open items of a job as errored once the give-up time of the job has passed.
    fn expire_items(&mut self, board: &mut Board) {
        let now = board.now.mono;
        let mut expired = Vec::new();
        for job in board.jobs.values() {
            if now >= job.give_up_at {
                expired.extend(job.open_items.iter().copied());
            }
        }
        for key in expired {
            let Some(item) = board.items.get(key) else { continue };
            match item.state {
                ItemState::Proposed | ItemState::Stopping(_) => continue,
                ItemState::Running(attempt) | ItemState::Scoring(attempt) => {
                    board.end_attempt(attempt);
                    board.actions.push(Action::Cancel { attempt });
                }
                ItemState::Waiting(_) | ItemState::Unscored(_) => {}
            }
            self.finish(board, key, ItemOutcome::Errored);
        }
    }

    /// Places waiting items on the engines with a free slot.
    ///
    /// This runs for each event, so the engines are looked at only if an item waits.
    fn place_waiting(&mut self, board: &mut Board) {
        if board.now.mono < self.next_pass || !board.leads() {
            return;
        }
        let now = board.now.mono;
        let is_waiting = |item: &Item| matches!(item.state, ItemState::Waiting(at) if at <= now);
        if !board.items.values().any(is_waiting) {
            return;
        }
        let mut free = FreeEngines::new(board);
        if free.is_empty() {
            return;
        }
        let mut waiting = Vec::new();
        for (key, item) in &board.items {
            let ItemState::Waiting(at) = item.state else { continue };
            let Some(job) = board.jobs.get(item.job).filter(|_| at <= now) else { continue };
            let expected = job.item(item.index).map_or(0, |spec| spec.expected_tokens);
            let (due, index, begun) = (job.due, item.index, item.runs > 0);
            let waited = now.since(at);
            waiting.push(WaitingItem { key, due, index, expected, longest: 0, waited, begun });
        }
        if waiting.is_empty() {
            return;
        }
        mark_longest(&mut waiting);
        self.placement.order(&mut waiting);
        for item in waiting {
            if free.is_empty() {
                break;
            }
            let mut engines = free.candidates_for(board, item.key);
            let may_begin_anew = engines.is_empty()
                && is_text_hopeless(board, item.key)
                && free.has_candidate_without_text(board, item.key);
            if may_begin_anew {
                drop_text(board, item.key);
                engines = free.candidates_for(board, item.key);
            }
            let Some(upstream) = self.placement.place(&item, &engines) else {
                self.next_pass = now + PLACE_INTERVAL;
                continue;
            };
            start_run(board, item.key, upstream);
            free.remove_if_full(board, upstream);
        }
    }
}

/// Notes for each item the longest expected output of those that are due with it.
fn mark_longest(waiting: &mut [WaitingItem]) {
    let mut longest: BTreeMap<Millis, u32> = BTreeMap::new();
    for item in waiting.iter() {
        let longest = longest.entry(item.due).or_default();
        *longest = item.expected.max(*longest);
    }
    for item in waiting {
        item.longest = longest.get(&item.due).copied().unwrap_or(0);
    }
}

/// Records the events that arrived after the last progress report of a completed run, or all of them
/// if there was none.
fn update_capacity(
    board: &mut Board,
    key: UpstreamKey,
    run: &ItemRunReport,
    (units, took): (u32, Millis),
) {
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    if run.end == ItemEnd::Whole && !upstream.load.is_busy() {
        let slots = upstream.announced.slots;
        upstream.item_capacity.observe(now, Observation { slots, units, took });
    }
}

fn update_health(
    board: &mut Board,
    key: UpstreamKey,
    run: &ItemRunReport,
    (events, took): (u32, Millis),
) {
    let now = board.now.mono;
    let announced_by = Millis(board.cfg.times.announce_interval.0 * LOAD_ANNOUNCEMENTS);
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    match &run.end {
        ItemEnd::Whole => {
            upstream.health.failures = 0;
            upstream.health.avoid_until = Millis(0);
            upstream.health.record_events(events, took);
        }
        ItemEnd::NotRun { other_instance: true, .. } => upstream.gone = true,
        ItemEnd::NotRun { status: STATUS_VERSION_MISMATCH, .. } => {
            let models: Vec<Box<str>> =
                upstream.announced.versions.iter().map(|(model, _)| model.clone()).collect();
            models.iter().for_each(|model| upstream.load.invalidate(model));
            upstream.health.avoid_until = now + RETRY_DELAY;
        }
        ItemEnd::NotRun { .. } => match upstream.refuse_while_loading(now + announced_by) {
            Some(since) => board.load_time.record_unfinished(now.since(since)),
            None => upstream.health.record_failure(now),
        },
        ItemEnd::Broken { .. } => upstream.health.record_failure(now),
        ItemEnd::Failed { .. } | ItemEnd::Impossible | ItemEnd::Cancelled => {}
    }
}

/// How many announcements an upstream that refuses items while it loads weights may send until it is tried
/// again without having announced them.
const LOAD_ANNOUNCEMENTS: u64 = 2;

/// The status with which an upstream refuses an item because it runs another version than expected.
const STATUS_VERSION_MISMATCH: u16 = 421;

/// Appends the last events of a run to the item's text, or discards the text if the run was not
/// completed and the job is not resumable.
fn append_text(item: &mut Item, resumable: bool, run: &ItemRunReport) {
    item.progress = (0, item.progress.1);
    if !resumable && run.end != ItemEnd::Whole {
        item.discard_text();
        return;
    }
    item.append_events(&run.text);
}

/// Keeps the text of an item whose job was dropped, for a later job that contains the item again.
fn keep_orphan_text(board: &mut Board, attempt: AttemptKey, text: &ItemText) {
    let Some(mut orphan) = board.orphans.remove(&attempt) else { return };
    orphan.item.append_events(text);
    board.text_cache.insert(orphan.workspace.as_deref(), &orphan.spec, &orphan.item);
}

/// Returns the outcome of a complete text with its score, if it needs one, or `None` if the job does
/// not accept its weight versions.
fn completed_outcome(item: &Item, spec: &JobSpec, score: Option<Box<str>>) -> Option<ItemOutcome> {
    if !spec.accepts_versions(&item.text.versions) {
        return None;
    }
    let (text, versions) = (item.unlogged_text().into(), item.text.versions.clone());
    Some(ItemOutcome::Completed { text, versions, score })
}

fn start_run(board: &mut Board, key: ItemKey, upstream_key: UpstreamKey) {
    let item = &board.items[key];
    let Some(job) = board.jobs.get(item.job) else { return };
    let spec = job.spec.clone();
    let tokens = reserved_tokens(&spec, item.index);
    let expected = job.item(item.index).map_or(0, |spec| spec.expected_tokens);
    let Some(admission) = board.admit(upstream_key) else { return };
    let attempt = board.begin_attempt(Purpose::Item(key), admission, tokens);
    let now = board.now.mono;
    let upstream = &board.upstreams[upstream_key];
    let version = spec.model.as_ref().map(|model| upstream.version_of(model));
    let item = &mut board.items[key];
    let waited =
        if let ItemState::Waiting(since) = item.state { now.since(since) } else { Millis(0) };
    item.state = ItemState::Running(attempt);
    item.runs += 1;
    item.is_run_void = false;
    item.run_software.clone_from(&upstream.announced.software);
    item.progress = (0, now);
    let detail = format!(
        "item={} run={} expected_tokens={expected} upstream={} version={version:?} \
         in_flight={}/{} event_us={} resume_after={:?} waited_ms={} software={}",
        item.index,
        item.runs,
        upstream.announced.id,
        upstream.in_flight,
        upstream.announced.slots,
        upstream.health.event_interval_us,
        item.text.last_event,
        waited.0,
        item.run_software
    );
    let run = RunItem {
        attempt,
        upstream: upstream.address(upstream_key),
        job: spec.clone(),
        item: item.index,
        resume_after: item.text.last_event,
        version,
        silence: Millis(SILENCE_TIMEOUT.0 << item.short_runs.min(MAX_SILENCE_DOUBLINGS)),
        deadline: RUN_TIMEOUT,
        strips_key: spec.workspace.is_some() || access::has_workspaces(board),
    };
    board.counters.item_runs += 1;
    board.note(EventKind::Item, spec.id.clone(), detail);
    board.actions.push(Action::RunItem(run));
}
