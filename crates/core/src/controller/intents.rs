//! Intents: records non-idempotent requests before dispatch, and dispatches them at most once.
//!
//! Reads: arrivals, results of commands, `groups.records`, `hosts`.
//! Writes: `requests`, `work.conclusions`, `work.waiters`, `groups.proposals`, `actions`.
//!
//! A request is decided by the zone that its key maps to, whichever host or zone receives the call.
//! The leader of that zone records an intent with itself as the owner. Only the owner may dispatch
//! the request, and only in the process that recorded it, which keeps no list of intents across a
//! restart. A second call with the key, on any host, finds the record and returns its outcome or
//! waits for it.

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

/// Delay before outcomes that are not recorded yet are sent again.
const CONCLUDE_RETRY_DELAY: Millis = Millis(300);

/// Records non-idempotent requests and their outcomes.
#[derive(Debug)]
pub(super) struct Intents;

impl Controller for Intents {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Conclude { key, outcome } = &envelope.message
        {
            propose_conclusion(board, key.clone(), outcome.clone());
        }
        for result in board.groups.results.clone() {
            let Purpose::Request(key) = result.purpose else { continue };
            handle_result(board, key, result.index, &result.outcome);
        }
        for applied in board.groups.applied.clone() {
            let ZoneOutcome::OutcomeRecorded(key) = applied else { continue };
            answer_waiters(board, &key);
        }
        enqueue_durable(board);
        for arrival in board.take_arrivals(|call| matches!(call, Call::Run(_))) {
            handle_call(board, arrival);
        }
        conclude_orphans(board);
        send_conclusions(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.work.conclusions.is_empty() { Millis::MAX } else { board.schedule.conclusions }
    }
}

/// Handles a non-idempotent call. Any other call, and any call while the host is not ready, goes
/// back among the arrivals, for admission.
fn handle_call(board: &mut Board, arrival: Arrival) {
    let Call::Run(call) = &arrival.call else { return };
    let service_idempotent =
        board.service_key(&call.service).is_none_or(|key| board.services[key].idempotent);
    if (call.idempotent && service_idempotent) || arrival.granted || !board.ready {
        board.arrivals.push(arrival);
        return;
    }
    let Some(key) = call.key.clone() else {
        let detail = "a non-idempotent call requires an Idempotency-Key";
        let problem = Problem::not_run(ErrorKind::KeyRequired, detail);
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    };
    let (caller, service) = (call.caller.clone(), call.service.clone());
    let key = IntentKey { caller, service, key };
    let home = board.home_zone(&format!("{}/{}/{}", key.caller, key.service, key.key));
    if home != board.my_zone || !board.leads(GroupId::Zone) {
        let answered = home == board.my_zone && answer_from_record(board, &arrival, &key);
        if !answered {
            board.forward_call(arrival, Route::Leader(GroupId::Zone, home));
        }
        return;
    }
    decide(board, &arrival, key);
}

/// Answers a call if this host, leader or not, has the outcome on record; returns whether it did.
fn answer_from_record(board: &mut Board, arrival: &Arrival, key: &IntentKey) -> bool {
    let Call::Run(call) = &arrival.call else { return false };
    let Some(intent) = board.groups.records.intent(key) else { return false };
    let IntentState::Ended(outcome) = intent.state.clone() else { return false };
    if intent.fingerprint != call.fingerprint {
        return false;
    }
    answer_outcome(board, arrival.tag, &arrival.trace, Some(outcome), true);
    true
}

/// Decides a call as leader of the key's zone: rejects it, answers it from the record, lets it wait
/// for the outcome of an earlier call, or proposes the intent.
fn decide(board: &mut Board, arrival: &Arrival, key: IntentKey) {
    let Call::Run(call) = &arrival.call else { return };
    let known = board.groups.records.intent(&key);
    if known.is_some_and(|intent| intent.fingerprint != call.fingerprint) {
        let detail = "the Idempotency-Key was used before with another body";
        let problem = Problem::not_run(ErrorKind::KeyReused, detail);
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    }
    if answer_from_record(board, arrival, &key) {
        return;
    }
    let recorded = is_recorded(board, &key) || board.work.waiters.contains_key(&key);
    let fingerprint = call.fingerprint;
    let mut request = new_request(board, arrival, call);
    request.maybe_ran = recorded;
    let request = board.add_request(request);
    board.work.waiters.entry(key.clone()).or_default().push(request);
    if recorded {
        return;
    }
    let (owner, owner_boot_id) = (board.cfg.id, board.boot_id);
    let command = ZoneCommand::RecordIntent { key, fingerprint, owner, owner_boot_id };
    let purpose = Purpose::Request(request);
    let proposal = Proposal { group: GroupId::Zone, command: Command::Zone(command), purpose };
    board.groups.proposals.push(proposal);
}

fn is_recorded(board: &Board, key: &IntentKey) -> bool {
    board.groups.records.intent(key).is_some()
}

fn new_request(board: &mut Board, arrival: &Arrival, call: &RunCall) -> Request {
    let deadline = board.deadline_of(arrival, Some(&call.service));
    let service = board.ensure_service(&call.service);
    let origin = Origin::Exchange(arrival.tag);
    Request::new(origin, arrival.trace.clone(), board.now.mono, deadline)
        .service(service, Class::Interactive)
        .idempotent(false)
        .hops(arrival.hops)
}

/// Handles the result of an intent that this host proposed.
fn handle_result(board: &mut Board, key: RequestKey, index: u64, outcome: &CommandOutcome) {
    match outcome {
        CommandOutcome::Zone(ZoneOutcome::IntentRecorded(intent)) => {
            board.work.awaiting_sync.push((index, key, intent.clone()));
        }
        CommandOutcome::NotWritten(problem) if waits_for_intent(board, key) => {
            reject_waiters(board, key, problem);
        }
        CommandOutcome::Replaced if waits_for_intent(board, key) => {
            let detail = "the leader changed before the request was recorded";
            reject_waiters(board, key, &Problem::not_run(ErrorKind::HomeUnreachable, detail));
        }
        _ => {}
    }
}

fn waits_for_intent(board: &Board, key: RequestKey) -> bool {
    board.work.waiters.values().any(|waiters| waiters.contains(&key))
}

/// Rejects every request that waits for an intent that was not written.
fn reject_waiters(board: &mut Board, key: RequestKey, problem: &Problem) {
    let found = board.work.waiters.iter().find(|(_, waiters)| waiters.contains(&key));
    let Some(intent) = found.map(|(intent, _)| intent.clone()) else { return };
    for waiter in board.work.waiters.remove(&intent).unwrap_or_default() {
        board.fail_request(waiter, problem.clone());
    }
}

/// Queues recorded requests once their records are synced to a disk.
///
/// A host that no longer leads, or hears no majority, cannot know whether a record is synced; it does
/// not run the request.
fn enqueue_durable(board: &mut Board) {
    for (index, key, intent) in std::mem::take(&mut board.work.awaiting_sync) {
        let replica = &board.groups.zone.replica;
        if replica.role() != Role::Leader || !replica.hears_majority(board.now) {
            board.work.conclusions.insert(intent, Outcome::NotRun);
            let detail = "the leader changed before the record was synced to a disk";
            board.fail_request(key, Problem::not_run(ErrorKind::HomeUnreachable, detail));
            continue;
        }
        if replica.is_durable(index) {
            enqueue_recorded(board, key, &intent);
        } else {
            board.work.awaiting_sync.push((index, key, intent));
        }
    }
}

/// Queues a recorded request, or records that it was not run if it has ended in the meantime.
fn enqueue_recorded(board: &mut Board, key: RequestKey, intent: &IntentKey) {
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
        && let Some(zone) = super::admission::zone_offering(board, &intent.service)
        && let Some(request) = board.requests.get_mut(key)
    {
        request.route = Route::Zone(zone);
    }
    board.enqueue(key);
}

/// Answers all requests that wait for a recorded request that has ended.
fn answer_waiters(board: &mut Board, key: &IntentKey) {
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
            let detail = "the request was dispatched once; it is unknown whether it ran";
            board.reject(tag, trace, Problem::unknown(detail));
        }
        Some(Outcome::NotRun) | None => {
            let detail = "the request was not dispatched";
            board.reject(tag, trace, Problem::not_run(ErrorKind::UpstreamFailed, detail));
        }
    }
}

/// Records an unknown outcome for intents whose owner's process has ended.
fn conclude_orphans(board: &mut Board) {
    if board.work.waiters.is_empty() || !board.leads(GroupId::Zone) {
        return;
    }
    let mut orphans = Vec::new();
    for key in board.work.waiters.keys() {
        let Some(intent) = board.groups.records.intent(key) else { continue };
        if intent.state != IntentState::Intended || owner_is_alive(board, intent) {
            continue;
        }
        orphans.push(key.clone());
    }
    for key in orphans {
        board.work.conclusions.entry(key).or_insert(Outcome::Unknown);
    }
}

fn owner_is_alive(board: &Board, intent: &Intent) -> bool {
    if intent.owner == board.cfg.id {
        return intent.owner_boot_id == board.boot_id;
    }
    let Some(key) = board.host_key(intent.owner) else { return false };
    let host = &board.hosts[key];
    host.is_up(board.now.mono) && host.boot_id == intent.owner_boot_id
}

/// Proposes the outcomes that are not recorded yet, or sends them to the leader of the zone.
fn send_conclusions(board: &mut Board) {
    if board.work.conclusions.is_empty() || board.now.mono < board.schedule.conclusions {
        return;
    }
    board.schedule.conclusions = board.now.mono + CONCLUDE_RETRY_DELAY;
    let leader = board.zone_leader().map(|(_, leader)| leader);
    for (key, outcome) in board.work.conclusions.clone() {
        if leader == Some(board.cfg.id) {
            propose_conclusion(board, key, outcome);
            continue;
        }
        let Some(leader) = leader else { continue };
        board.send(leader, Message::Conclude { key, outcome });
    }
}

fn propose_conclusion(board: &mut Board, key: IntentKey, outcome: Outcome) {
    let command = Command::Zone(ZoneCommand::RecordOutcome { key, outcome });
    let proposal = Proposal { group: GroupId::Zone, command, purpose: Purpose::Record };
    board.groups.proposals.push(proposal);
}
