//! Changes: has the fleet group decide on changes of the fleet's settings.
//!
//! Reads: arrivals, results of commands, `groups` (leadership).
//! Writes: `requests`, `groups.proposals`, `actions`.

use super::Controller;
use crate::action::Answer;
use crate::agreement::{Command, GroupId};
use crate::board::{Board, CommandOutcome, Origin, Proposal, Purpose, Request, Route};
use crate::error::{ErrorKind, Problem, Ran};
use crate::event::{Arrival, Call, Event};
use crate::fleet::Change;
use crate::key::RequestKey;

/// Proposes changes to the fleet group and answers the operators.
#[derive(Debug)]
pub(super) struct Changes;

impl Controller for Changes {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for result in board.groups.results.clone() {
            let Purpose::Request(key) = result.purpose else { continue };
            handle_result(board, key, &result.outcome);
        }
        for arrival in board.take_arrivals(|call| matches!(call, Call::Change(_))) {
            let Call::Change(change) = arrival.call.clone() else { continue };
            handle_call(board, arrival, change);
        }
    }
}

fn handle_call(board: &mut Board, arrival: Arrival, change: Change) {
    if let Err(error) = change.check() {
        let problem = Problem::not_run(ErrorKind::ChangeInvalid, error.to_string());
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    }
    if !board.leads(GroupId::Fleet) {
        board.forward_call(arrival, Route::Leader(GroupId::Fleet, board.my_zone));
        return;
    }
    let deadline = board.deadline_of(&arrival, None);
    let origin = Origin::Exchange(arrival.tag);
    let request = Request::new(origin, arrival.trace, board.now.mono, deadline).call(arrival.call);
    let (purpose, command) =
        (Purpose::Request(board.add_request(request)), Command::Change(change));
    board.groups.proposals.push(Proposal { group: GroupId::Fleet, command, purpose });
}

fn handle_result(board: &mut Board, key: RequestKey, outcome: &CommandOutcome) {
    let Some(request) = board.requests.get(key) else { return };
    if !matches!(request.call, Some(Call::Change(_))) {
        return;
    }
    match outcome {
        CommandOutcome::Changed(answer) => {
            let Some(request) = board.remove_request(key) else { return };
            let Some(tag) = request.tag() else { return };
            board.counters.answered += 1;
            board.answer(tag, Answer::Changed(answer.clone()));
        }
        CommandOutcome::NotWritten(problem) => board.fail_request(key, problem.clone()),
        CommandOutcome::Replaced => {
            let detail = "the leader changed; resend the change with the same id";
            let problem = Problem::not_run(ErrorKind::HomeUnreachable, detail).ran(Ran::Unknown);
            board.fail_request(key, problem);
        }
        CommandOutcome::Zone(_) => {}
    }
}
