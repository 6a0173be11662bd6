//! Transfer of a directory snapshot to replicas that need entries which the log no longer holds.
//!
//! The leader sends the commands that rebuild the directory in parts of the size of an append, and
//! a few of them before the first is answered. A receiver collects the parts and installs the
//! snapshot with the last one. Neither side ever holds an encoded copy of the whole state.

use serde::{Deserialize, Serialize};

use super::replication::{APPEND_RETRY_DELAY, MAX_APPEND_BYTES};
use super::send_window::SendWindow;
use crate::agreement::{GroupId, GroupMessage, GroupState, Outbox, Replica, Snapshot, Voter};
use crate::directory::{Directory, DirectoryCommand};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The time without an answer after which a leader sends a replica no parts and holds no snapshot for
/// it.
const TRANSFER_TIMEOUT: Millis = Millis(5_000);

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SnapshotPart {
    /// The index of the last entry that the snapshot includes.
    pub index: u64,
    /// The term of that entry.
    pub index_term: u64,
    /// The voter set at that index.
    pub voters: Vec<Voter>,
    /// The position of the part, from 0.
    pub number: u32,
    /// Whether it is the last part.
    pub is_last: bool,
    /// The next commands that rebuild the state from an empty one.
    pub commands: Vec<DirectoryCommand>,
}

/// A snapshot that a leader sends, split into parts.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    index: u64,
    index_term: u64,
    voters: Vec<Voter>,
    parts: Vec<Vec<DirectoryCommand>>,
}

/// A snapshot of which a replica has received the first parts.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: u64,
    index_term: u64,
    next_part: u32,
    directory: Directory,
}

/// The leader's view of the transfer to one replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransferProgress {
    index: u64,
    /// The number of parts that the replica has received.
    received: u32,
    /// The parts that are not yet answered, by the number of parts up to each.
    window: SendWindow,
}

impl OutgoingSnapshot {
    fn new(snapshot: Snapshot, directory: &Directory) -> Self {
        let Snapshot { index, term: index_term, voters, .. } = snapshot;
        Self { index, index_term, voters, parts: directory.rebuild_commands(MAX_APPEND_BYTES) }
    }

    fn part(&self, number: u64) -> Option<SnapshotPart> {
        let number = u32::try_from(number).ok()?;
        let commands = self.parts.get(number as usize)?.clone();
        let is_last = number as usize + 1 == self.parts.len();
        let (index, index_term, voters) = (self.index, self.index_term, self.voters.clone());
        Some(SnapshotPart { index, index_term, voters, number, is_last, commands })
    }
}

impl Replica {
    /// Sends a snapshot to replicas that need entries which the log no longer holds: the state of a
    /// directory in parts, that of another group whole.
    pub fn send_snapshot(
        &mut self,
        now: Now,
        hosts: impl IntoIterator<Item = HostId>,
        snapshot: Snapshot,
        out: &mut Outbox,
    ) {
        if let GroupState::Directory(directory) = &snapshot.state {
            let directory = directory.clone();
            self.outgoing = Some(OutgoingSnapshot::new(snapshot, &directory));
            for host in hosts {
                self.send_parts(now, host, out);
            }
            return;
        }
        let (term, sent_at) = (self.term, now.mono);
        for host in hosts {
            let snapshot = snapshot.clone();
            out.immediate.push((host, GroupMessage::InstallSnapshot { term, snapshot, sent_at }));
        }
    }

    /// Sends the next parts of the snapshot to a replica, or requests a snapshot if there is none
    /// that the log continues.
    pub(super) fn send_parts(&mut self, now: Now, host: HostId, out: &mut Outbox) {
        let Some(progress) = self.progress.get_mut(&host) else { return };
        let base_index = self.log.base_index();
        let Some(outgoing) = self.outgoing.as_ref().filter(|sent| sent.index >= base_index) else {
            self.snapshot_targets.insert(host);
            return;
        };
        let index = outgoing.index;
        let known = progress.transfer.filter(|transfer| transfer.index == index);
        let new = TransferProgress { index, received: 0, window: SendWindow::default() };
        let mut transfer = known.unwrap_or(new);
        if transfer.window.has_timed_out(now.mono, APPEND_RETRY_DELAY) {
            transfer.window.reset();
        }
        let (term, sent_at) = (self.term, now.mono);
        while transfer.window.has_room() {
            let sent = transfer.window.last_position().unwrap_or(u64::from(transfer.received));
            let Some(part) = outgoing.part(sent) else { break };
            transfer.window.push(sent + 1, sent_at);
            out.immediate.push((host, GroupMessage::SnapshotPart { term, part, sent_at }));
        }
        progress.transfer = Some(transfer);
    }

    /// Adds a part to the snapshot that is being received, and installs it with the last part.
    pub(super) fn handle_snapshot_part(
        &mut self,
        from: HostId,
        part: SnapshotPart,
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        self.leader_commit = None;
        if part.index <= self.commit_index {
            self.incoming = None;
            self.reply_append(from, true, self.commit_index, sent_at, out);
            return;
        }
        let SnapshotPart { index, index_term, voters, number, is_last, commands } = part;
        if number == 0 {
            let directory = Directory::default();
            self.incoming = Some(IncomingSnapshot { index, index_term, next_part: 0, directory });
        }
        let Some(incoming) = &mut self.incoming else {
            self.reply_part(from, index, 0, sent_at, out);
            return;
        };
        let is_same = (incoming.index, incoming.index_term) == (index, index_term);
        if is_same && incoming.next_part == number {
            incoming.next_part += 1;
            for command in &commands {
                incoming.directory.apply(command);
            }
            if is_last && let Some(IncomingSnapshot { directory, .. }) = self.incoming.take() {
                let state = GroupState::Directory(directory);
                let snapshot = Snapshot { index, term: index_term, voters, state };
                self.handle_install_snapshot(from, snapshot, sent_at, out);
                return;
            }
        }
        let next_part = self.incoming.as_ref().filter(|_| is_same).map_or(0, |part| part.next_part);
        self.reply_part(from, index, next_part, sent_at, out);
    }

    fn reply_part(
        &self,
        to: HostId,
        index: u64,
        next_part: u32,
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        let (term, incarnation) = (self.term, self.local.incarnation);
        let reply =
            GroupMessage::SnapshotPartReply { term, incarnation, index, next_part, sent_at };
        out.immediate.push((to, reply));
    }

    /// Sends further parts to a replica that has received some.
    ///
    /// `reply` is the index of the snapshot and the next part that the replica needs.
    pub(super) fn handle_snapshot_part_reply(
        &mut self,
        now: Now,
        from: HostId,
        incarnation: u64,
        reply: (u64, u32),
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        let (index, next_part) = reply;
        let Some(progress) = self.record_reply(from, incarnation, sent_at) else { return };
        let Some(transfer) = progress.transfer.as_mut().filter(|known| known.index == index) else {
            return;
        };
        // Messages of a link arrive in order, so a part is lost if one that was sent after it is
        // answered first.
        let is_part_lost = next_part == transfer.received && transfer.window.is_overtaken(sent_at);
        if next_part < transfer.received {
            // A replica that has restarted needs all parts again.
            transfer.window.reset();
        } else if is_part_lost {
            transfer.window.forget_messages();
        }
        transfer.received = next_part;
        transfer.window.confirm(u64::from(next_part), now.mono);
        self.advance_commit();
        self.send_parts(now, from, out);
    }

    /// Returns whether a replica that needs a snapshot has been silent for so long that the leader
    /// sends it none.
    pub(super) fn is_transfer_suspended(&self, now: Now, host: HostId) -> bool {
        let Some(progress) = self.progress.get(&host) else { return false };
        let heard_at = progress.acked_sent_at.max(progress.last_join_request);
        let is_silent = now.mono.since(heard_at.max(self.leader_since)) >= TRANSFER_TIMEOUT;
        is_silent && self.group == GroupId::Directory
    }

    /// Ends the transfer to a silent replica and sends it a heartbeat, whose answer starts another.
    pub(super) fn suspend_transfer(&mut self, now: Now, host: HostId, out: &mut Outbox) {
        let Some(progress) = self.progress.get_mut(&host) else { return };
        progress.transfer = None;
        self.release_outgoing_snapshot();
        let (prev_index, leader_commit) = (self.log.last_index(), self.commit_index);
        let message = GroupMessage::AppendEntries {
            term: self.term,
            prev_index,
            prev_term: self.log.last_term(),
            entries: Vec::new(),
            leader_commit,
            sent_at: now.mono,
        };
        out.immediate.push((host, message));
    }

    /// Finds the entries that live replicas still need, which the next snapshot of this leader keeps in
    /// the log: those after the snapshot that a replica receives, or after its last entry. Otherwise its
    /// transfer would begin anew with each snapshot, and never end under load.
    pub fn retain_for_replicas(&mut self, now: Now) {
        let sent = self.outgoing.as_ref().map_or(u64::MAX, |outgoing| outgoing.index);
        let mut needed = u64::MAX;
        for (host, progress) in &self.progress {
            if *host == self.local.host || self.is_transfer_suspended(now, *host) {
                continue;
            }
            let after = if progress.transfer.is_some() { sent } else { progress.match_index };
            // A replica without any entry gets a snapshot first.
            if after >= self.log.base_index() && after > 0 {
                needed = needed.min(after);
            }
        }
        self.needed_after = needed;
    }

    /// Drops the outgoing snapshot once no replica needs it any more.
    pub(super) fn release_outgoing_snapshot(&mut self) {
        if self.progress.values().all(|progress| progress.transfer.is_none()) {
            self.outgoing = None;
        }
    }
}
