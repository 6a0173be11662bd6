//! Jobs: on the leader, keeps the items to be run consistent with the jobs in the directory.
//!
//! Reads: `group`, `changed_jobs`, `text_cache`, the clock.
//! Writes: `jobs`, `job_index`, `items`, `attempts`, `reward_queue`, `orphans`, `text_cache`,
//! `proposals`, `actions`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Controller;
use crate::directory::{
    Directory, DirectoryCommand, ItemOutcome, ItemResult, ItemSpec, ItemText, Job, JobSpec,
    NewResult,
};
use crate::gateway::action::Action;
use crate::gateway::board::{Board, Item, ItemState, JobRun, Orphan, is_same_item};
use crate::gateway::event::Event;
use crate::key::JobKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The interval between two checks for expired jobs.
const EXPIRY_INTERVAL: Millis = Millis(10_000);

/// The time added to the promised retention of results, because the hosts' clocks differ.
const RETENTION_MARGIN: Millis = Millis(30_000);

/// The time added to the give-up time of a job, because the hosts' clocks differ.
const GIVE_UP_MARGIN: Millis = Millis(5_000);

/// Tracks the open jobs and their items.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    /// The fencing token of the leadership in which this host started the open jobs; `None` if it
    /// runs none.
    started_in: Option<u64>,
}

impl Controller for Jobs {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        let changed = std::mem::take(&mut board.changed_jobs);
        let leads = board.leads();
        // A lease may lapse for a moment while its holder or a link is slow. As long as no other host
        // can lead, the runs in progress go on; new ones wait for the lease.
        let leadership = leadership(board);
        if self.started_in.is_some() && self.started_in != leadership {
            self.started_in = None;
            let keys: Vec<JobKey> = board.jobs.keys().collect();
            for key in keys {
                remove_job(board, key);
            }
        }
        if leads && self.started_in.is_none() {
            self.started_in = leadership;
            start_open_jobs(board);
        }
        if self.started_in.is_none() {
            return;
        }
        for id in changed {
            sync_job(board, &id);
        }
        if leads {
            expire_jobs(board);
        }
    }
}

/// Returns the fencing token of this host's leadership, with or without the lease.
fn leadership(board: &Board) -> Option<u64> {
    let replica = &board.group.as_ref()?.replica;
    replica.leader_since().map(|_| replica.fencing_token())
}

/// Starts every open job of the directory, after this host became the leader.
fn start_open_jobs(board: &mut Board) {
    let Some(group) = &board.group else { return };
    let jobs = group.directory.jobs.iter();
    let open: Vec<Box<str>> =
        jobs.filter(|(_, job)| job.is_open()).map(|(id, _)| id.clone()).collect();
    for id in open {
        sync_job(board, &id);
    }
}

/// Starts, updates or removes this host's record of a job to match the directory.
fn sync_job(board: &mut Board, id: &str) {
    let Some(group) = board.group.take() else { return };
    let job = group.directory.jobs.get(id);
    let known = board.job_index.get(id).copied();
    match (job, known) {
        (Some(job), Some(key)) if job.is_open() => remove_items_with_result(board, key, job),
        (_, Some(key)) => remove_job(board, key),
        (Some(job), None) if job.is_open() => start_job(board, &group.directory, job),
        (_, None) => {}
    }
    board.group = Some(group);
}

/// Creates the items of a job that have no result yet, and proposes the results that are known from
/// earlier jobs.
fn start_job(board: &mut Board, directory: &Directory, job: &Job) {
    let wanted: BTreeSet<&str> = job.spec.items.iter().map(|item| &*item.id).collect();
    let earlier_results = results_by_item(directory, &job.spec, &wanted);
    let partial_texts = partial_texts_by_item(directory, &job.spec, &wanted);
    let mut known_results = Vec::new();
    let now = board.now.mono;
    let age = board.now.wall.since(job.accepted_at);
    let spec = Arc::clone(&job.spec);
    let deadline = |limit: Millis| now + limit.since(age);
    let (due, give_up_at) =
        (deadline(spec.due_after), deadline(spec.give_up_after + GIVE_UP_MARGIN));
    let run = JobRun { spec: Arc::clone(&spec), due, give_up_at, open_items: Vec::new() };
    let key = board.jobs.insert(run);
    board.job_index.insert(spec.id.clone(), key);
    for index in 0..u32::try_from(spec.items.len()).unwrap_or(u32::MAX) {
        if job.has_result(index) {
            continue;
        }
        let item_spec = &spec.items[index as usize];
        let mut item = Item::new(key, index, now);
        match earlier_results.get(&*item_spec.id).and_then(|r| r.reuse_for(&spec, item_spec)) {
            Some(Reusable::Outcome(outcome)) => {
                item.state = ItemState::Proposed;
                known_results.push(NewResult::with_whole_text(ItemResult { item: index, outcome }));
            }
            Some(Reusable::Text(text)) => {
                item.text = text;
                item.complete_text(now);
            }
            None => restore_text(board, job, &partial_texts, &mut item),
        }
        let (unscored, item) = (item.whole_at.is_some(), board.items.insert(item));
        board.jobs[key].open_items.push(item);
        if unscored {
            board.reward_queue.push(item, due, now);
            board.another_round = true;
        }
    }
    if !known_results.is_empty() {
        let detail = format!("listed_from_earlier_jobs={}", known_results.len());
        board.note(EventKind::Job, spec.id.clone(), detail);
        let command =
            DirectoryCommand::AppendResults { job: spec.id.clone(), results: known_results };
        board.proposals.push((command, None));
        board.another_round = true;
    }
}

/// Restores the longest known text of an item: the one that the log holds for its job, the one that
/// this host kept from an earlier job, or the one that the log holds for an earlier job.
fn restore_text(board: &Board, job: &Job, partial_texts: &PartialTexts<'_>, item: &mut Item) {
    let (spec, item_spec) = (&job.spec, &job.spec.items[item.index as usize]);
    let usable = |text: &ItemText| spec.resumable && spec.accepts_versions(&text.versions);
    let logged = job.partial_text(item.index).filter(usable).unwrap_or_default();
    let cached = board.text_cache.get(spec, item_spec);
    if let Some(cached) = cached.filter(|cached| cached.is_whole && item_spec.reward.is_some()) {
        item.text = cached.text.clone();
        item.complete_text(board.now.mono);
        return;
    }
    let cached = cached.map(|cached| cached.text.clone());
    let earlier = partial_texts.get(&*item_spec.id).filter(|(job, index)| {
        job.spec.id != spec.id && is_same_item(&job.spec.items[*index as usize], item_spec)
    });
    let earlier = earlier.and_then(|(job, index)| job.partial_text(*index)).filter(usable);
    let reusable = cached.into_iter().chain(earlier).max_by_key(|text| text.events);
    match reusable {
        Some(text) if text.events > logged.events => item.text = text,
        _ => item.resume_from_log(logged),
    }
}

/// The wanted items whose text the log holds in part, by name, each with the newest job that has such a text
/// and the index of the item in that job.
type PartialTexts<'a> = BTreeMap<&'a str, (&'a Job, u32)>;

fn partial_texts_by_item<'a>(
    directory: &'a Directory,
    spec: &JobSpec,
    wanted: &BTreeSet<&str>,
) -> PartialTexts<'a> {
    let mut partial_texts: PartialTexts<'_> = BTreeMap::new();
    for job in jobs_of_workspace(directory, spec) {
        for index in job.items_with_partial_text() {
            let id = &*job.spec.items[index as usize].id;
            if !wanted.contains(id) {
                continue;
            }
            let newer =
                partial_texts.get(id).is_none_or(|(known, _)| known.accepted_at < job.accepted_at);
            if newer {
                partial_texts.insert(id, (job, index));
            }
        }
    }
    partial_texts
}

/// A result in the directory and the item that it belongs to.
struct KnownResult<'a> {
    spec: &'a ItemSpec,
    outcome: &'a ItemOutcome,
}

/// What an item of a later job can take over from a result.
enum Reusable {
    /// The whole outcome.
    Outcome(ItemOutcome),
    /// The text; its score is missing or comes from another reward call.
    Text(ItemText),
}

impl KnownResult<'_> {
    /// Returns what can be reused for an item of a later job, or `None` if nothing: the items must be
    /// equal, and the job must accept the weight versions.
    fn reuse_for(&self, job: &JobSpec, item: &ItemSpec) -> Option<Reusable> {
        let ItemOutcome::Completed { text, versions, .. } = self.outcome else { return None };
        if !is_same_item(self.spec, item) || !job.accepts_versions(versions) {
            return None;
        }
        if self.spec.reward == item.reward {
            return Some(Reusable::Outcome(self.outcome.clone()));
        }
        if item.reward.is_none() {
            let (text, versions) = (Arc::clone(text), versions.clone());
            return Some(Reusable::Outcome(ItemOutcome::Completed { text, versions, score: None }));
        }
        Some(Reusable::Text(ItemText {
            text: text.to_string(),
            events: u32::try_from(text.lines().count()).unwrap_or(u32::MAX),
            last_event: None,
            versions: versions.clone(),
            software: Box::default(),
        }))
    }
}

/// Returns the jobs of the directory that belong to the same workspace as a job.
fn jobs_of_workspace<'a>(
    directory: &'a Directory,
    spec: &JobSpec,
) -> impl Iterator<Item = &'a Job> {
    directory.jobs.values().filter(|job| job.spec.workspace == spec.workspace)
}

/// Returns the results of the wanted items in all jobs of the directory that belong to the same
/// workspace as a job, by the names of the items.
fn results_by_item<'a>(
    directory: &'a Directory,
    spec: &JobSpec,
    wanted: &BTreeSet<&str>,
) -> BTreeMap<&'a str, KnownResult<'a>> {
    let mut results = BTreeMap::new();
    for job in jobs_of_workspace(directory, spec) {
        for result in &job.results {
            let Some(spec) = job.spec.items.get(result.item as usize) else { continue };
            if !wanted.contains(&*spec.id) {
                continue;
            }
            results.insert(&*spec.id, KnownResult { spec, outcome: &result.outcome });
        }
    }
    results
}

fn remove_items_with_result(board: &mut Board, key: JobKey, job: &Job) {
    let (open, spec) = (std::mem::take(&mut board.jobs[key].open_items), Arc::clone(&job.spec));
    let mut remaining = Vec::with_capacity(open.len());
    for item_key in open {
        let has_result = board.items.get(item_key).is_none_or(|item| job.has_result(item.index));
        if !has_result {
            remaining.push(item_key);
            continue;
        }
        let Some(item) = board.items.remove(item_key) else { continue };
        stop_item(board, &spec, item);
    }
    board.jobs[key].open_items = remaining;
}

fn remove_job(board: &mut Board, key: JobKey) {
    let Some(run) = board.jobs.remove(key) else { return };
    board.job_index.remove(&run.spec.id);
    for item_key in run.open_items {
        let Some(item) = board.items.remove(item_key) else { continue };
        stop_item(board, &run.spec, item);
    }
}

/// Stops the work on an item, and keeps its text for later jobs.
fn stop_item(board: &mut Board, job: &JobSpec, item: Item) {
    let Some(spec) = job.items.get(item.index as usize) else { return };
    let workspace = job.workspace.as_deref();
    match item.state {
        ItemState::Running(attempt) | ItemState::Stopping(attempt) => {
            if let ItemState::Running(_) = item.state {
                board.actions.push(Action::Cancel { attempt });
            }
            let (spec, workspace) = (spec.clone(), job.workspace.clone());
            board.orphans.insert(attempt, Orphan { spec, workspace, item });
        }
        ItemState::Scoring(attempt) => {
            board.end_attempt(attempt);
            board.actions.push(Action::Cancel { attempt });
            board.text_cache.insert(workspace, spec, &item);
        }
        ItemState::Waiting(_) | ItemState::Unscored(_) => {
            board.text_cache.insert(workspace, spec, &item);
        }
        ItemState::Proposed => {}
    }
}

/// Proposes the removal of the jobs whose results no longer have to be readable.
fn expire_jobs(board: &mut Board) {
    let (retention, wall) = (board.cfg.times.results_retention + RETENTION_MARGIN, board.now.wall);
    let Some(group) = &mut board.group else { return };
    if board.now.mono < group.next_job_cleanup {
        return;
    }
    group.next_job_cleanup = board.now.mono + EXPIRY_INTERVAL;
    let mut expired = Vec::new();
    for (id, job) in &group.directory.jobs {
        if !job.is_open() && wall.since(job.accepted_at) > retention {
            expired.push(id.clone());
        }
    }
    if !expired.is_empty() {
        board.proposals.push((DirectoryCommand::RemoveJobs { jobs: expired }, None));
        board.another_round = true;
    }
}
