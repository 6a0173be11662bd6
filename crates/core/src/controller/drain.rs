//! Drain: rejects new work, completes the requests in progress, and ends the process.
//!
//! Reads: arrivals, `requests`, `attempts`, `work.conclusions`, `groups.pending_syncs`.
//! Writes: `draining`, `ready`, `schedule`, `groups` (leadership), `requests`, `work.running`,
//! `actions`.

use super::Controller;
use crate::action::{Action, Answer};
use crate::board::{Board, Origin, RequestState};
use crate::event::{Call, Event};
use crate::key::RequestKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// Minimum time between the start of draining and the exit, in which the balancer and the other
/// hosts notice that this host no longer takes work.
const MIN_DRAIN_TIME: Millis = Millis(1_000);

/// Drains the host, then ends its process.
#[derive(Debug)]
pub(super) struct Drain;

impl Controller for Drain {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        for arrival in board.take_arrivals(|call| matches!(call, Call::Drain)) {
            begin_drain(board);
            board.answer(arrival.tag, Answer::Draining);
        }
        if matches!(event, Some(Event::Stop)) {
            begin_drain(board);
        }
        let Some(since) = board.draining_since else { return };
        drop_queued_samples(board);
        let may_exit = board.now.mono.since(since) >= MIN_DRAIN_TIME;
        if may_exit && is_idle(board) {
            board.actions.push(Action::Exit);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        match board.draining_since {
            Some(since) if board.now.mono.since(since) < MIN_DRAIN_TIME => since + MIN_DRAIN_TIME,
            _ => Millis::MAX,
        }
    }
}

fn begin_drain(board: &mut Board) {
    if board.draining_since.is_some() {
        return;
    }
    board.draining_since = Some(board.now.mono);
    board.ready = false;
    board.schedule.membership = board.now.mono;
    board.schedule.zone_heartbeat = board.now.mono;
    board.groups.resign();
    let name = board.cfg.name.clone();
    board.note(EventKind::Draining, name, format!("{} requests in progress", board.requests.len()));
}

/// Drops queued samples; the zone's leader assigns them to other hosts.
fn drop_queued_samples(board: &mut Board) {
    let is_queued = |state| !matches!(state, RequestState::Running(_));
    let mut queued: Vec<RequestKey> = Vec::new();
    for (key, request) in &board.requests {
        if matches!(request.origin, Origin::Sample(..)) && is_queued(request.state) {
            queued.push(key);
        }
    }
    for key in queued {
        let Some(request) = board.remove_request(key) else { continue };
        let Origin::Sample(job, _) = request.origin else { continue };
        board.work.running.remove(&job.sample);
    }
}

fn is_idle(board: &Board) -> bool {
    board.requests.is_empty()
        && board.attempts.is_empty()
        && board.work.conclusions.is_empty()
        && board.groups.pending_syncs.is_empty()
}
