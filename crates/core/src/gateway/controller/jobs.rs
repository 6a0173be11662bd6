//! Jobs: on the leader, keeps the items that are to be run in step with the directory.
//!
//! Reads: `group`, `jobs_touched`, the clock. Writes: `jobs`, `items`, `attempts`, `wishes`.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Controller;
use crate::directory::{
    Directory, DirectoryCommand, ItemOutcome, ItemResult, ItemSpec, ItemText, Job, JobSpec,
    NewResult,
};
use crate::gateway::action::Action;
use crate::gateway::board::{Board, Item, ItemState, JobRun, is_same_item};
use crate::gateway::event::Event;
use crate::key::JobKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The time between two looks for jobs that can be forgotten.
const FORGET_EVERY: Millis = Millis(10_000);

/// How much longer than promised results are kept, since the hosts' clocks differ.
const KEPT_SLACK: Millis = Millis(30_000);

/// How much later than allowed an item is given up, since the hosts' clocks differ.
const GIVE_UP_SLACK: Millis = Millis(5_000);

/// Keeps jobs.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    led: bool,
}

impl Controller for Jobs {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        let touched = std::mem::take(&mut board.changed_jobs);
        let leads = board.leads();
        let led = std::mem::replace(&mut self.led, leads);
        if !leads {
            let keys: Vec<JobKey> = board.jobs.keys().collect();
            for key in keys {
                drop_job(board, key);
            }
            return;
        }
        if !led {
            adopt_all(board);
        }
        for id in touched {
            update(board, &id);
        }
        forget_old(board);
    }
}

/// Takes up every open job, as a host does that begins to lead.
fn adopt_all(board: &mut Board) {
    let Some(group) = &board.group else { return };
    let jobs = group.directory.jobs.iter();
    let open: Vec<Box<str>> =
        jobs.filter(|(_, job)| job.is_open()).map(|(id, _)| id.clone()).collect();
    for id in open {
        update(board, &id);
    }
}

fn update(board: &mut Board, id: &str) {
    let Some(group) = board.group.take() else { return };
    let job = group.directory.jobs.get(id);
    let known = board.job_index.get(id).copied();
    match (job, known) {
        (Some(job), Some(key)) if job.is_open() => drop_listed(board, key, job),
        (_, Some(key)) => drop_job(board, key),
        (Some(job), None) if job.is_open() => adopt(board, &group.directory, job),
        (_, None) => {}
    }
    board.group = Some(group);
}

fn adopt(board: &mut Board, directory: &Directory, job: &Job) {
    let (listed_before, drafts) = (listed_results(directory), drafts(directory));
    let mut known = Vec::new();
    let now = board.now.mono;
    let age = board.now.wall.since(job.accepted_at);
    let spec = Arc::clone(&job.spec);
    let left = |whole: Millis| now + whole.since(age);
    let (due, give_up) = (left(spec.due_after), left(spec.give_up_after + GIVE_UP_SLACK));
    let run = JobRun { spec: Arc::clone(&spec), due, give_up_at: give_up, open_items: Vec::new() };
    let key = board.jobs.insert(run);
    board.job_index.insert(spec.id.clone(), key);
    for index in 0..u32::try_from(spec.items.len()).unwrap_or(u32::MAX) {
        if job.has_result(index) {
            continue;
        }
        let asked = &spec.items[index as usize];
        let mut item = Item::new(key, index, now);
        match listed_before.get(&*asked.id).and_then(|text| text.outcome_for(&spec, asked)) {
            Some(outcome) => {
                item.state = ItemState::Proposed;
                known.push(NewResult::with_whole_text(ItemResult { item: index, outcome }));
            }
            None => restore_text(board, job, &drafts, &mut item),
        }
        let item = board.items.insert(item);
        board.jobs[key].open_items.push(item);
    }
    if !known.is_empty() {
        let detail = format!("listed_from_earlier_jobs={}", known.len());
        board.note(EventKind::Job, spec.id.clone(), detail);
        let command = DirectoryCommand::AppendResults { job: spec.id.clone(), results: known };
        board.proposals.push((command, None));
        board.another_round = true;
    }
}

/// Gives an item the longest text that is known of it: what the log holds for its job, what this
/// host kept of an earlier job, or what the log holds for one.
fn restore_text(board: &Board, job: &Job, drafts: &Drafts<'_>, item: &mut Item) {
    let (spec, asked) = (&job.spec, &job.spec.items[item.index as usize]);
    let usable = |text: &ItemText| spec.resumable && spec.accepts_versions(&text.versions);
    let own = job.partial_text(item.index).filter(usable).unwrap_or_default();
    let cached = board.text_cache.get(spec, asked).cloned();
    let earlier = drafts.get(&*asked.id).filter(|(job, index)| {
        job.spec.id != spec.id && is_same_item(&job.spec.items[*index as usize], asked)
    });
    let earlier = earlier.and_then(|(job, index)| job.partial_text(*index)).filter(usable);
    let elsewhere = cached.into_iter().chain(earlier).max_by_key(|text| text.events);
    match elsewhere {
        Some(text) if text.events > own.events => item.text = text,
        _ => item.resume_from_log(own),
    }
}

/// The items of whose texts the log holds a part, by their names, with the newest job of each.
type Drafts<'a> = BTreeMap<&'a str, (&'a Job, u32)>;

fn drafts(directory: &Directory) -> Drafts<'_> {
    let mut drafts: Drafts<'_> = BTreeMap::new();
    for job in directory.jobs.values() {
        for index in job.items_with_partial_text() {
            let id = &*job.spec.items[index as usize].id;
            let newer = drafts.get(id).is_none_or(|(known, _)| known.accepted_at < job.accepted_at);
            if newer {
                drafts.insert(id, (job, index));
            }
        }
    }
    drafts
}

/// A result of an earlier job.
struct Listed<'a> {
    spec: &'a ItemSpec,
    outcome: &'a ItemOutcome,
}

impl Listed<'_> {
    /// Returns the outcome, where it can stand for an item of a later job.
    fn outcome_for(&self, job: &JobSpec, asked: &ItemSpec) -> Option<ItemOutcome> {
        let ItemOutcome::Completed { versions, .. } = self.outcome else { return None };
        let usable = is_same_item(self.spec, asked) && job.accepts_versions(versions);
        usable.then(|| self.outcome.clone())
    }
}

/// Returns the results of the jobs that are known, by the names of their items.
fn listed_results(directory: &Directory) -> BTreeMap<&str, Listed<'_>> {
    let mut results = BTreeMap::new();
    for job in directory.jobs.values() {
        for result in &job.results {
            let Some(spec) = job.spec.items.get(result.item as usize) else { continue };
            results.insert(&*spec.id, Listed { spec, outcome: &result.outcome });
        }
    }
    results
}

fn drop_listed(board: &mut Board, key: JobKey, job: &Job) {
    let (open, spec) = (std::mem::take(&mut board.jobs[key].open_items), Arc::clone(&job.spec));
    let mut left = Vec::with_capacity(open.len());
    for item_key in open {
        let listed = board.items.get(item_key).is_none_or(|item| job.has_result(item.index));
        if !listed {
            left.push(item_key);
            continue;
        }
        let Some(item) = board.items.remove(item_key) else { continue };
        stop(board, &spec, item);
    }
    board.jobs[key].open_items = left;
}

fn drop_job(board: &mut Board, key: JobKey) {
    let Some(run) = board.jobs.remove(key) else { return };
    board.job_index.remove(&run.spec.id);
    for item_key in run.open_items {
        let Some(item) = board.items.remove(item_key) else { continue };
        stop(board, &run.spec, item);
    }
}

/// Ends the work on an item, and keeps what there is of its text.
fn stop(board: &mut Board, job: &JobSpec, item: Item) {
    let Some(spec) = job.items.get(item.index as usize) else { return };
    match item.state {
        ItemState::Running(attempt) => {
            board.actions.push(Action::Cancel { attempt });
            board.orphans.insert(attempt, (spec.clone(), item));
        }
        ItemState::Stopping(attempt) => {
            board.orphans.insert(attempt, (spec.clone(), item));
        }
        ItemState::Waiting(_) => board.text_cache.insert(spec, &item),
        ItemState::Proposed => {}
    }
}

/// Forgets jobs whose results need not be readable any more.
fn forget_old(board: &mut Board) {
    let (kept, wall) = (board.cfg.times.results_retention + KEPT_SLACK, board.now.wall);
    let Some(group) = &mut board.group else { return };
    if board.now.mono < group.next_job_cleanup {
        return;
    }
    group.next_job_cleanup = board.now.mono + FORGET_EVERY;
    let mut old = Vec::new();
    for (id, job) in &group.directory.jobs {
        if !job.is_open() && wall.since(job.accepted_at) > kept {
            old.push(id.clone());
        }
    }
    if !old.is_empty() {
        board.proposals.push((DirectoryCommand::RemoveJobs { jobs: old }, None));
        board.another_round = true;
    }
}
