//! Asks: gets the questions of this host's callers answered, here or by other hosts.
//!
//! Reads: replies, the clock, `leader`, `hosts`. Writes: `asks`, `decisions`, `actions`.
//!
//! A question that changes something may be sent to several hosts in turn: all such changes are
//! idempotent by their name or version. It is answered "not run" only where no host that was sent
//! it can have carried it out.

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

/// How long a host may take to answer before another one is asked: two round trips between
/// regions, two syncs, and a slow host.
const ASK_AGAIN: Millis = Millis(450);

/// How long to wait after a host could not answer.
const ASK_REST: Millis = Millis(60);

/// How often a question follows a host's word who leads before it rests.
const MOST_REDIRECTS: u32 = 6;

/// Gets questions answered.
#[derive(Debug)]
pub(super) struct Asks;

impl Controller for Asks {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Gateway(message) = &envelope.message
        {
            receive(board, envelope.from, message);
        }
        for (key, from, reply) in std::mem::take(&mut board.replies) {
            take_reply(board, key, from, reply);
        }
        let now = board.now.mono;
        let due: Vec<StoreRequestKey> = board
            .store_requests
            .iter()
            .filter(|(_, ask)| due_at(ask) <= now)
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

fn due_at(ask: &PendingStoreRequest) -> Millis {
    let next = match ask.state {
        StoreRequestState::Due(at) => at,
        StoreRequestState::Sent(_, at) => at + ASK_AGAIN + wait_of(&ask.request),
    };
    next.min(ask.until)
}

fn wait_of(ask: &StoreRequest) -> Millis {
    if let StoreRequest::Results { wait, .. } = ask { *wait } else { Millis(0) }
}

fn receive(board: &mut Board, from: HostId, message: &GatewayMessage) {
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

fn take_reply(board: &mut Board, key: StoreRequestKey, from: Option<HostId>, reply: StoreReply) {
    let now = board.now.mono;
    let Some(ask) = board.store_requests.get_mut(key) else { return };
    match reply {
        StoreReply::NotLeader { leader } => {
            ask.tried.extend(from);
            ask.state = StoreRequestState::Due(now + ASK_REST);
            if let Some(leader) = leader.filter(|leader| Some(*leader) != from) {
                follow(board, key, leader);
            }
        }
        StoreReply::Undetermined => {
            ask.maybe_done |= ask.request.changes();
            ask.tried.extend(from);
            ask.state = StoreRequestState::Due(now + ASK_REST);
        }
        reply => finish(board, key, reply),
    }
}

/// Sends a question to the host that another one named as the leader.
fn follow(board: &mut Board, key: StoreRequestKey, leader: HostId) {
    let often = board.store_requests.get(key).is_none_or(|ask| ask.sends >= MOST_REDIRECTS);
    if often || leader == board.cfg.id {
        return;
    }
    send(board, key, leader);
}

fn finish(board: &mut Board, key: StoreRequestKey, reply: StoreReply) {
    let Some(ask) = board.store_requests.remove(key) else { return };
    let took = board.now.mono.since(ask.opened).0;
    let detail = |outcome: &str| {
        format!("ask={} outcome={outcome} sends={} took_ms={took}", ask.request.name(), ask.sends)
    };
    let problem = |kind, text: &str| Answer::Problem(Problem::not_run(kind, text));
    let (answer, outcome) = match reply {
        StoreReply::Done if matches!(ask.request, StoreRequest::Submit(_)) => {
            (Answer::Accepted, "accepted")
        }
        StoreReply::Done => (Answer::Done, "done"),
        StoreReply::Results(page) => (Answer::Results(page), "results"),
        StoreReply::Body(body) => (Answer::Body(body), "body"),
        StoreReply::Retiring { complete } => (Answer::Retiring { complete }, "retiring"),
        StoreReply::Routing(None) => match &board.routing {
            Some(routing) => (Answer::Routing(routing.document.clone()), "known"),
            None => (Answer::Problem(not_ready("no routing configuration yet")), "none"),
        },
        StoreReply::Routing(Some(routing)) => (Answer::Routing(routing.document.clone()), "newer"),
        StoreReply::Unknown => (problem(ErrorKind::NotFound, "it does not exist"), "unknown"),
        StoreReply::TooFew => {
            (problem(ErrorKind::TooFewHosts, "too few hosts would remain"), "too-few")
        }
        StoreReply::NotLeader { .. } | StoreReply::Undetermined => return,
    };
    let text = detail(outcome);
    board.note(EventKind::Asked, ask.trace, text);
    board.answer(ask.tag, answer);
}

fn advance(board: &mut Board, key: StoreRequestKey) {
    let now = board.now.mono;
    let own = board.cfg.role == Role::Store;
    let ask = &mut board.store_requests[key];
    if let StoreRequestState::Sent(to, _) = ask.state {
        ask.maybe_done |= ask.request.changes();
        ask.tried.extend(to);
    }
    if now >= ask.until {
        expire(board, key);
        return;
    }
    if own && may_decide(board, key) {
        let ask = &mut board.store_requests[key];
        ask.sends += 1;
        ask.state = StoreRequestState::Sent(None, now);
        let question = ask.request.clone();
        board
            .pending_decisions
            .push(PendingDecision { origin: Origin::Local(key), request: question });
        board.another_round = true;
        return;
    }
    match target(board, key) {
        Some(host) => send(board, key, host),
        None => {
            let ask = &mut board.store_requests[key];
            ask.tried.clear();
            ask.state = StoreRequestState::Due(now + ASK_REST);
        }
    }
}

/// Tells whether this store host is the one to try first.
fn may_decide(board: &Board, key: StoreRequestKey) -> bool {
    let ask = &board.store_requests[key];
    if ask.request.needs_leader() || ask.sends > 0 { board.leads() } else { true }
}

fn send(board: &mut Board, key: StoreRequestKey, host: HostId) {
    let (now, boot_id) = (board.now.mono, board.cfg.boot_id);
    let Some(ask) = board.store_requests.get_mut(key) else { return };
    ask.sends += 1;
    ask.state = StoreRequestState::Sent(Some(host), now);
    let question = ask.request.clone();
    let message = GatewayMessage::Request { boot_id, key: key.data().as_ffi(), request: question };
    board.send(host, message);
}

/// Returns the host to be asked next: the leader for what only it can decide, else the nearest.
fn target(board: &Board, key: StoreRequestKey) -> Option<HostId> {
    let ask = &board.store_requests[key];
    let stores = board.live_stores();
    let fresh = |host: &HostId| !ask.tried.contains(host);
    let leader = board.leader.map(|(_, leader)| leader).filter(|leader| *leader != board.cfg.id);
    let first = if ask.request.needs_leader() || ask.sends > 0 { leader } else { None };
    let live_leader = first.filter(|leader| stores.contains(leader) && fresh(leader));
    live_leader.or_else(|| stores.into_iter().find(fresh))
}

fn expire(board: &mut Board, key: StoreRequestKey) {
    let Some(ask) = board.store_requests.remove(key) else { return };
    let name = ask.request.name();
    let problem = if ask.maybe_done {
        let text = format!("{name}: no host confirmed it in time");
        Problem::not_run(ErrorKind::DeadlineExceeded, text).ran(Ran::Unknown)
    } else {
        not_ready("no host could decide it in time")
    };
    board.reject(ask.tag, &ask.trace, problem);
}
