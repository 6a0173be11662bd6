//! Leaves: acknowledges to an upstream that it leaves once that outlasts the processes that know it.
//!
//! Reads: `unconfirmed_leaves`, `facts` (what is on the disk), messages of other hosts, `hosts`, the clock.
//! Writes: `unconfirmed_leaves`, `upstreams` (that a leave is kept), `actions`.
//!
//! All store hosts may end at once, with their disks kept, and a single one may lose its disk. So a
//! leave is on more disks than may be lost at once when it is acknowledged. The record goes to all
//! contacts at once; each confirms it when it is on its own disk. A disk that stalls holds up no leave
//! that other disks hold. An upstream that gets no acknowledgement asks another store host.

use std::collections::BTreeMap;

use super::Controller;
use crate::error::{ErrorKind, Problem};
use crate::gateway::action::Answer;
use crate::gateway::board::{Board, FactPosition};
use crate::gateway::event::Event;
use crate::gateway::message::GatewayMessage;
use crate::gateway::settings::Role;
use crate::key::{HostId, RequestTag, UpstreamKey};
use crate::message::Message;
use crate::time::Millis;

/// The number of other store hosts that know of a leave when it is acknowledged that is on fewer disks,
/// if so many are live.
const KEPT_BY: usize = 2;

/// How long an upstream's call waits for them; an upstream waits one second for an answer. One disk is
/// enough then.
const WAIT_LIMIT: Millis = Millis(600);

/// The most messages of other hosts that wait for this host's disk; beyond it the oldest stay
/// unconfirmed.
const MAX_UNCONFIRMED: usize = 4_096;

/// Acknowledges leaves.
#[derive(Debug, Default)]
pub(super) struct Leaves {
    last_number: u64,
    open: Vec<OpenLeave>,
    /// The messages of other hosts on leaves that are not on this host's disk yet.
    unsynced: Vec<UnsyncedLeave>,
}

/// A leave that other store hosts have been told and that is not acknowledged yet.
#[derive(Debug)]
struct OpenLeave {
    number: u64,
    upstream: UpstreamKey,
    tag: RequestTag,
    /// Where the leave is among the facts that this host writes.
    position: FactPosition,
    /// The number of store hosts that were told.
    told: usize,
    /// Those that know of it, with whether they have it on their disks.
    kept_by: BTreeMap<HostId, bool>,
    until: Millis,
}

/// A message of another host that is confirmed once its leaves are on the disk.
#[derive(Debug)]
struct UnsyncedLeave {
    from: HostId,
    number: u64,
    position: FactPosition,
}

impl Controller for Leaves {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Gateway(message) = &envelope.message
        {
            match **message {
                GatewayMessage::Leaves { number, .. } => {
                    let position = board.facts.position();
                    self.unsynced.push(UnsyncedLeave { from: envelope.from, number, position });
                }
                GatewayMessage::LeavesKept { number, on_disk } => {
                    self.record_kept(number, envelope.from, on_disk);
                }
                _ => {}
            }
        }
        for (upstream, tag) in std::mem::take(&mut board.unconfirmed_leaves) {
            self.tell_contacts(board, upstream, tag);
        }
        self.confirm(board);
        self.answer(board);
    }

    fn next_deadline(&self, _board: &Board) -> Millis {
        self.open.iter().map(|leave| leave.until).min().unwrap_or(Millis::MAX)
    }
}

impl OpenLeave {
    /// Returns on how many disks the leave is, this host's among them.
    fn disks(&self, board: &Board) -> usize {
        let own = usize::from(board.facts.is_synced(self.position));
        own + self.kept_by.values().filter(|on_disk| **on_disk).count()
    }

    /// Returns whether the leave outlasts all that may be lost at once.
    fn is_kept(&self, board: &Board) -> bool {
        let disks = self.disks(board);
        let lost_at_once = usize::try_from(board.cfg.tolerated_losses).unwrap_or(usize::MAX);
        if disks > lost_at_once {
            return true;
        }
        // There are fewer hosts, or some of an earlier version, which keep it in memory only.
        let in_memory = self.kept_by.values().filter(|on_disk| !**on_disk).count();
        let able = 1 + self.told.saturating_sub(in_memory);
        disks >= able && self.kept_by.len() >= KEPT_BY.max(lost_at_once).min(self.told)
    }

    /// Returns whether the leave outlasts this process, so that it can be acknowledged if no more
    /// confirmations come.
    fn is_known_elsewhere(&self, board: &Board) -> bool {
        let is_alone = self.told == 0;
        self.disks(board) > 0 && (is_alone || !self.kept_by.is_empty())
    }
}

impl Leaves {
    fn record_kept(&mut self, number: u64, by: HostId, on_disk: bool) {
        for leave in &mut self.open {
            if leave.number == number {
                leave.kept_by.insert(by, on_disk);
            }
        }
    }

    fn tell_contacts(&mut self, board: &mut Board, upstream: UpstreamKey, tag: RequestTag) {
        let now = board.now;
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
        let (position, told, kept_by) = (board.facts.position(), contacts.len(), BTreeMap::new());
        self.open.push(OpenLeave { number, upstream, tag, position, told, kept_by, until });
    }

    /// Confirms to other hosts the leaves that are on this host's disk.
    fn confirm(&mut self, board: &mut Board) {
        let excess = self.unsynced.len().saturating_sub(MAX_UNCONFIRMED);
        self.unsynced.drain(..excess);
        for leave in std::mem::take(&mut self.unsynced) {
            if !board.facts.is_synced(leave.position) {
                self.unsynced.push(leave);
                continue;
            }
            let (number, on_disk) = (leave.number, true);
            board.send(leave.from, GatewayMessage::LeavesKept { number, on_disk });
        }
    }

    /// Answers the leaves that are kept, and those that have waited long enough.
    fn answer(&mut self, board: &mut Board) {
        let now = board.now.mono;
        for leave in std::mem::take(&mut self.open) {
            let is_kept = leave.is_kept(board);
            if !is_kept && now < leave.until {
                self.open.push(leave);
                continue;
            }
            if !is_kept && !leave.is_known_elsewhere(board) {
                let detail = format!(
                    "the leave is on {} disks and known to {} of {} other store hosts",
                    leave.disks(board),
                    leave.kept_by.len(),
                    leave.told
                );
                let problem = Problem::not_run(ErrorKind::NotReady, detail);
                board.reject(leave.tag, "leave", problem);
                continue;
            }
            if let Some(upstream) = board.upstreams.get_mut(leave.upstream) {
                upstream.leave_kept |= is_kept;
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
