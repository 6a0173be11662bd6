//! Leaves: acknowledges to an upstream that it leaves once other store hosts know it.
//!
//! Reads: `unconfirmed_leaves`, messages of other store hosts, `hosts`, the clock.
//! Writes: `unconfirmed_leaves`, `upstreams` (that a leave is kept), `actions`.
//!
//! The registry is in memory only, so a leave that one store host alone knows is lost with its
//! process. The record goes to all contacts at once. An upstream that gets no acknowledgement asks
//! another store host.

use std::collections::BTreeSet;

use super::Controller;
use crate::error::{ErrorKind, Problem};
use crate::gateway::action::Answer;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::gateway::message::GatewayMessage;
use crate::gateway::settings::Role;
use crate::key::{HostId, RequestTag, UpstreamKey};
use crate::message::Message;
use crate::time::Millis;

/// The number of other store hosts that know of a leave when it is acknowledged, if so many are live.
const KEPT_BY: usize = 2;

/// How long an upstream's call waits for them; an upstream waits one second for an answer. One of
/// them is enough then.
const WAIT_LIMIT: Millis = Millis(600);

/// Acknowledges leaves.
#[derive(Debug, Default)]
pub(super) struct Leaves {
    last_number: u64,
    open: Vec<OpenLeave>,
}

/// A leave that other store hosts have been told and that is not acknowledged yet.
#[derive(Debug)]
struct OpenLeave {
    number: u64,
    upstream: UpstreamKey,
    tag: RequestTag,
    wanted: usize,
    kept_by: BTreeSet<HostId>,
    until: Millis,
}

impl Controller for Leaves {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Gateway(message) = &envelope.message
        {
            match **message {
                GatewayMessage::Leaves { number, .. } => {
                    board.send(envelope.from, GatewayMessage::LeavesKept { number });
                }
                GatewayMessage::LeavesKept { number } => self.record_kept(number, envelope.from),
                _ => {}
            }
        }
        for (upstream, tag) in std::mem::take(&mut board.unconfirmed_leaves) {
            self.tell_contacts(board, upstream, tag);
        }
        self.answer(board);
    }

    fn next_deadline(&self, _board: &Board) -> Millis {
        self.open.iter().map(|leave| leave.until).min().unwrap_or(Millis::MAX)
    }
}

impl Leaves {
    fn record_kept(&mut self, number: u64, by: HostId) {
        for leave in &mut self.open {
            if leave.number == number {
                leave.kept_by.insert(by);
            }
        }
    }

    fn tell_contacts(&mut self, board: &mut Board, upstream: UpstreamKey, tag: RequestTag) {
        let now = board.now.mono;
        let Some(record) = board.upstreams.get(upstream).map(|upstream| upstream.record(now))
        else {
            board.answer(tag, Answer::Done);
            return;
        };
        // A confirmation for the process before this one must not count for this one's leaves.
        self.last_number = self.last_number.max(board.cfg.boot_id) + 1;
        let number = self.last_number;
        let contacts = keeping_contacts(board);
        for contact in &contacts {
            let upstreams = vec![record.clone()];
            board.send(*contact, GatewayMessage::Leaves { number, upstreams });
        }
        let until = board.now.mono + WAIT_LIMIT;
        let (wanted, kept_by) = (contacts.len().min(KEPT_BY), BTreeSet::new());
        self.open.push(OpenLeave { number, upstream, tag, wanted, kept_by, until });
    }

    /// Answers the leaves that enough store hosts know, and those that have waited long enough.
    fn answer(&mut self, board: &mut Board) {
        let now = board.now.mono;
        for leave in std::mem::take(&mut self.open) {
            let is_kept = leave.kept_by.len() >= leave.wanted;
            if !is_kept && now < leave.until {
                self.open.push(leave);
                continue;
            }
            if !is_kept && leave.kept_by.is_empty() {
                let detail = "no other store host has confirmed the leave in time";
                let problem = Problem::not_run(ErrorKind::NotReady, detail);
                board.reject(leave.tag, "leave", problem);
                continue;
            }
            if let Some(upstream) = board.upstreams.get_mut(leave.upstream) {
                upstream.leave_kept |= !leave.kept_by.is_empty();
            }
            board.answer(leave.tag, Answer::Done);
        }
    }
}

/// Returns the live store hosts among the contacts that answer messages on leaves.
fn keeping_contacts(board: &Board) -> Vec<HostId> {
    let now = board.now.mono;
    let mut contacts = Vec::new();
    for host in board.hosts.values() {
        let is_contact = host.role == Role::Store && host.contact_since.is_some();
        if is_contact && host.is_live(now) && host.keeps_leaves {
            contacts.push(host.id);
        }
    }
    contacts
}
