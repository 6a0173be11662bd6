//! Items: on the leader, runs the items of jobs and lists their results.
//!
//! Reads: ended runs, progress, `jobs`, `upstreams`, the clock.
//! Writes: `items`, `attempts`, `upstreams` (health), `wishes`, `actions`.
//!
//! An item whose run breaks off goes on at another engine after the last event that came. An item
//! on an engine that falls behind the others is stopped there first and goes on elsewhere. Texts of
//! items that run long are given to the log in parts, so that another leader can go on from them.

use std::collections::BTreeMap;

use super::Controller;
use crate::directory::{
    DirectoryCommand, ItemOutcome, ItemResult, ItemText, JobSpec, NewResult, TextPart,
};
use crate::gateway::action::{Action, RunItem, UpstreamAddress};
use crate::gateway::board::{Board, Item, ItemState, Purpose, Upstream};
use crate::gateway::event::{Event, ItemEnd, ItemRun};
use crate::gateway::policy::{Engine, ItemPlacement, OpenItem};
use crate::key::{AttemptKey, ItemKey, JobKey, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long results are gathered before they are written to the log together.
const GATHER: Millis = Millis(40);

/// How many bytes of text are written to the log together at the latest: an entry must not keep a
/// link busy for long.
const GATHER_BYTES: usize = 64 * 1024;

/// The events of a resumable text that are given to the log together before it is whole: a second's
/// worth, so that most texts need no part and the others lose a second with their leader.
const EVENTS_PER_PART: u32 = 24;

/// How long an item rests after an upstream refused or failed it.
const REST: Millis = Millis(40);

/// The time between two looks for an engine with room.
const LOOK_AGAIN: Millis = Millis(100);

/// How long an engine may be silent in the middle of a run: longer than a load of weights.
const SILENCE: Millis = Millis(2_500);

/// The longest run, beyond which it is broken off and goes on elsewhere.
const LONGEST_RUN: Millis = Millis(30_000);

/// The share of its expected output that an item takes of an engine's memory on average, in
/// percent: its text grows from nothing while it runs.
const MEMORY_PERCENT: u64 = 50;

/// How much of an engine's memory is given out, in percent.
const MEMORY_USED_PERCENT: u64 = 95;

/// How much slower than the usual an engine must be for its items to move, in percent: twice as
/// slow, for a move costs an item a new start.
const MOVE_PERCENT: u64 = 200;

/// How much slower than the usual an engine may be for items to move there, in percent.
const MOVE_TO_PERCENT: u64 = 130;

/// The events that an item must have brought at an engine before it moves: neighbours slow an
/// engine for as long as a dozen events take, and then leave.
const EVENTS_FOR_PACE: u32 = 12;

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
    fn ended(&mut self, board: &mut Board, key: AttemptKey, run: &ItemRun) {
        let Some(attempt) = board.end_attempt(key) else { return };
        let Purpose::Item(item_key) = attempt.purpose else { return };
        let took = board.now.mono.since(attempt.began);
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
                (item.failures >= spec.attempts).then_some(Some(ItemOutcome::Errored))
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
            Some(None) => item.restart(),
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
        self.finished.entry(item.job).or_default().push(NewResult { after, result });
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
            board.wishes.push((DirectoryCommand::List { job, results }, None));
            board.again = true;
        }
    }

    /// Lists items as errored that may be given up by now.
    fn give_up_old(&mut self, board: &mut Board) {
        let now = board.now.mono;
        let mut old = Vec::new();
        for job in board.jobs.values() {
            if now >= job.give_up {
                old.extend(job.open.iter().copied());
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
            waiting.push(OpenItem { key, due, index, expected, begun });
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

fn note_health(board: &mut Board, key: UpstreamKey, run: &ItemRun, (events, took): (u32, Millis)) {
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    match &run.end {
        ItemEnd::Whole => {
            upstream.health.failures = 0;
            upstream.health.avoid_until = Millis(0);
            upstream.health.produced(events, took);
        }
        ItemEnd::NotRun { other_instance: true, .. } => upstream.gone = true,
        ItemEnd::NotRun { status: VERSION_DIFFERS, .. } => {
            let models: Vec<Box<str>> =
                upstream.announced.versions.iter().map(|(model, _)| model.clone()).collect();
            models.iter().for_each(|model| upstream.load.doubt(model));
            upstream.health.avoid_until = now + REST;
        }
        ItemEnd::NotRun { .. } | ItemEnd::Broken { .. } => upstream.health.failed(now),
        ItemEnd::Failed { .. } | ItemEnd::Impossible | ItemEnd::Cancelled => {}
    }
}

/// The status of an upstream that runs another version than was expected.
const VERSION_DIFFERS: u16 = 421;

/// Adds what a run brought last to the item's text, where another run can go on from it.
fn keep_text(item: &mut Item, resumable: bool, run: &ItemRun) {
    item.progress = (0, item.progress.1);
    if !resumable && run.end != ItemEnd::Whole {
        item.restart();
        return;
    }
    item.text.append(&run.text);
}

/// Keeps the text of an item whose job is over, for a later job that asks for it again.
fn keep_orphan(board: &mut Board, attempt: AttemptKey, text: &ItemText) {
    let Some((spec, mut item)) = board.orphans.remove(&attempt) else { return };
    item.text.append(text);
    board.texts.keep(&spec, &item);
}

/// Returns the outcome of a whole text, or none where its weights are not those that the job takes.
fn completed(item: &Item, spec: &JobSpec) -> Option<ItemOutcome> {
    if !spec.takes_versions(&item.text.versions) {
        return None;
    }
    let (text, versions) = (item.unlogged().into(), item.text.versions.clone());
    Some(ItemOutcome::Completed { text, versions })
}

fn reserved(spec: &JobSpec, index: u32) -> u64 {
    let Some(item) = spec.items.get(index as usize) else { return 0 };
    if item.expected_tokens == 0 {
        return u64::from(item.tokens);
    }
    let expected = u64::from(item.expected_tokens) * MEMORY_PERCENT / 100;
    (u64::from(item.prompt_tokens) + expected).min(u64::from(item.tokens))
}

/// Returns the engines that have room for an item and run weights that its job takes.
fn engines_for(board: &Board, key: ItemKey) -> Vec<Engine> {
    let item = &board.items[key];
    let Some(job) = board.jobs.get(item.job) else { return Vec::new() };
    let spec = &job.spec;
    let Some(routing) = &board.routing else { return Vec::new() };
    let tokens = reserved(spec, item.index);
    let now = board.now.mono;
    let mut engines = Vec::new();
    for (upstream_key, upstream) in &board.upstreams {
        let announced = &upstream.announced;
        if !spec.services.contains(&announced.service) || !upstream.takes_work() {
            continue;
        }
        let memory =
            routing.service(&announced.service).and_then(|service| service.engine.as_ref());
        let memory = memory.map_or(u64::MAX, |engine| engine.memory_tokens);
        let room = upstream.tokens == 0
            || (upstream.tokens + tokens) * 100 <= memory.saturating_mul(MEMORY_USED_PERCENT);
        let free = upstream.in_flight < announced.slots.max(1) && room;
        let loads = spec.model.as_ref().is_some_and(|model| upstream.load.blocks(model));
        let rests = upstream.is_avoided(now) || loads;
        if !free || rests || !takes_version(item, spec, upstream) {
            continue;
        }
        engines.push(Engine {
            key: upstream_key,
            distance: board.cfg.distance(&announced.zone),
            in_flight: upstream.in_flight,
            slots: announced.slots.max(1),
            event_us: upstream.health.event_us,
        });
    }
    if engines.len() > 1 {
        engines.retain(|engine| Some(engine.key) != item.avoid);
    }
    engines
}

fn takes_version(item: &Item, spec: &JobSpec, upstream: &Upstream) -> bool {
    let Some(model) = &spec.model else { return true };
    let version = upstream.version_of(model);
    let goes_on = item.text.events > 0 && spec.single_version;
    version >= spec.min_version && (!goes_on || item.text.versions == [version])
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
        upstream.health.event_us,
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

fn take_progress(board: &mut Board, progress: &[(AttemptKey, ItemText)]) {
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
            upstream.health.produced(text.events, now.since(since));
        }
    }
}

/// Gives the log the parts of long texts that it lacks.
fn keep_parts(board: &mut Board, progress: &[(AttemptKey, ItemText)]) {
    let mut parts: BTreeMap<JobKey, Vec<TextPart>> = BTreeMap::new();
    for (attempt_key, _) in progress {
        let Some(attempt) = board.attempts.get(*attempt_key) else { continue };
        let Purpose::Item(item_key) = attempt.purpose else { continue };
        let Some(item) = board.items.get_mut(item_key) else { continue };
        let job = board.jobs.get(item.job).filter(|job| job.spec.resumable);
        let long = item.text.events >= item.logged_events() + EVENTS_PER_PART;
        if long && job.is_some() {
            parts.entry(item.job).or_default().push(item.take_part());
        }
    }
    for (key, parts) in parts {
        let Some(job) = board.jobs.get(key).map(|job| job.spec.id.clone()) else { continue };
        for parts in chunks(parts) {
            board.wishes.push((DirectoryCommand::Keep { job: job.clone(), parts }, None));
            board.again = true;
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
    let paces = board.upstreams.values().map(|upstream| upstream.health.event_us);
    let mut paces: Vec<u64> = paces.filter(|us| *us > 0).collect();
    paces.sort_unstable();
    paces.get(paces.len() / 2).copied()
}

/// Stops items on engines that fall behind, where another engine has room for them.
fn move_slow(board: &mut Board) {
    let Some(usual) = usual_pace(board) else { return };
    let mut slow = Vec::new();
    for (key, item) in &board.items {
        let ItemState::Running(attempt_key) = item.state else { continue };
        let Some(attempt) = board.attempts.get(attempt_key) else { continue };
        let Some(upstream) = board.upstreams.get(attempt.upstream) else { continue };
        let behind = upstream.health.event_us * 100 > usual * MOVE_PERCENT;
        let resumable = board.jobs.get(item.job).is_some_and(|job| job.spec.resumable);
        if behind && resumable && !upstream.load.is_busy() && item.progress.0 >= EVENTS_FOR_PACE {
            slow.push((key, attempt_key, attempt.upstream));
        }
    }
    let mut room: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
    for (key, attempt_key, from) in slow {
        let fast = |engine: &&Engine| {
            let taken = room.get(&engine.key).copied().unwrap_or(0);
            let keeps_pace = engine.event_us * 100 <= usual * MOVE_TO_PERCENT;
            engine.key != from && keeps_pace && engine.in_flight + taken < engine.slots
        };
        let engines = engines_for(board, key);
        let Some(to) = engines.iter().find(fast).map(|engine| engine.key) else { continue };
        *room.entry(to).or_default() += 1;
        board.items[key].state = ItemState::Stopping(attempt_key);
        board.actions.push(Action::Cancel { attempt: attempt_key });
    }
}
