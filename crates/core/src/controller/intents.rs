//! Non-idempotent requests: recorded before they are dispatched, and dispatched at most once.
//!
//! Reads: arrivals, results of commands, `groups.records`, `hosts`.
//! Writes: `requests`, `work.conclusions`, `work.waiters`, `groups.proposals`, `actions`.
//!
//! The zone that a request's key maps to decides about it, whichever host or zone the caller came
//! to. Its leader writes an intent that names itself as owner; only the owner, in that life of its
//! process, may dispatch, and it keeps no list of intents over a restart. A second call with the
//! key, anywhere, finds the record and waits for its end or reads it.

use super::Controller;
use crate::action::Answer;
use crate::agreement::{Command, GroupId, Role};
use crate::board::{Board, Class, CommandOutcome, Origin, Proposal, Purpose, Request, Route};
use crate::error::{ErrorKind, Problem};
use crate::event::{Arrival, Call, Event, RecordedAnswer, RunCall};
use crate::key::{RequestKey, RequestTag};
use crate::message::Message;
use crate::records::{Intent, IntentKey, IntentState, Outcome, ZoneCommand, ZoneOutcome};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The time between two tries to have an end recorded.
const CONCLUDE_EVERY: Millis = Millis(300);

/// Records non-idempotent requests.
#[derive(Debug)]
pub(super) struct Intents;

impl Controller for Intents {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Conclude { key, outcome } = &envelope.message
        {
            wish_conclusion(board, key.clone(), outcome.clone());
        }
        for result in board.groups.results.clone() {
            let Purpose::Request(key) = result.purpose else { continue };
            decided(board, key, result.index, &result.outcome);
        }
        for applied in board.groups.applied.clone() {
            let ZoneOutcome::OutcomeRecorded(key) = applied else { continue };
            concluded(board, &key);
        }
        release(board);
        for arrival in board.take_arrivals(|call| matches!(call, Call::Run(_))) {
            arrived(board, arrival);
        }
        unknown_owners(board);
        hand_over(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.work.conclusions.is_empty() { Millis::MAX } else { board.schedule.conclusions }
    }
}

/// Takes the non-idempotent arrivals and leaves the others to admission.
fn arrived(board: &mut Board, arrival: Arrival) {
    let Call::Run(call) = &arrival.call else { return };
    let repeatable =
        board.service_key(&call.service).is_none_or(|key| board.services[key].idempotent);
    if (call.idempotent && repeatable) || arrival.granted || !board.ready {
        board.arrivals.push(arrival);
        return;
    }
    let Some(key) = call.key.clone() else {
        let detail = "a non-idempotent call needs an Idempotency-Key";
        let problem = Problem::not_run(ErrorKind::KeyRequired, detail);
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    };
    let (caller, service) = (call.caller.clone(), call.service.clone());
    let key = IntentKey { caller, service, key };
    let home = board.home_zone(&format!("{}/{}/{}", key.caller, key.service, key.key));
    if home != board.my_zone || !board.leads(GroupId::Zone) {
        let known_here = home == board.my_zone && answer_known(board, &arrival, &key);
        if !known_here {
            board.forward_call(arrival, Route::Leader(GroupId::Zone, home));
        }
        return;
    }
    decide(board, &arrival, key);
}

/// Answers from the record where this host has it, leader or not.
fn answer_known(board: &mut Board, arrival: &Arrival, key: &IntentKey) -> bool {
    let Call::Run(call) = &arrival.call else { return false };
    let Some(intent) = board.groups.records.intent(key) else { return false };
    let IntentState::Ended(outcome) = intent.state.clone() else { return false };
    if intent.fingerprint != call.fingerprint {
        return false;
    }
    answer_outcome(board, arrival.tag, &arrival.trace, Some(outcome), true);
    true
}

/// Decides as leader of the key's zone: answers, waits, or writes the intent.
fn decide(board: &mut Board, arrival: &Arrival, key: IntentKey) {
    let Call::Run(call) = &arrival.call else { return };
    let known = board.groups.records.intent(&key);
    if known.is_some_and(|intent| intent.fingerprint != call.fingerprint) {
        let detail = "the Idempotency-Key was used with another body";
        let problem = Problem::not_run(ErrorKind::KeyReused, detail);
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    }
    if answer_known(board, arrival, &key) {
        return;
    }
    let recorded = known_intended(board, &key) || board.work.waiters.contains_key(&key);
    let fingerprint = call.fingerprint;
    let mut request = recorded_request(board, arrival, call);
    request.maybe_ran = recorded;
    let request = board.add_request(request);
    board.work.waiters.entry(key.clone()).or_default().push(request);
    if recorded {
        return;
    }
    let (owner, life) = (board.cfg.id, board.boot_id);
    let command = ZoneCommand::RecordIntent { key, fingerprint, owner, owner_boot_id: life };
    let purpose = Purpose::Request(request);
    let wish = Proposal { group: GroupId::Zone, command: Command::Zone(command), purpose };
    board.groups.proposals.push(wish);
}

fn known_intended(board: &Board, key: &IntentKey) -> bool {
    board.groups.records.intent(key).is_some()
}

fn recorded_request(board: &mut Board, arrival: &Arrival, call: &RunCall) -> Request {
    let deadline = board.deadline_of(arrival, Some(&call.service));
    let service = board.ensure_service(&call.service);
    let origin = Origin::Exchange(arrival.tag);
    Request::new(origin, arrival.trace.clone(), board.now.mono, deadline)
        .service(service, Class::Interactive)
        .idempotent(false)
        .hops(arrival.hops)
}

/// Takes in what became of an intent that this host wrote.
fn decided(board: &mut Board, key: RequestKey, index: u64, fate: &CommandOutcome) {
    match fate {
        CommandOutcome::Zone(ZoneOutcome::IntentRecorded(intent)) => {
            board.work.awaiting_sync.push((index, key, intent.clone()));
        }
        CommandOutcome::NotWritten(problem) if waits_for_intent(board, key) => {
            refuse_waiters(board, key, problem);
        }
        CommandOutcome::Replaced if waits_for_intent(board, key) => {
            let detail = "the leader changed before the request was recorded";
            refuse_waiters(board, key, &Problem::not_run(ErrorKind::HomeUnreachable, detail));
        }
        _ => {}
    }
}

fn waits_for_intent(board: &Board, key: RequestKey) -> bool {
    board.work.waiters.values().any(|waiters| waiters.contains(&key))
}

/// Refuses every request that waited for an intent which was not written.
fn refuse_waiters(board: &mut Board, key: RequestKey, problem: &Problem) {
    let found = board.work.waiters.iter().find(|(_, waiters)| waiters.contains(&key));
    let Some(intent) = found.map(|(intent, _)| intent.clone()) else { return };
    for waiter in board.work.waiters.remove(&intent).unwrap_or_default() {
        board.fail_request(waiter, problem.clone());
    }
}

/// Lets recorded requests be dispatched once their records are on a disk; one whose host no
/// longer leads can't know that, and is not run.
fn release(board: &mut Board) {
    for (index, key, intent) in std::mem::take(&mut board.work.awaiting_sync) {
        let replica = &board.groups.zone.replica;
        if replica.role() != Role::Leader {
            board.work.conclusions.insert(intent, Outcome::NotRun);
            let detail = "the leader changed before the record was on a disk";
            board.fail_request(key, Problem::not_run(ErrorKind::HomeUnreachable, detail));
            continue;
        }
        if replica.is_durable(index) {
            intended(board, key, &intent);
        } else {
            board.work.awaiting_sync.push((index, key, intent));
        }
    }
}

/// Puts a recorded request in the queue, or records that it is not run where it was given up.
fn intended(board: &mut Board, key: RequestKey, intent: &IntentKey) {
    let Some(request) = board.requests.get_mut(key) else {
        board.work.conclusions.insert(intent.clone(), Outcome::NotRun);
        return;
    };
    request.intent = Some(intent.clone());
    request.route = Route::Upstream;
    let trace = request.trace.clone();
    let service = request.service;
    board.note(EventKind::Intended, trace, format!("key {}", intent.key));
    if service.is_some_and(|service| board.services[service].upstreams.is_empty())
        && let Some(zone) = super::admission::zone_with(board, &intent.service)
        && let Some(request) = board.requests.get_mut(key)
    {
        request.route = Route::Zone(zone);
    }
    board.enqueue(key);
}

/// Answers everyone who waited for a recorded request that has ended.
fn concluded(board: &mut Board, key: &IntentKey) {
    board.work.conclusions.remove(key);
    let state = board.groups.records.intent(key).map(|intent| intent.state.clone());
    let outcome = match state {
        Some(IntentState::Ended(outcome)) => Some(outcome),
        Some(IntentState::Intended) => return,
        None => None,
    };
    for waiter in board.work.waiters.remove(key).unwrap_or_default() {
        let replayed = board.requests.get(waiter).is_some_and(|request| request.intent.is_none());
        let answered_before = board
            .requests
            .get(waiter)
            .and_then(Request::tag)
            .is_some_and(|tag| !board.request_index.contains_key(&tag));
        let Some(request) = board.remove_request(waiter) else { continue };
        let Some(tag) = request.tag() else { continue };
        if answered_before {
            continue;
        }
        answer_outcome(board, tag, &request.trace, outcome.clone(), replayed);
    }
}

fn answer_outcome(
    board: &mut Board,
    tag: RequestTag,
    trace: &str,
    outcome: Option<Outcome>,
    replayed: bool,
) {
    match outcome {
        Some(Outcome::Answered { status, content_type, body }) => {
            board.counters.answered += 1;
            board.note(EventKind::Answered, trace, if replayed { "replayed" } else { "recorded" });
            let answer = RecordedAnswer { status, content_type, body };
            board.answer(tag, Answer::Recorded { answer, replayed });
        }
        Some(Outcome::Unknown) => {
            let detail = "the request was dispatched once; whether it ran is not known";
            board.reject(tag, trace, Problem::unknown(detail));
        }
        Some(Outcome::NotRun) | None => {
            let detail = "the request was not dispatched";
            board.reject(tag, trace, Problem::not_run(ErrorKind::UpstreamFailed, detail));
        }
    }
}

/// Records as unknown what an owner left behind whose process has ended.
fn unknown_owners(board: &mut Board) {
    if board.work.waiters.is_empty() || !board.leads(GroupId::Zone) {
        return;
    }
    let mut orphans = Vec::new();
    for key in board.work.waiters.keys() {
        let Some(intent) = board.groups.records.intent(key) else { continue };
        if intent.state != IntentState::Intended || owner_lives(board, intent) {
            continue;
        }
        orphans.push(key.clone());
    }
    for key in orphans {
        board.work.conclusions.entry(key).or_insert(Outcome::Unknown);
    }
}

fn owner_lives(board: &Board, intent: &Intent) -> bool {
    if intent.owner == board.cfg.id {
        return intent.owner_boot_id == board.boot_id;
    }
    let Some(key) = board.host_key(intent.owner) else { return false };
    let host = &board.hosts[key];
    host.is_up(board.now.mono) && host.boot_id == intent.owner_boot_id
}

/// Has the ends recorded: through the log where this host leads, or by the leader.
fn hand_over(board: &mut Board) {
    if board.work.conclusions.is_empty() || board.now.mono < board.schedule.conclusions {
        return;
    }
    board.schedule.conclusions = board.now.mono + CONCLUDE_EVERY;
    let leader = board.zone_leader().map(|(_, leader)| leader);
    for (key, outcome) in board.work.conclusions.clone() {
        if leader == Some(board.cfg.id) {
            wish_conclusion(board, key, outcome);
            continue;
        }
        let Some(leader) = leader else { continue };
        board.send(leader, Message::Conclude { key, outcome });
    }
}

fn wish_conclusion(board: &mut Board, key: IntentKey, outcome: Outcome) {
    let command = Command::Zone(ZoneCommand::RecordOutcome { key, outcome });
    let wish = Proposal { group: GroupId::Zone, command, purpose: Purpose::Record };
    board.groups.proposals.push(wish);
}
