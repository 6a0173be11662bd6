//! Deadlines: ends requests that expired or lost their caller, and requeues those in backoff.
//!
//! Reads: `timers`, callers that disconnected. Writes: `requests`, `work`, `actions`.

use super::Controller;
use crate::action::{Action, Answer, SampleBatch};
use crate::board::{Board, RequestState};
use crate::error::{ErrorKind, Problem, Ran};
use crate::event::{Call, Event};
use crate::key::{RequestKey, RequestTag};
use crate::time::Millis;
use crate::timeline::EventKind;

/// Time that an attempt of a recorded request may run past its caller's deadline.
const GRACE_PERIOD: Millis = Millis(30_000);

/// Expires requests, and requeues those whose backoff has ended.
#[derive(Debug)]
pub(super) struct Deadlines;

impl Controller for Deadlines {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::CallerGone { tag }) = event {
            handle_caller_gone(board, *tag);
        }
        while let Some(&(due, key)) = board.timers.first() {
            if due > board.now.mono {
                break;
            }
            board.timers.pop_first();
            handle_timer(board, key);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.timers.first().map_or(Millis::MAX, |(due, _)| *due)
    }
}

fn handle_timer(board: &mut Board, key: RequestKey) {
    let Some(request) = board.requests.get(key) else { return };
    if request.deadline <= board.now.mono {
        expire(board, key);
        return;
    }
    if matches!(request.state, RequestState::Backoff(until) if until <= board.now.mono) {
        board.enqueue(key);
    }
}

/// Ends a request whose deadline passed.
///
/// A fetch that waits for samples gets an empty batch. Any other request fails, with an error that
/// says whether it may have run.
fn expire(board: &mut Board, key: RequestKey) {
    let Some(request) = board.requests.get(key) else { return };
    if request.intent.is_some() {
        expire_recorded(board, key);
        return;
    }
    if let (Some(tag), Some(Call::Fetch { cursor, .. }), RequestState::Pending) =
        (request.tag(), &request.call, request.state)
    {
        let batch = SampleBatch { next_cursor: *cursor, ..Default::default() };
        board.remove_request(key);
        board.answer(tag, Answer::Samples(batch));
        return;
    }
    let decided_by_group = request.call.is_some() && request.state == RequestState::Pending;
    let ran = match request.state {
        RequestState::Running(_) => Ran::Unknown,
        _ if request.maybe_ran || decided_by_group => Ran::Unknown,
        _ => Ran::No,
    };
    if let RequestState::Running(attempt) = request.state {
        board.actions.push(Action::Cancel { attempt });
    }
    let problem = Problem::not_run(ErrorKind::DeadlineExceeded, "the deadline passed").ran(ran);
    board.fail_request(key, problem);
}

/// Answers the caller of a recorded request that expired. A running attempt is not cancelled, so
/// that its outcome can still be recorded within [`GRACE_PERIOD`].
fn expire_recorded(board: &mut Board, key: RequestKey) {
    let Some(request) = board.requests.get(key) else { return };
    let (tag, trace, state) = (request.tag(), request.trace.clone(), request.state);
    let never_sent = !request.maybe_ran && !matches!(state, RequestState::Running(_));
    if never_sent {
        let detail = "the deadline passed before the request was dispatched";
        board.reject_undispatched(key, Problem::not_run(ErrorKind::DeadlineExceeded, detail));
        return;
    }
    let Some(tag) = tag else { return };
    if board.request_index.remove(&tag).is_none() {
        board.remove_request(key);
        return;
    }
    let problem = Problem::unknown("the deadline passed while the request was running");
    board.reject(tag, &trace, problem);
    extend_deadline(board, key);
}

fn extend_deadline(board: &mut Board, key: RequestKey) {
    let deadline = board.now.mono + GRACE_PERIOD;
    let Some(request) = board.requests.get_mut(key) else { return };
    request.deadline = deadline;
    board.timers.insert((deadline, key));
}

/// Cancels the request of a caller that disconnected; a recorded request runs to its end.
fn handle_caller_gone(board: &mut Board, tag: RequestTag) {
    let Some(key) = board.request_index.get(&tag).copied() else { return };
    let Some(request) = board.requests.get(key) else { return };
    let trace = request.trace.clone();
    board.note(EventKind::CallerGone, trace, "the caller closed the connection");
    let Some(request) = board.requests.get(key) else { return };
    if request.intent.is_some() {
        return;
    }
    if let RequestState::Running(attempt) = request.state {
        board.actions.push(Action::Cancel { attempt });
    }
    board.remove_request(key);
}
