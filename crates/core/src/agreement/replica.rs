//! One host's replica of a group: its term, role, log and voter set.

use std::collections::{BTreeMap, BTreeSet};

use super::bootstrap::ReceivedJoinRequest;
use super::send_window::SendWindow;
use super::snapshot_transfer::{IncomingSnapshot, OutgoingSnapshot, TransferProgress};
use crate::agreement::{
    Command, Entry, GroupId, GroupState, Log, MembershipPolicy, Outbox, Record, Snapshot, Voter,
};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The number of entries that are applied between two snapshots unless the group sets another.
pub(super) const DEFAULT_SNAPSHOT_INTERVAL: u64 = 512;

/// The role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Replicates the entries of a leader.
    Follower,
    /// Asks with a pre-vote whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends and replicates entries.
    Leader,
}

/// The error of a proposal to a replica that is not the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLeader;

/// The leader's view of the replication to another replica.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    /// The next entry to send if none is in flight.
    pub(super) next_index: u64,
    /// The last entry that the replica is known to have stored.
    pub(super) match_index: u64,
    pub(super) incarnation: u64,
    /// When the newest append that the replica has answered was sent.
    pub(super) acked_sent_at: Millis,
    pub(super) has_replied: bool,
    /// The appends with entries that are not yet answered, by their last entries.
    pub(super) window: SendWindow,
    /// When entries were last sent again. Rejections of earlier appends count for nothing.
    pub(super) resent_at: Millis,
    pub(super) last_join_request: Millis,
    /// The transfer of a directory snapshot, where the replica needs one.
    pub(super) transfer: Option<TransferProgress>,
}

/// One host's replica of a group.
///
/// It performs no I/O: each call takes the time and adds its messages and records to an
/// [`Outbox`]. All times are on the monotonic clock unless they say otherwise.
#[derive(Debug)]
pub struct Replica {
    pub(super) group: GroupId,
    pub(super) local: Voter,
    pub(super) members: Vec<HostId>,
    pub(super) durable: bool,
    pub(super) election_timeout: Millis,
    pub(super) epoch: u64,
    pub(super) initial_voters: Vec<Voter>,
    /// The last join request of each host.
    pub(super) join_requests: BTreeMap<HostId, ReceivedJoinRequest>,
    pub(super) next_join_request: Millis,
    /// The host that join requests go to; `None` if it is not known.
    pub(super) join_target: Option<HostId>,
    pub(super) sent_join_requests: u64,
    pub(super) term: u64,
    pub(super) voted_for: Option<HostId>,
    /// The last known leader of `term`. Unlike `leader`, it is recorded on disk and is kept when
    /// that host stops leading.
    pub(super) term_leader: Option<HostId>,
    pub(super) log: Log,
    pub(super) base_voters: Vec<Voter>,
    pub(super) commit_index: u64,
    pub(super) applied_index: u64,
    pub(super) synced_index: u64,
    pub(super) role: Role,
    pub(super) leader: Option<HostId>,
    pub(super) leader_last_seen: Option<Millis>,
    pub(super) election_deadline: Millis,
    pub(super) votes: BTreeSet<HostId>,
    pub(super) progress: BTreeMap<HostId, Progress>,
    pub(super) next_heartbeat: Millis,
    pub(super) leader_since: Millis,
    pub(super) installed_state: Option<GroupState>,
    pub(super) snapshot_targets: BTreeSet<HostId>,
    pub(super) started_at: Option<Millis>,
    pub(super) resigned: bool,
    pub(super) durable_members: Vec<HostId>,
    /// The epoch and voter set that the next snapshot puts in force to recover the group.
    pub(super) pending_recovery: Option<(u64, Vec<Voter>)>,
    pub(super) initial_members: Vec<HostId>,
    pub(super) membership_policy: Option<MembershipPolicy>,
    pub(super) retired: BTreeMap<HostId, u64>,
    pub(super) snapshot_interval: u64,
    /// The number of bytes of applied entries after which the next snapshot is due.
    pub(super) snapshot_bytes: usize,
    /// The most bytes of entries that are kept in the log although a snapshot includes them.
    pub(super) log_tail_bytes: usize,
    /// The most bytes of entries that are kept for replicas that still need them.
    pub(super) max_log_bytes: usize,
    /// The index after which live replicas still need the entries; [`u64::MAX`] if none does.
    pub(super) needed_after: u64,
    /// The index of the last snapshot of this replica.
    pub(super) snapshot_index: u64,
    /// The bytes of the entries that were applied since that snapshot.
    pub(super) applied_bytes: usize,
    pub(super) outgoing: Option<OutgoingSnapshot>,
    pub(super) incoming: Option<IncomingSnapshot>,
    /// What the leader's last message reported as committed; `None` if that was a snapshot, which
    /// may be old.
    pub(super) leader_commit: Option<u64>,
}

impl Replica {
    /// Creates a replica without any state.
    ///
    /// `members` are the hosts of the first voter set. `durable` says whether entries count as
    /// stored only when their records are synced. `election_timeout` is the shortest time without
    /// a leader before an election.
    #[must_use]
    pub fn new(
        group: GroupId,
        local: Voter,
        members: impl Into<Vec<HostId>>,
        durable: bool,
        election_timeout: Millis,
    ) -> Self {
        let mut members = members.into();
        members.sort_unstable();
        let initial_members = members.clone();
        Self {
            group,
            local,
            members,
            durable,
            election_timeout,
            epoch: 0,
            initial_voters: Vec::new(),
            join_requests: BTreeMap::new(),
            next_join_request: Millis(0),
            join_target: None,
            sent_join_requests: 0,
            term: 0,
            voted_for: None,
            term_leader: None,
            log: Log::default(),
            base_voters: Vec::new(),
            commit_index: 0,
            applied_index: 0,
            synced_index: 0,
            role: Role::Follower,
            leader: None,
            leader_last_seen: None,
            election_deadline: Millis(0),
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            next_heartbeat: Millis(0),
            leader_since: Millis(0),
            installed_state: None,
            snapshot_targets: BTreeSet::new(),
            started_at: None,
            resigned: false,
            durable_members: Vec::new(),
            pending_recovery: None,
            initial_members,
            membership_policy: None,
            retired: BTreeMap::new(),
            snapshot_interval: DEFAULT_SNAPSHOT_INTERVAL,
            snapshot_bytes: usize::MAX,
            log_tail_bytes: 0,
            max_log_bytes: 0,
            needed_after: u64::MAX,
            snapshot_index: 0,
            applied_bytes: 0,
            outgoing: None,
            incoming: None,
            leader_commit: None,
        }
    }

    /// Sets the members that have a disk; the default is none.
    #[must_use]
    pub fn durable_members(mut self, hosts: impl Into<Vec<HostId>>) -> Self {
        self.durable_members = hosts.into();
        self
    }

    /// Restores one record from the disk. Records must come in the order in which they were written.
    pub fn restore(&mut self, record: Record) {
        match record {
            Record::Bootstrapped { epoch, voters, .. } => {
                self.epoch = epoch;
                self.initial_voters.clone_from(&voters);
                self.base_voters = voters;
            }
            Record::Term { term, voted_for, leader, .. } => {
                self.term = term;
                self.voted_for = voted_for;
                self.term_leader = leader;
            }
            Record::Entry { entry, .. } => self.restore_entry(entry),
            Record::Truncate { index, .. } => self.log.truncate(index),
            Record::Snapshot { snapshot, .. } => self.restore_snapshot(snapshot),
            Record::InForce { .. } => {}
        }
        self.synced_index = self.log.last_index();
    }

    /// Restores an entry. It replaces the entries from its index on: earlier versions recorded no
    /// truncation when they installed a snapshot.
    fn restore_entry(&mut self, entry: Entry) {
        let index = entry.index;
        if index <= self.log.base_index() || index > self.log.last_index() + 1 {
            return;
        }
        self.log.truncate(index);
        self.log.push(entry);
    }

    fn restore_snapshot(&mut self, snapshot: Snapshot) {
        self.log.continue_after(snapshot.index, snapshot.term);
        self.base_voters = snapshot.voters;
        self.commit_index = self.commit_index.max(snapshot.index);
        self.applied_index = snapshot.index;
        self.snapshot_index = snapshot.index;
        self.applied_bytes = 0;
        self.installed_state = Some(snapshot.state);
    }

    /// Returns the group.
    #[must_use]
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Returns the epoch, or zero until the group is bootstrapped.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader of the term, or `None` if it is unknown.
    #[must_use]
    pub fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// Returns the index of the last applied entry.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the index of the last entry that this replica knows to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the fencing token of this replica's term, which only grows.
    ///
    /// The epoch is taken from the wall clock, in seconds. So a group that is bootstrapped anew
    /// after all its members lost their state starts above every token issued before.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        const TERM_BITS: u32 = 20;
        (self.epoch << TERM_BITS) | self.term
    }

    /// Returns the voter set in force: the newest in the log, or else that of the snapshot.
    #[must_use]
    pub fn voters(&self) -> &[Voter] {
        self.log.newest_voters().unwrap_or(&self.base_voters)
    }

    /// Returns whether this host is a member of the group, as a voter or not.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.membership_policy.is_some() || self.members.contains(&self.local.host)
    }

    /// Returns whether the current incarnation of this host is a voter.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        self.voters().contains(&self.local)
    }

    /// Returns whether this replica holds the leader lease at `now`, so that it may act as the
    /// leader without a round trip.
    ///
    /// The lease starts when the newest heartbeat that a majority has answered was sent. It is
    /// shorter than the time for which those hosts refuse to elect another leader.
    #[must_use]
    pub fn holds_lease(&self, now: Now) -> bool {
        self.lease_end(now).is_some()
    }

    /// Returns when the lease of this replica ends, or `None` if it holds no lease at `now`.
    #[must_use]
    pub fn lease_end(&self, now: Now) -> Option<Millis> {
        if self.role != Role::Leader || !self.has_committed_in_term() {
            return None;
        }
        let end = self.majority_acked_at(now.mono)? + self.lease_duration();
        (now.mono < end).then_some(end)
    }

    /// Returns the duration of a lease: three quarters of the election timeout.
    #[must_use]
    pub fn lease_duration(&self) -> Millis {
        Millis(self.election_timeout.0 * 3 / 4)
    }

    /// Returns whether this replica has led for so long that the lease of any earlier leader has
    /// ended.
    #[must_use]
    pub fn prior_leases_expired(&self, now: Now) -> bool {
        self.role == Role::Leader && now.mono.since(self.leader_since) >= self.lease_duration()
    }

    /// Gives up the leadership and calls no further election.
    pub fn resign(&mut self) {
        self.resigned = true;
        if self.role == Role::Leader {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    /// Returns whether an entry of this leader is synced on at least one disk. Always true in a
    /// group without durable members.
    #[must_use]
    pub fn is_durable(&self, index: u64) -> bool {
        let voters =
            self.voters().iter().filter(|voter| self.durable_members.contains(&voter.host));
        self.durable_members.is_empty()
            || voters.map(|voter| self.stored_index(*voter)).any(|stored| stored >= index)
    }

    /// Returns whether an entry of this leader's own term is committed.
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.term)
    }

    /// Appends a command to the log, replicates it, and returns its index.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] if this replica does not lead.
    pub fn propose(
        &mut self,
        now: Now,
        command: Command,
        out: &mut Outbox,
    ) -> Result<u64, NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader);
        }
        let index = self.append_command(command, out);
        self.send_appends(now, out);
        Ok(index)
    }

    pub(super) fn append_command(&mut self, command: Command, out: &mut Outbox) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, command };
        self.store_entry(entry, out);
        index
    }

    pub(super) fn store_entry(&mut self, entry: Entry, out: &mut Outbox) {
        self.log.push(entry.clone());
        if self.durable {
            out.records.push(Record::Entry { group: self.group, entry });
        } else {
            self.synced_index = self.log.last_index();
        }
    }

    pub(super) fn record_term(&mut self, out: &mut Outbox) {
        if !self.durable {
            return;
        }
        let (group, term, voted_for) = (self.group, self.term, self.voted_for);
        out.records.push(Record::Term { group, term, voted_for, leader: self.term_leader });
    }

    /// Records that the log is synced up to `index`.
    pub fn mark_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.max(index.min(self.log.last_index()));
        self.advance_commit();
    }

    /// Returns the next committed entry and marks it as applied, or `None` if there is none.
    pub fn next_committed(&mut self) -> Option<Entry> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let entry = self.log.get(self.applied_index + 1)?.clone();
        self.applied_index += 1;
        self.applied_bytes += entry.bytes();
        Some(entry)
    }

    /// Removes and returns the state of an installed or restored snapshot, which replaces the
    /// applied state.
    pub fn take_installed_state(&mut self) -> Option<GroupState> {
        self.installed_state.take()
    }

    /// Returns whether enough entries have been applied for a snapshot, or a recovery needs one.
    #[must_use]
    pub fn is_snapshot_due(&self) -> bool {
        let recovering =
            self.pending_recovery.is_some() && self.applied_index == self.log.last_index();
        let entries = self.applied_index - self.snapshot_index;
        recovering
            || entries >= self.snapshot_interval
            || (entries > 0 && self.applied_bytes >= self.snapshot_bytes)
    }

    /// Returns the next time at which [`Replica::tick`] must be called.
    #[must_use]
    pub fn next_deadline(&self) -> Millis {
        if !self.is_member() {
            return Millis::MAX;
        }
        if self.epoch == 0 || !self.is_voter() {
            return self.next_join_request;
        }
        match self.role {
            Role::Leader => self.next_heartbeat,
            _ => self.election_deadline,
        }
    }
}
