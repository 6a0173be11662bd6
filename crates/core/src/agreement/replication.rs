//! Log replication: appends and their replies, commits, and snapshots.

use super::replica::Progress;
use crate::agreement::{
    Entry, GroupId, GroupMessage, Log, Outbox, Record, Replica, Role, Snapshot, Voter,
};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The most entries in one append.
const MAX_ENTRIES_PER_APPEND: usize = 64;

/// The number of heartbeats that a leader sends in one election timeout. At three, its lease
/// outlasts one lost heartbeat.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 3;

/// The most bytes of entries in one append, unless its first entry alone is longer. A longer append
/// could occupy a link for so long that the heartbeats queued after it are late.
pub(super) const MAX_APPEND_BYTES: usize = 128 * 1024;

/// The time after which an unanswered append is sent again. It is longer than the largest append
/// takes: a link loses messages only when it breaks, so an append that is merely slow still arrives.
pub(super) const APPEND_RETRY_DELAY: Millis = Millis(1_000);

/// Returns the entries of the next append.
fn next_entries(log: &Log, next_index: u64) -> Vec<Entry> {
    let (mut entries, mut bytes) = (Vec::new(), 0);
    for entry in log.entries_from(next_index, MAX_ENTRIES_PER_APPEND) {
        bytes += entry.bytes();
        if !entries.is_empty() && bytes > MAX_APPEND_BYTES {
            break;
        }
        entries.push(entry.clone());
    }
    entries
}

impl Replica {
    /// Sends a heartbeat to every other replica, with new entries if few are in flight to it.
    pub(super) fn heartbeat(&mut self, now: Now, out: &mut Outbox) {
        self.next_heartbeat =
            now.mono + Millis(self.election_timeout.0 / HEARTBEATS_PER_ELECTION_TIMEOUT);
        let peers: Vec<HostId> = self.progress.keys().copied().collect();
        for host in peers {
            self.send_append(now, host, true, out);
        }
        self.advance_commit();
    }

    /// Sends new entries to every replica that has few entries in flight.
    pub(super) fn send_appends(&mut self, now: Now, out: &mut Outbox) {
        let peers: Vec<HostId> = self.progress.keys().copied().collect();
        for host in peers {
            self.send_append(now, host, false, out);
        }
        self.advance_commit();
    }

    fn send_append(&mut self, now: Now, host: HostId, is_heartbeat: bool, out: &mut Outbox) {
        if host == self.local.host {
            return;
        }
        let Some(progress) = self.progress.get_mut(&host) else { return };
        if progress.window.has_timed_out(now.mono, APPEND_RETRY_DELAY) {
            progress.window.reset();
            progress.resent_at = now.mono;
        }
        let mut needs_heartbeat = is_heartbeat;
        let sends_state_to_empty = self.sends_state_to_empty();
        loop {
            let Some(progress) = self.progress.get_mut(&host) else { return };
            let next_index = progress.next_index;
            let prev_index =
                progress.window.last_position().unwrap_or_else(|| next_index.saturating_sub(1));
            let has_entries = prev_index < self.log.last_index() && progress.window.has_room();
            if !has_entries && !needs_heartbeat {
                return;
            }
            let sends_entries = prev_index > 0 || !sends_state_to_empty;
            let prev_term = self.log.term_at(prev_index).filter(|_| sends_entries);
            let Some(prev_term) = prev_term else {
                if !self.is_transfer_suspended(now, host) {
                    self.send_missing_state(now, host, out);
                } else if needs_heartbeat {
                    self.suspend_transfer(now, host, out);
                }
                return;
            };
            let entries =
                if has_entries { next_entries(&self.log, prev_index + 1) } else { Vec::new() };
            if let Some(last) = entries.last() {
                progress.window.push(last.index, now.mono);
            }
            let (term, leader_commit, sent_at) = (self.term, self.commit_index, now.mono);
            let message = GroupMessage::AppendEntries {
                term,
                prev_index,
                prev_term,
                entries,
                leader_commit,
                sent_at,
            };
            out.immediate.push((host, message));
            needs_heartbeat = false;
        }
    }

    /// Returns whether an empty replica gets the applied state although the log holds all entries.
    ///
    /// It does where it would need several appends: the answers to the parts of a snapshot wait for
    /// no sync.
    fn sends_state_to_empty(&self) -> bool {
        let has_parts = self.group == GroupId::Directory && self.applied_index > 0;
        has_parts && self.log.bytes() > MAX_APPEND_BYTES
    }

    /// Removes and returns the hosts that need a snapshot.
    #[must_use]
    pub fn take_snapshot_targets(&mut self) -> Vec<HostId> {
        std::mem::take(&mut self.snapshot_targets).into_iter().collect()
    }

    /// Brings a replica forward that needs entries which the log no longer holds.
    fn send_missing_state(&mut self, now: Now, host: HostId, out: &mut Outbox) {
        if self.group == GroupId::Directory {
            self.send_parts(now, host, out);
            return;
        }
        let Some(progress) = self.progress.get_mut(&host) else { return };
        // A snapshot of another group is sent whole, and not again while it is in flight.
        if progress.window.is_empty() {
            progress.window.push(self.log.base_index(), now.mono);
            self.snapshot_targets.insert(host);
        }
    }

    /// Rejects a message from the leader of an earlier term. The zero `sent_at` extends no lease.
    pub(super) fn reject_append(&mut self, from: HostId, out: &mut Outbox) {
        self.reply_append(from, false, self.log.last_index(), Millis(0), out);
    }

    pub(super) fn reply_append(
        &self,
        to: HostId,
        accepted: bool,
        match_index: u64,
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        let (term, incarnation) = (self.term, self.local.incarnation);
        let reply = GroupMessage::AppendReply { term, incarnation, accepted, match_index, sent_at };
        out.after_sync.push((to, reply));
    }

    /// Stores the entries that follow `previous`, an index and its term.
    pub(super) fn handle_append_entries(
        &mut self,
        from: HostId,
        previous: (u64, u64),
        entries: Vec<Entry>,
        leader_commit: u64,
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        let (prev_index, prev_term) = previous;
        self.leader_commit = Some(leader_commit);
        self.incoming = None;
        let behind_base = prev_index < self.log.base_index();
        if !behind_base && self.log.term_at(prev_index) != Some(prev_term) {
            let hint =
                self.log.last_index().min(prev_index.saturating_sub(1)).max(self.commit_index);
            self.reply_append(from, false, hint, sent_at, out);
            return;
        }
        let mut match_index = prev_index;
        for entry in entries {
            match_index = entry.index;
            self.accept_entry(entry, out);
        }
        self.commit_index = self.commit_index.max(leader_commit.min(match_index));
        self.reply_append(from, true, match_index, sent_at, out);
    }

    fn accept_entry(&mut self, entry: Entry, out: &mut Outbox) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_log(entry.index, out),
            None => {}
        }
        self.store_entry(entry, out);
    }

    fn truncate_log(&mut self, index: u64, out: &mut Outbox) {
        self.log.truncate(index);
        self.synced_index = self.synced_index.min(self.log.last_index());
        if self.durable {
            out.records.push(Record::Truncate { group: self.group, index });
        }
    }

    /// Installs a snapshot, unless this replica has already committed as much.
    ///
    /// Later entries stay in the log if the log agrees with the snapshot, as they do on the disk.
    pub(super) fn handle_install_snapshot(
        &mut self,
        from: HostId,
        snapshot: Snapshot,
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        self.leader_commit = None;
        if snapshot.index > self.commit_index {
            self.log.continue_after(snapshot.index, snapshot.term);
            self.base_voters.clone_from(&snapshot.voters);
            self.commit_index = snapshot.index;
            self.applied_index = snapshot.index;
            self.snapshot_index = snapshot.index;
            self.applied_bytes = 0;
            self.synced_index = self.synced_index.min(self.log.last_index()).max(snapshot.index);
            self.installed_state = Some(snapshot.state.clone());
            if self.durable {
                out.records.push(Record::Snapshot { group: self.group, snapshot });
            }
        }
        self.reply_append(from, true, self.commit_index, sent_at, out);
    }

    /// Updates the progress of a replica from its reply.
    ///
    /// `reply` is whether it accepted the entries, and its match index.
    pub(super) fn handle_append_reply(
        &mut self,
        now: Now,
        from: HostId,
        incarnation: u64,
        reply: (bool, u64),
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        let (accepted, match_index) = reply;
        let last = self.log.last_index();
        let Some(progress) = self.record_reply(from, incarnation, sent_at) else { return };
        if accepted {
            progress.transfer = None;
            progress.match_index = progress.match_index.max(match_index.min(last));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.window.confirm(progress.match_index, now.mono);
        } else if sent_at >= progress.resent_at {
            let earlier = (match_index + 1).min(progress.next_index.saturating_sub(1));
            progress.next_index = earlier.max(progress.match_index + 1);
            progress.window.reset();
            progress.resent_at = now.mono;
        }
        self.release_outgoing_snapshot();
        self.advance_commit();
        self.send_append(now, from, false, out);
    }

    /// Records that a replica has answered a message that was sent at `sent_at`, and returns its
    /// progress; `None` if this host does not lead, or does not replicate to that incarnation.
    pub(super) fn record_reply(
        &mut self,
        from: HostId,
        incarnation: u64,
        sent_at: Millis,
    ) -> Option<&mut Progress> {
        if self.role != Role::Leader {
            return None;
        }
        let progress = self.progress.get_mut(&from)?;
        if progress.incarnation != incarnation {
            return None;
        }
        progress.has_replied = true;
        progress.acked_sent_at = progress.acked_sent_at.max(sent_at);
        Some(progress)
    }

    /// Commits the newest entry of this term that a majority of the voters has stored.
    pub(super) fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let mut stored: Vec<u64> =
            self.voters().iter().map(|voter| self.stored_index(*voter)).collect();
        stored.sort_unstable();
        let Some(&index) = stored.get(stored.len().saturating_sub(1) / 2) else { return };
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_index = index;
        }
    }

    /// Returns the index up to which a voter is known to have stored the log.
    pub(super) fn stored_index(&self, voter: Voter) -> u64 {
        if voter == self.local {
            return self.synced_index;
        }
        let Some(progress) = self.progress.get(&voter.host) else { return 0 };
        if progress.incarnation == voter.incarnation { progress.match_index } else { 0 }
    }

    /// Returns when the newest append that a majority has answered was sent.
    pub(super) fn majority_acked_at(&self, now: Millis) -> Option<Millis> {
        let voters = self.voters();
        let mut acked = Vec::with_capacity(voters.len());
        for voter in voters {
            if *voter == self.local {
                acked.push(now);
                continue;
            }
            let Some(progress) = self.progress.get(&voter.host) else { continue };
            if progress.has_replied && progress.incarnation == voter.incarnation {
                acked.push(progress.acked_sent_at);
            }
        }
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(voters.len() / 2).copied()
    }
}
