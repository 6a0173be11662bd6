//! Recording: records the starts of requests at upstreams and sends them to the leader.
//!
//! Reads: ended attempts, acknowledgements, `requests`, `attempts`, `leader`, `cfg`, the clock.
//! Writes: `usage`, `counters`, `actions`.
//!
//! A request counts once, at the dispatch of its first attempt that ran. Whether an attempt ran is known
//! when it ends; one that still runs some time after its dispatch, or was given up while it ran, counts
//! too. Records go to the leader again and again until it acknowledges them, and all recent ones go to
//! a new leader, since each leader counts on its own.

use crate::gateway::board::{Board, Purpose};
use crate::gateway::controller::Controller;
use crate::gateway::event::{Event, ForwardEnd};
use crate::gateway::message::GatewayMessage;
use crate::gateway::usage::starts::Dispatched;
use crate::gateway::usage::{UsageAck, UsageStarts};
use crate::key::{AttemptKey, HostId, RequestKey};
use crate::message::Message;
use crate::time::Millis;

/// How long after its dispatch a running attempt counts as begun; connections that can't be opened have
/// failed by then.
const RUNNING_DELAY: Millis = Millis(2_000);

/// The interval between two checks of the running attempts.
const CHECK_INTERVAL: Millis = Millis(100);

/// The least time between two messages; a killed host loses the starts of so long.
const SEND_INTERVAL: Millis = Millis(250);

/// The same on a host that stops.
const STOPPING_SEND_INTERVAL: Millis = Millis(50);

/// The interval at which records are sent again that the leader has not acknowledged.
const RESEND_INTERVAL: Millis = Millis(500);

/// The interval at which records expire, also while no leader is known or all are acknowledged.
const EXPIRY_INTERVAL: Millis = Millis(1_000);

/// Records the starts of requests and sends them to the leader.
#[derive(Debug, Default)]
pub struct Recording {
    /// The fencing token and host of the leader that records are sent to.
    leader: Option<(u64, HostId)>,
    next_check: Millis,
    next_expiry: Millis,
    /// The number of the last message, and when it was sent.
    last_sent: (u64, Millis),
    /// Whether the last message is acknowledged.
    is_acknowledged: bool,
    /// The shortest round trip to the leader.
    round_trip: Option<Millis>,
}

/// Notes that an attempt to run a caller's request was sent to an upstream.
pub fn note_dispatch(board: &mut Board, key: RequestKey, attempt: AttemptKey) {
    if !board.cfg.reports_usage() {
        return;
    }
    let Some(request) = board.requests.get(key) else { return };
    let Some(workspace) = &request.workspace else { return };
    let (at, log) = (board.now.mono, &mut board.usage);
    let workspace = log.names.key(workspace);
    if log.dispatched.contains_key(&key) {
        // The attempt before this one was given up while it ran.
        record_start(board, key);
        return;
    }
    log.dispatched.insert(key, Dispatched { workspace, attempt, at, is_recorded: false });
}

impl Controller for Recording {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if !board.cfg.reports_usage() {
            return;
        }
        match event {
            Some(Event::ForwardEnded { attempt, end }) => handle_ended(board, *attempt, end),
            Some(Event::Received(envelope)) => {
                if let Message::Gateway(message) = &envelope.message
                    && let GatewayMessage::UsageAck(ack) = &**message
                {
                    self.handle_ack(board, envelope.from, ack);
                }
            }
            _ => {}
        }
        let now = board.now.mono;
        if now >= self.next_check && !board.usage.dispatched.is_empty() {
            self.next_check = now + CHECK_INTERVAL;
            record_running(board);
        }
        if now >= self.next_expiry && !board.usage.is_empty() {
            self.next_expiry = now + EXPIRY_INTERVAL;
            board.usage.expire(now);
            board.counters.usage_lost_starts = board.usage.lost;
        }
        self.follow_leader(board);
        if self.send_at(board) <= now {
            self.send(board);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let check = if board.usage.dispatched.is_empty() { Millis::MAX } else { self.next_check };
        let expiry = if board.usage.is_empty() { Millis::MAX } else { self.next_expiry };
        check.min(expiry).min(self.send_at(board))
    }
}

/// Returns whether an attempt with this end began to run at its upstream.
fn has_run(end: &ForwardEnd) -> bool {
    match end {
        ForwardEnd::Delivered { .. }
        | ForwardEnd::Begun { .. }
        | ForwardEnd::Held { .. }
        | ForwardEnd::Broken { .. }
        | ForwardEnd::UpstreamEnded { .. } => true,
        ForwardEnd::NotRun { .. }
        | ForwardEnd::NotSent { .. }
        | ForwardEnd::ConnectRefused { .. } => false,
    }
}

/// Records the start of a request, unless it is recorded.
fn record_start(board: &mut Board, key: RequestKey) {
    let log = &mut board.usage;
    let Some(dispatched) = log.dispatched.get_mut(&key) else { return };
    if std::mem::replace(&mut dispatched.is_recorded, true) {
        return;
    }
    let (workspace, at) = (dispatched.workspace, dispatched.at);
    log.record(workspace, at);
    board.counters.usage_starts += 1;
    board.counters.usage_merges = log.merges;
}

fn handle_ended(board: &mut Board, key: AttemptKey, end: &ForwardEnd) {
    let Some(attempt) = board.attempts.get(key) else { return };
    let Purpose::Request(request) = attempt.purpose else { return };
    let log = &mut board.usage;
    let Some(dispatched) = log.dispatched.get(&request) else { return };
    if dispatched.is_recorded || dispatched.attempt != key {
        return;
    }
    if has_run(end) {
        record_start(board, request);
    } else {
        log.dispatched.remove(&request);
    }
}

/// Records the requests that still run some time after their dispatch, or were given up.
fn record_running(board: &mut Board) {
    let now = board.now.mono;
    let (mut begun, mut over) = (Vec::new(), Vec::new());
    for (key, dispatched) in &board.usage.dispatched {
        let is_over = !board.requests.contains_key(*key);
        let is_given_up = !board.attempts.contains_key(dispatched.attempt);
        let is_running = now.since(dispatched.at) >= RUNNING_DELAY;
        if is_over || is_given_up || is_running {
            begun.push(*key);
        }
        if is_over {
            over.push(*key);
        }
    }
    for key in begun {
        record_start(board, key);
    }
    for key in over {
        board.usage.dispatched.remove(&key);
    }
}

impl Recording {
    fn follow_leader(&mut self, board: &mut Board) {
        if board.leader == self.leader {
            return;
        }
        self.leader = board.leader;
        self.round_trip = None;
        self.last_sent.1 = Millis(0);
        board.usage.send_all_again();
    }

    fn handle_ack(&mut self, board: &mut Board, from: HostId, ack: &UsageAck) {
        // A host that leads anew names a token that no view may have reported yet.
        board.leader = board.leader.max(Some((ack.fence, from)));
        let (number, sent_at) = self.last_sent;
        if self.leader != Some((ack.fence, from)) || ack.boot_id != board.cfg.boot_id {
            return;
        }
        if ack.number == number && !self.is_acknowledged {
            let took = board.now.mono.since(sent_at);
            self.round_trip = Some(self.round_trip.map_or(took, |shortest| shortest.min(took)));
            self.is_acknowledged = true;
        }
        board.usage.acknowledge(ack.next_seq);
    }

    /// Returns when the next message is due.
    fn send_at(&self, board: &Board) -> Millis {
        if self.leader.is_none() || !board.usage.has_unacknowledged() {
            return Millis::MAX;
        }
        let (_, sent_at) = self.last_sent;
        let interval = match board.draining {
            Some(_) => STOPPING_SEND_INTERVAL,
            None if self.is_acknowledged || board.usage.has_new() => SEND_INTERVAL,
            None => RESEND_INTERVAL,
        };
        sent_at + interval
    }

    fn send(&mut self, board: &mut Board) {
        let Some((fence, leader)) = self.leader else { return };
        let now = board.now.mono;
        board.usage.expire(now);
        board.counters.usage_lost_starts = board.usage.lost;
        let transit = self.round_trip.map_or(Millis(0), |round_trip| Millis(round_trip.0 / 2));
        let message = board.usage.message(now, transit);
        if message.records.is_empty() {
            return;
        }
        let number = self.last_sent.0 + 1;
        self.last_sent = (number, now);
        self.is_acknowledged = false;
        let boot_id = board.cfg.boot_id;
        let message = UsageStarts { fence, boot_id, number, ..message };
        board.send(leader, GatewayMessage::UsageStarts(message));
    }
}
