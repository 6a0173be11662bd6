//! Store requests: completes those of this host's callers, here or at other store hosts.
//!
//! Reads: messages of other hosts, `replies`, `leader`, `hosts`, `routing`, the clock.
//! Writes: `store_requests`, `pending_decisions`, `replies`, `actions`.
//!
//! A store request that changes something may be sent to several hosts in turn, because all such
//! changes are idempotent by their name or version. The caller gets the answer "not run" only if
//! none of the hosts that were sent the request can have executed it.

use super::Controller;
use super::calls::not_ready;
use crate::error::{ErrorKind, Problem, Ran};
use crate::gateway::action::Answer;
use crate::gateway::board::{
    Board, Origin, PendingDecision, PendingStoreRequest, StoreRequestState,
};
use crate::gateway::event::Event;
use crate::gateway::message::{GatewayMessage, StoreReply, StoreRequest};
use crate::gateway::settings::Role;
use crate::key::{HostId, Key, StoreRequestKey};
use crate::message::Message;
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long a host may take to reply before the request goes to another one: two round trips
/// between regions, two syncs, and a margin for a slow host.
const REPLY_TIMEOUT: Millis = Millis(450);

/// The delay before the next attempt after a host could not answer.
const RETRY_DELAY: Millis = Millis(60);

/// A request that has been sent this often no longer follows a redirect to the leader at once, but
/// waits for [`RETRY_DELAY`] first.
const MAX_REDIRECTS: u32 = 6;

/// The delay after which a caller may submit a job again that found no memory.
const NO_MEMORY_RETRY_AFTER: Millis = Millis(2_000);

/// Completes store requests.
#[derive(Debug)]
pub(super) struct StoreRequests;

impl Controller for StoreRequests {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Gateway(message) = &envelope.message
        {
            handle_message(board, envelope.from, message);
        }
        for (key, from, reply) in std::mem::take(&mut board.replies) {
            handle_reply(board, key, from, reply);
        }
        let now = board.now.mono;
        let due: Vec<StoreRequestKey> = board
            .store_requests
            .iter()
            .filter(|(_, pending)| due_at(pending) <= now)
            .map(|(key, _)| key)
            .collect();
        for key in due {
            advance(board, key);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.store_requests.values().map(due_at).min().unwrap_or(Millis::MAX)
    }
}

fn due_at(pending: &PendingStoreRequest) -> Millis {
    let next = match pending.state {
        StoreRequestState::Due(at) => at,
        StoreRequestState::Sent(_, at) => at + REPLY_TIMEOUT + read_wait(&pending.request),
    };
    next.min(pending.until)
}

/// Returns how long the replying host may wait for results before it replies.
fn read_wait(request: &StoreRequest) -> Millis {
    if let StoreRequest::Results { wait, .. } = request { *wait } else { Millis(0) }
}

fn handle_message(board: &mut Board, from: HostId, message: &GatewayMessage) {
    match message {
        GatewayMessage::Request { boot_id, key, request } => {
            let origin = Origin::Remote { host: from, boot_id: *boot_id, key: *key };
            board.pending_decisions.push(PendingDecision { origin, request: request.clone() });
        }
        GatewayMessage::Reply { boot_id, key, reply } if *boot_id == board.cfg.boot_id => {
            let key = StoreRequestKey::from(slotmap::KeyData::from_ffi(*key));
            board.replies.push((key, Some(from), reply.clone()));
        }
        _ => {}
    }
}

fn handle_reply(board: &mut Board, key: StoreRequestKey, from: Option<HostId>, reply: StoreReply) {
    let now = board.now.mono;
    let Some(pending) = board.store_requests.get_mut(key) else { return };
    match reply {
        StoreReply::NotLeader { leader } => {
            pending.tried.extend(from);
            pending.state = StoreRequestState::Due(now + RETRY_DELAY);
            if let Some(leader) = leader.filter(|leader| Some(*leader) != from) {
                follow_redirect(board, key, leader);
            }
        }
        StoreReply::Undetermined => {
            pending.maybe_done |= pending.request.changes_state();
            pending.tried.extend(from);
            pending.state = StoreRequestState::Due(now + RETRY_DELAY);
        }
        reply => finish(board, key, reply),
    }
}

/// Sends a request to the host that a reply named as the leader, unless it has been sent too often.
fn follow_redirect(board: &mut Board, key: StoreRequestKey, leader: HostId) {
    let exhausted =
        board.store_requests.get(key).is_none_or(|pending| pending.sends >= MAX_REDIRECTS);
    if exhausted || leader == board.cfg.id {
        return;
    }
    send(board, key, leader);
}

fn finish(board: &mut Board, key: StoreRequestKey, reply: StoreReply) {
    let Some(pending) = board.store_requests.remove(key) else { return };
    let took = board.now.mono.since(pending.opened).0;
    let detail = |outcome: &str| {
        format!(
            "ask={} outcome={outcome} sends={} took_ms={took}",
            pending.request.name(),
            pending.sends
        )
    };
    let problem = |kind, text: &str| Answer::Problem(Problem::not_run(kind, text));
    let (answer, outcome) = match reply {
        StoreReply::Done if matches!(pending.request, StoreRequest::Submit(_)) => {
            (Answer::Accepted, "accepted")
        }
        StoreReply::Done => (Answer::Done, "done"),
        StoreReply::Results(page) => (Answer::Results(page), "results"),
        StoreReply::Body(body) => (Answer::Body(body), "body"),
        StoreReply::Retiring { complete } => (Answer::Retiring { complete }, "retiring"),
        StoreReply::Routing(None) => match &board.routing {
            Some(routing) => (Answer::Routing(routing.document.clone()), "known"),
            None => (Answer::Problem(not_ready("no routing configuration received yet")), "none"),
        },
        StoreReply::Routing(Some(routing)) => (Answer::Routing(routing.document.clone()), "newer"),
        StoreReply::Unknown => {
            (problem(ErrorKind::NotFound, "no such job, item or host"), "unknown")
        }
        StoreReply::TooFew => {
            (problem(ErrorKind::TooFewHosts, "too few store hosts would remain"), "too-few")
        }
        StoreReply::JobIdTaken => {
            (problem(ErrorKind::IdTaken, "a job of another workspace has this id"), "id-taken")
        }
        StoreReply::Unauthorized => {
            (problem(ErrorKind::Unauthorized, "the request has no known key"), "unauthorized")
        }
        StoreReply::NoMemory => (Answer::Problem(no_memory(pending.maybe_done)), "no-memory"),
        StoreReply::NotLeader { .. } | StoreReply::Undetermined => return,
    };
    let text = detail(outcome);
    board.note(EventKind::Asked, pending.trace, text);
    board.answer(pending.tag, answer);
}

/// Returns the problem of a job that found no memory; `maybe_done` says whether another host may
/// have accepted it.
fn no_memory(maybe_done: bool) -> Problem {
    let text = "the store hosts have no memory for the job";
    let ran = if maybe_done { Ran::Unknown } else { Ran::No };
    let kind = if maybe_done { ErrorKind::OutcomeUnknown } else { ErrorKind::Overloaded };
    Problem::not_run(kind, text).ran(ran).retry_after(NO_MEMORY_RETRY_AFTER)
}

/// Decides a due request here, sends it to the next host, or expires it.
fn advance(board: &mut Board, key: StoreRequestKey) {
    let now = board.now.mono;
    let is_store = board.cfg.role == Role::Store;
    let pending = &mut board.store_requests[key];
    if let StoreRequestState::Sent(to, _) = pending.state {
        pending.maybe_done |= pending.request.changes_state();
        pending.tried.extend(to);
    }
    if now >= pending.until {
        expire(board, key);
        return;
    }
    if is_store && can_decide(board, key) {
        let pending = &mut board.store_requests[key];
        pending.sends += 1;
        pending.state = StoreRequestState::Sent(None, now);
        let request = pending.request.clone();
        board.pending_decisions.push(PendingDecision { origin: Origin::Local(key), request });
        board.another_round = true;
        return;
    }
    match next_host(board, key) {
        Some(host) => send(board, key, host),
        None => {
            let pending = &mut board.store_requests[key];
            pending.tried.clear();
            pending.state = StoreRequestState::Due(now + RETRY_DELAY);
        }
    }
}

/// Returns whether this store host may decide a request itself: always as the leader, otherwise
/// only the first attempt of a request that any replica can answer.
fn can_decide(board: &Board, key: StoreRequestKey) -> bool {
    let pending = &board.store_requests[key];
    if pending.request.needs_leader() || pending.sends > 0 { board.leads() } else { true }
}

fn send(board: &mut Board, key: StoreRequestKey, host: HostId) {
    let (now, boot_id) = (board.now.mono, board.cfg.boot_id);
    let Some(pending) = board.store_requests.get_mut(key) else { return };
    pending.sends += 1;
    pending.state = StoreRequestState::Sent(Some(host), now);
    let request = pending.request.clone();
    let message = GatewayMessage::Request { boot_id, key: key.data().as_ffi(), request };
    board.send(host, message);
}

/// Returns the host to send a request to next, among those not tried: the leader for a retry or for
/// what only the leader can decide, the nearest voter for a read, otherwise the nearest store host.
fn next_host(board: &Board, key: StoreRequestKey) -> Option<HostId> {
    let pending = &board.store_requests[key];
    let stores = board.reachable_stores();
    let untried = |host: &HostId| !pending.tried.contains(host);
    let leader = board.leader.map(|(_, leader)| leader).filter(|leader| *leader != board.cfg.id);
    let preferred = if pending.request.needs_leader() || pending.sends > 0 {
        leader
    } else {
        nearest_replica(board, &stores)
    };
    let reachable = preferred.filter(|host| stores.contains(host) && untried(host));
    reachable.or_else(|| stores.into_iter().find(untried))
}

/// Returns the first of the store hosts, sorted by distance, that holds the directory.
pub(super) fn nearest_replica(board: &Board, stores: &[HostId]) -> Option<HostId> {
    let holds = |id: &&HostId| {
        let host = board.host_index.get(id).map(|key| &board.hosts[*key]);
        board.voters.1.contains(id) || host.is_some_and(|host| host.holds_directory)
    };
    stores.iter().find(holds).copied()
}

fn expire(board: &mut Board, key: StoreRequestKey) {
    let Some(pending) = board.store_requests.remove(key) else { return };
    let name = pending.request.name();
    let problem = if pending.maybe_done {
        let text = format!("{name}: no store host confirmed it in time");
        Problem::not_run(ErrorKind::DeadlineExceeded, text).ran(Ran::Unknown)
    } else {
        not_ready("no store host answered in time")
    };
    board.reject(pending.tag, &pending.trace, problem);
}
