//! Draining: stops taking work, finishes what is held, and ends.
//!
//! Reads: `requests`, `attempts`, `work.conclusions`. Writes: `draining`, `ready`, `actions`.

use super::Controller;
use crate::action::{Action, Answer};
use crate::board::{Board, Origin, RequestState};
use crate::event::{Call, Event};
use crate::key::RequestKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long a stopping host lets the balancer and the other hosts notice before it ends.
const NOTICE: Millis = Millis(1_000);

/// Stops the host.
#[derive(Debug)]
pub(super) struct Drain;

impl Controller for Drain {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        for arrival in board.take_arrivals(|call| matches!(call, Call::Drain)) {
            begin(board);
            board.answer(arrival.tag, Answer::Draining);
        }
        if matches!(event, Some(Event::Stop)) {
            begin(board);
        }
        let Some(since) = board.draining_since else { return };
        give_back_samples(board);
        let noticed = board.now.mono.since(since) >= NOTICE;
        if noticed && holds_nothing(board) {
            board.actions.push(Action::Exit);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        match board.draining_since {
            Some(since) if board.now.mono.since(since) < NOTICE => since + NOTICE,
            _ => Millis::MAX,
        }
    }
}

fn begin(board: &mut Board) {
    if board.draining_since.is_some() {
        return;
    }
    board.draining_since = Some(board.now.mono);
    board.ready = false;
    board.schedule.membership = board.now.mono;
    board.schedule.zone_heartbeat = board.now.mono;
    board.groups.resign();
    let name = board.cfg.name.clone();
    board.note(EventKind::Draining, name, format!("{} requests are held", board.requests.len()));
}

/// Drops samples that wait; the zone's leader gives them to another host.
fn give_back_samples(board: &mut Board) {
    let waits = |state| !matches!(state, RequestState::Running(_));
    let mut waiting: Vec<RequestKey> = Vec::new();
    for (key, request) in &board.requests {
        if matches!(request.origin, Origin::Sample(..)) && waits(request.state) {
            waiting.push(key);
        }
    }
    for key in waiting {
        let Some(request) = board.remove_request(key) else { continue };
        let Origin::Sample(job, _) = request.origin else { continue };
        board.work.running.remove(&job.sample);
    }
}

fn holds_nothing(board: &Board) -> bool {
    board.requests.is_empty()
        && board.attempts.is_empty()
        && board.work.conclusions.is_empty()
        && board.groups.pending_syncs.is_empty()
}
