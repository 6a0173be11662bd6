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
use crate::gateway::board::{AskState, Board, Decision, Origin, PendingAsk};
use crate::gateway::event::Event;
use crate::gateway::message::{Ask, GatewayMessage, Reply};
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
        let due: Vec<StoreRequestKey> =
            board.asks.iter().filter(|(_, ask)| due_at(ask) <= now).map(|(key, _)| key).collect();
        for key in due {
            advance(board, key);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.asks.values().map(due_at).min().unwrap_or(Millis::MAX)
    }
}

fn due_at(ask: &PendingAsk) -> Millis {
    let next = match ask.state {
        AskState::Due(at) => at,
        AskState::Sent(_, at) => at + ASK_AGAIN + wait_of(&ask.ask),
    };
    next.min(ask.until)
}

fn wait_of(ask: &Ask) -> Millis {
    if let Ask::Results { wait, .. } = ask { *wait } else { Millis(0) }
}

fn receive(board: &mut Board, from: HostId, message: &GatewayMessage) {
    match message {
        GatewayMessage::Ask { life, key, ask } => {
            let origin = Origin::Host { host: from, life: *life, key: *key };
            board.decisions.push(Decision { origin, ask: ask.clone() });
        }
        GatewayMessage::Reply { life, key, reply } if *life == board.cfg.life => {
            let key = StoreRequestKey::from(slotmap::KeyData::from_ffi(*key));
            board.replies.push((key, Some(from), reply.clone()));
        }
        _ => {}
    }
}

fn take_reply(board: &mut Board, key: StoreRequestKey, from: Option<HostId>, reply: Reply) {
    let now = board.now.mono;
    let Some(ask) = board.asks.get_mut(key) else { return };
    match reply {
        Reply::AskLeader { leader } => {
            ask.tried.extend(from);
            ask.state = AskState::Due(now + ASK_REST);
            if let Some(leader) = leader.filter(|leader| Some(*leader) != from) {
                follow(board, key, leader);
            }
        }
        Reply::NotSure => {
            ask.maybe_done |= ask.ask.changes();
            ask.tried.extend(from);
            ask.state = AskState::Due(now + ASK_REST);
        }
        reply => finish(board, key, reply),
    }
}

/// Sends a question to the host that another one named as the leader.
fn follow(board: &mut Board, key: StoreRequestKey, leader: HostId) {
    let often = board.asks.get(key).is_none_or(|ask| ask.sends >= MOST_REDIRECTS);
    if often || leader == board.cfg.id {
        return;
    }
    send(board, key, leader);
}

fn finish(board: &mut Board, key: StoreRequestKey, reply: Reply) {
    let Some(ask) = board.asks.remove(key) else { return };
    let took = board.now.mono.since(ask.opened).0;
    let detail = |outcome: &str| {
        format!("ask={} outcome={outcome} sends={} took_ms={took}", ask.ask.name(), ask.sends)
    };
    let problem = |kind, text: &str| Answer::Problem(Problem::not_run(kind, text));
    let (answer, outcome) = match reply {
        Reply::Done if matches!(ask.ask, Ask::Submit(_)) => (Answer::Accepted, "accepted"),
        Reply::Done => (Answer::Done, "done"),
        Reply::Results(page) => (Answer::Results(page), "results"),
        Reply::Body(body) => (Answer::Body(body), "body"),
        Reply::Retiring { complete } => (Answer::Retiring { complete }, "retiring"),
        Reply::Routing(None) => match &board.routing {
            Some(routing) => (Answer::Routing(routing.document.clone()), "known"),
            None => (Answer::Problem(not_ready("no routing configuration yet")), "none"),
        },
        Reply::Routing(Some(routing)) => (Answer::Routing(routing.document.clone()), "newer"),
        Reply::Unknown => (problem(ErrorKind::NotFound, "it does not exist"), "unknown"),
        Reply::TooFew => (problem(ErrorKind::TooFewHosts, "too few hosts would remain"), "too-few"),
        Reply::AskLeader { .. } | Reply::NotSure => return,
    };
    let text = detail(outcome);
    board.note(EventKind::Asked, ask.trace, text);
    board.answer(ask.tag, answer);
}

fn advance(board: &mut Board, key: StoreRequestKey) {
    let now = board.now.mono;
    let own = board.cfg.role == Role::Store;
    let ask = &mut board.asks[key];
    if let AskState::Sent(to, _) = ask.state {
        ask.maybe_done |= ask.ask.changes();
        ask.tried.extend(to);
    }
    if now >= ask.until {
        expire(board, key);
        return;
    }
    if own && may_decide(board, key) {
        let ask = &mut board.asks[key];
        ask.sends += 1;
        ask.state = AskState::Sent(None, now);
        let question = ask.ask.clone();
        board.decisions.push(Decision { origin: Origin::Own(key), ask: question });
        board.again = true;
        return;
    }
    match target(board, key) {
        Some(host) => send(board, key, host),
        None => {
            let ask = &mut board.asks[key];
            ask.tried.clear();
            ask.state = AskState::Due(now + ASK_REST);
        }
    }
}

/// Tells whether this store host is the one to try first.
fn may_decide(board: &Board, key: StoreRequestKey) -> bool {
    let ask = &board.asks[key];
    if ask.ask.needs_leader() || ask.sends > 0 { board.leads() } else { true }
}

fn send(board: &mut Board, key: StoreRequestKey, host: HostId) {
    let (now, life) = (board.now.mono, board.cfg.life);
    let Some(ask) = board.asks.get_mut(key) else { return };
    ask.sends += 1;
    ask.state = AskState::Sent(Some(host), now);
    let question = ask.ask.clone();
    let message = GatewayMessage::Ask { life, key: key.data().as_ffi(), ask: question };
    board.send(host, message);
}

/// Returns the host to be asked next: the leader for what only it can decide, else the nearest.
fn target(board: &Board, key: StoreRequestKey) -> Option<HostId> {
    let ask = &board.asks[key];
    let stores = board.live_stores();
    let fresh = |host: &HostId| !ask.tried.contains(host);
    let leader = board.leader.map(|(_, leader)| leader).filter(|leader| *leader != board.cfg.id);
    let first = if ask.ask.needs_leader() || ask.sends > 0 { leader } else { None };
    let live_leader = first.filter(|leader| stores.contains(leader) && fresh(leader));
    live_leader.or_else(|| stores.into_iter().find(fresh))
}

fn expire(board: &mut Board, key: StoreRequestKey) {
    let Some(ask) = board.asks.remove(key) else { return };
    let name = ask.ask.name();
    let problem = if ask.maybe_done {
        let text = format!("{name}: no host confirmed it in time");
        Problem::not_run(ErrorKind::DeadlineExceeded, text).ran(Ran::Unknown)
    } else {
        not_ready("no host could decide it in time")
    };
    board.refuse(ask.tag, &ask.trace, problem);
}
