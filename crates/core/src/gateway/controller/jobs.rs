//! Jobs: on the leader, keeps the items that are to be run in step with the directory.
//!
//! Reads: `group`, `jobs_touched`, the clock. Writes: `jobs`, `items`, `attempts`, `wishes`.

use std::sync::Arc;

use super::Controller;
use crate::directory::{DirectoryCommand, Job};
use crate::gateway::action::Action;
use crate::gateway::board::{Board, Item, ItemState, JobRun};
use crate::gateway::event::Event;
use crate::key::JobKey;
use crate::time::Millis;

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
        let touched = std::mem::take(&mut board.jobs_touched);
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
        (Some(job), None) if job.is_open() => adopt(board, job),
        (_, None) => {}
    }
    board.group = Some(group);
}

fn adopt(board: &mut Board, job: &Job) {
    let now = board.now.mono;
    let age = board.now.wall.since(job.accepted_at);
    let spec = Arc::clone(&job.spec);
    let left = |whole: Millis| now + whole.since(age);
    let (due, give_up) = (left(spec.due), left(spec.give_up + GIVE_UP_SLACK));
    let run = JobRun { spec: Arc::clone(&spec), due, give_up, open: Vec::new() };
    let key = board.jobs.insert(run);
    board.job_index.insert(spec.id.clone(), key);
    for index in 0..u32::try_from(spec.items.len()).unwrap_or(u32::MAX) {
        if job.is_listed(index) {
            continue;
        }
        let item = board.items.insert(Item::new(key, index, now));
        board.jobs[key].open.push(item);
    }
}

fn drop_listed(board: &mut Board, key: JobKey, job: &Job) {
    let open = std::mem::take(&mut board.jobs[key].open);
    let mut left = Vec::with_capacity(open.len());
    for item_key in open {
        let listed = board.items.get(item_key).is_none_or(|item| job.is_listed(item.index));
        if !listed {
            left.push(item_key);
            continue;
        }
        let Some(item) = board.items.remove(item_key) else { continue };
        stop(board, &item);
    }
    board.jobs[key].open = left;
}

fn drop_job(board: &mut Board, key: JobKey) {
    let Some(run) = board.jobs.remove(key) else { return };
    board.job_index.remove(&run.spec.id);
    for item_key in run.open {
        let Some(item) = board.items.remove(item_key) else { continue };
        stop(board, &item);
    }
}

fn stop(board: &mut Board, item: &Item) {
    let ItemState::Running(attempt) = item.state else { return };
    board.end_attempt(attempt);
    board.actions.push(Action::Cancel { attempt });
}

/// Forgets jobs whose results need not be readable any more.
fn forget_old(board: &mut Board) {
    let (kept, wall) = (board.cfg.bounds.results_kept + KEPT_SLACK, board.now.wall);
    let Some(group) = &mut board.group else { return };
    if board.now.mono < group.forget_at {
        return;
    }
    group.forget_at = board.now.mono + FORGET_EVERY;
    let mut old = Vec::new();
    for (id, job) in &group.directory.jobs {
        if !job.is_open() && wall.since(job.accepted_at) > kept {
            old.push(id.clone());
        }
    }
    if !old.is_empty() {
        board.wishes.push((DirectoryCommand::Forget { jobs: old }, None));
        board.again = true;
    }
}
