//! Replication: appends, their answers, commits and snapshots.

use crate::agreement::{Entry, GroupMessage, Log, Outbox, Record, Replica, Role, Snapshot, Voter};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The most entries in one append.
const ENTRIES_PER_APPEND: usize = 64;

/// Heartbeats of a leader in one shortest election time; its lease outlasts one lost heartbeat.
const HEARTBEATS_PER_ELECTION: u64 = 3;

/// The most bytes of entries in one append, unless its first entry is longer: an append must not
/// keep a link busy for so long that heartbeats behind it come late.
const BYTES_PER_APPEND: usize = 128 * 1024;

/// The time after which an unanswered append is sent again. Links lose messages only where they
/// break, so this is longer than a long append takes.
const RESEND_AFTER: Millis = Millis(1_000);

/// Returns the entries of one append.
fn entries_to_send(log: &Log, next: u64) -> Vec<Entry> {
    let (mut entries, mut bytes) = (Vec::new(), 0);
    for entry in log.from(next, ENTRIES_PER_APPEND) {
        bytes += entry.bytes();
        if !entries.is_empty() && bytes > BYTES_PER_APPEND {
            break;
        }
        entries.push(entry.clone());
    }
    entries
}

impl Replica {
    /// Sends entries, or nothing but the commit index, to every other replica.
    pub(super) fn heartbeat(&mut self, now: Now, out: &mut Outbox) {
        self.append_at = now.mono + Millis(self.election.0 / HEARTBEATS_PER_ELECTION);
        let peers: Vec<HostId> = self.progress.keys().copied().collect();
        for host in peers {
            self.send_append(now, host, true, out);
        }
        self.advance_commit();
    }

    /// Sends new entries to every replica that is not busy with the last ones.
    pub(super) fn send_appends(&mut self, now: Now, out: &mut Outbox) {
        let peers: Vec<HostId> = self.progress.keys().copied().collect();
        for host in peers {
            self.send_append(now, host, false, out);
        }
        self.advance_commit();
    }

    fn send_append(&mut self, now: Now, host: HostId, even_empty: bool, out: &mut Outbox) {
        if host == self.me.host {
            return;
        }
        let Some(progress) = self.progress.get_mut(&host) else { return };
        let waiting = progress.in_flight && now.mono.since(progress.sent_at) < RESEND_AFTER;
        let nothing_new = progress.next > self.log.last_index();
        if !even_empty && (waiting || nothing_new) {
            return;
        }
        let prev_index = progress.next.saturating_sub(1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            progress.in_flight = true;
            progress.sent_up_to = self.log.base_index();
            progress.sent_at = now.mono;
            self.snapshot_targets.insert(host);
            return;
        };
        let entries = if waiting { Vec::new() } else { entries_to_send(&self.log, progress.next) };
        if let Some(last) = entries.last() {
            progress.in_flight = true;
            progress.sent_up_to = last.index;
            progress.sent_at = now.mono;
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
    }

    /// Returns the hosts that lag behind the log and need the state sent whole.
    #[must_use]
    pub fn take_snapshot_targets(&mut self) -> Vec<HostId> {
        std::mem::take(&mut self.snapshot_targets).into_iter().collect()
    }

    /// Sends the state whole to a replica that lags behind the log.
    pub fn send_snapshot(&mut self, now: Now, host: HostId, state: Snapshot, out: &mut Outbox) {
        let (term, sent_at) = (self.term, now.mono);
        out.immediate
            .push((host, GroupMessage::InstallSnapshot { term, snapshot: state, sent_at }));
    }

    /// Tells a leader of an earlier term so; this extends no lease.
    pub(super) fn refuse_append(&mut self, from: HostId, out: &mut Outbox) {
        self.reply_append(from, false, self.log.last_index(), Millis(0), out);
    }

    fn reply_append(
        &self,
        to: HostId,
        accepted: bool,
        match_index: u64,
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        let (term, incarnation) = (self.term, self.me.incarnation);
        let reply = GroupMessage::AppendReply { term, incarnation, accepted, match_index, sent_at };
        out.after_sync.push((to, reply));
    }

    /// Takes in entries behind `previous`, an index and its term.
    pub(super) fn on_append(
        &mut self,
        from: HostId,
        previous: (u64, u64),
        entries: Vec<Entry>,
        leader_commit: u64,
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        let (prev_index, prev_term) = previous;
        self.leader_commit = leader_commit;
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
            self.take_entry(entry, out);
        }
        self.commit_index = self.commit_index.max(leader_commit.min(match_index));
        self.reply_append(from, true, match_index, sent_at, out);
    }

    fn take_entry(&mut self, entry: Entry, out: &mut Outbox) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index, out),
            None => {}
        }
        self.write_entry(entry, out);
    }

    fn truncate(&mut self, index: u64, out: &mut Outbox) {
        self.log.truncate(index);
        self.synced_index = self.synced_index.min(self.log.last_index());
        if self.durable {
            out.records.push(Record::Truncate { group: self.group, index });
        }
    }

    /// Takes in the whole state.
    pub(super) fn on_install(
        &mut self,
        from: HostId,
        snapshot: Snapshot,
        sent_at: Millis,
        out: &mut Outbox,
    ) {
        if snapshot.index > self.commit_index {
            self.log.reset(snapshot.index, snapshot.term);
            self.base_voters.clone_from(&snapshot.voters);
            self.commit_index = snapshot.index;
            self.applied_index = snapshot.index;
            self.synced_index = snapshot.index;
            self.installed = Some(snapshot.state.clone());
            if self.durable {
                out.records.push(Record::Snapshot { group: self.group, snapshot });
            }
        }
        self.reply_append(from, true, self.commit_index, sent_at, out);
    }

    /// Takes in an answer: `reply` is whether the entries fitted and the index that matches.
    pub(super) fn on_append_reply(
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
        if self.role != Role::Leader {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else { return };
        if progress.incarnation != incarnation {
            return;
        }
        progress.heard = true;
        // A heartbeat's answer says nothing of the entries that are still on their way.
        if !accepted || match_index >= progress.sent_up_to {
            progress.in_flight = false;
        }
        progress.acked_sent_at = progress.acked_sent_at.max(sent_at);
        if accepted {
            progress.match_index = progress.match_index.max(match_index.min(last));
            progress.next = progress.next.max(progress.match_index + 1);
        } else {
            progress.next = (match_index + 1).min(progress.next.saturating_sub(1)).max(1);
        }
        self.advance_commit();
        self.send_append(now, from, false, out);
    }

    /// Commits the newest entry of this term that a majority of the voters holds.
    pub(super) fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let mut held: Vec<u64> = self.voters().iter().map(|voter| self.held_by(*voter)).collect();
        held.sort_unstable();
        let Some(&index) = held.get(held.len().saturating_sub(1) / 2) else { return };
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_index = index;
        }
    }

    pub(super) fn held_by(&self, voter: Voter) -> u64 {
        if voter == self.me {
            return self.synced_index;
        }
        let Some(progress) = self.progress.get(&voter.host) else { return 0 };
        if progress.incarnation == voter.incarnation { progress.match_index } else { 0 }
    }

    /// Returns the latest time at which a heartbeat left that a majority has answered.
    pub(super) fn majority_heard(&self, now: Millis) -> Option<Millis> {
        let voters = self.voters();
        let mut heard = Vec::with_capacity(voters.len());
        for voter in voters {
            if *voter == self.me {
                heard.push(now);
                continue;
            }
            let Some(progress) = self.progress.get(&voter.host) else { continue };
            if progress.heard && progress.incarnation == voter.incarnation {
                heard.push(progress.acked_sent_at);
            }
        }
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(voters.len() / 2).copied()
    }
}
