//! One host's part in a group: its term, role, log and voter set.

use std::collections::{BTreeMap, BTreeSet};

use crate::agreement::{
    Command, Entry, GroupId, GroupState, Log, MembershipPolicy, Outbox, Record, Snapshot, Voter,
};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The most entries that the log keeps behind its snapshot before it takes a new one.
pub(super) const ENTRIES_PER_SNAPSHOT: u64 = 512;

/// What a replica is in its group at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes entries from a leader.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Writes entries.
    Leader,
}

/// Refuses a proposal: this replica is not the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLeader;

/// What a leader knows about another replica.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    pub(super) next: u64,
    pub(super) match_index: u64,
    pub(super) incarnation: u64,
    pub(super) acked_sent_at: Millis,
    pub(super) heard: bool,
    pub(super) in_flight: bool,
    pub(super) sent_up_to: u64,
    pub(super) sent_at: Millis,
    pub(super) seen_at: Millis,
}

/// One host's part in a group.
#[derive(Debug)]
pub struct Replica {
    pub(super) group: GroupId,
    pub(super) me: Voter,
    pub(super) members: Vec<HostId>,
    pub(super) durable: bool,
    pub(super) election: Millis,
    pub(super) epoch: u64,
    pub(super) formed_with: Vec<Voter>,
    pub(super) blanks: BTreeMap<HostId, (u64, Millis)>,
    pub(super) hello_at: Millis,
    pub(super) term: u64,
    pub(super) voted_for: Option<HostId>,
    pub(super) term_leader: Option<HostId>,
    pub(super) log: Log,
    pub(super) base_voters: Vec<Voter>,
    pub(super) commit_index: u64,
    pub(super) applied_index: u64,
    pub(super) synced_index: u64,
    pub(super) role: Role,
    pub(super) leader: Option<HostId>,
    pub(super) leader_heard: Option<Millis>,
    pub(super) election_at: Millis,
    pub(super) votes: BTreeSet<HostId>,
    pub(super) progress: BTreeMap<HostId, Progress>,
    pub(super) append_at: Millis,
    pub(super) led_since: Millis,
    pub(super) installed: Option<GroupState>,
    pub(super) snapshot_targets: BTreeSet<HostId>,
    pub(super) started: Option<Millis>,
    pub(super) resigned: bool,
    pub(super) durable_members: Vec<HostId>,
    pub(super) reform: Option<(u64, Vec<Voter>)>,
    pub(super) founders: Vec<HostId>,
    pub(super) plan: Option<MembershipPolicy>,
    pub(super) retired: BTreeMap<HostId, u64>,
    pub(super) snapshot_interval: u64,
    pub(super) leader_commit: u64,
}

impl Replica {
    /// Makes a replica without any state.
    ///
    /// `members` are the hosts that the first voter set is made of. `durable` says whether records
    /// count only when they are synced. `election` is the shortest wait before an election.
    #[must_use]
    pub fn new(
        group: GroupId,
        me: Voter,
        members: impl Into<Vec<HostId>>,
        durable: bool,
        election: Millis,
    ) -> Self {
        let mut members = members.into();
        members.sort_unstable();
        let founders = members.clone();
        Self {
            group,
            me,
            members,
            durable,
            election,
            epoch: 0,
            formed_with: Vec::new(),
            blanks: BTreeMap::new(),
            hello_at: Millis(0),
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
            leader_heard: None,
            election_at: Millis(0),
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            append_at: Millis(0),
            led_since: Millis(0),
            installed: None,
            snapshot_targets: BTreeSet::new(),
            started: None,
            resigned: false,
            durable_members: Vec::new(),
            reform: None,
            founders,
            plan: None,
            retired: BTreeMap::new(),
            snapshot_interval: ENTRIES_PER_SNAPSHOT,
            leader_commit: 0,
        }
    }

    /// Sets the members that have a disk; the default is none.
    #[must_use]
    pub fn durable_members(mut self, hosts: impl Into<Vec<HostId>>) -> Self {
        self.durable_members = hosts.into();
        self
    }

    /// Takes in one record from the disk; the records come in the order in which they were written.
    pub fn restore(&mut self, record: Record) {
        match record {
            Record::Bootstrapped { epoch, voters, .. } => {
                self.epoch = epoch;
                self.formed_with.clone_from(&voters);
                self.base_voters = voters;
            }
            Record::Term { term, voted_for, leader, .. } => {
                self.term = term;
                self.voted_for = voted_for;
                self.term_leader = leader;
            }
            Record::Entry { entry, .. } => {
                if entry.index == self.log.last_index() + 1 {
                    self.log.push(entry);
                }
            }
            Record::Truncate { index, .. } => self.log.truncate(index),
            Record::Snapshot { snapshot, .. } => self.restore_snapshot(snapshot),
            Record::InForce { .. } => {}
        }
        self.synced_index = self.log.last_index();
    }

    fn restore_snapshot(&mut self, snapshot: Snapshot) {
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.compact(snapshot.index);
        } else {
            self.log.reset(snapshot.index, snapshot.term);
        }
        self.base_voters = snapshot.voters;
        self.commit_index = self.commit_index.max(snapshot.index);
        self.applied_index = snapshot.index;
        self.installed = Some(snapshot.state);
    }

    /// Returns the group.
    #[must_use]
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Returns the formation number, or zero while the group is not formed.
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

    /// Returns the leader of the term, where it is known.
    #[must_use]
    pub fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// Returns the index up to which entries have been applied.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the index up to which entries are committed, as far as this replica knows.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the fencing number of this replica's term; it only grows.
    ///
    /// The formation number counts seconds of wall time, so a group that had to be formed anew
    /// after all its members lost their state starts above every number given before.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        const TERM_BITS: u32 = 20;
        (self.epoch << TERM_BITS) | self.term
    }

    /// Returns the voter set in force: the newest in the log, or the one under it.
    #[must_use]
    pub fn voters(&self) -> &[Voter] {
        for entry in self.log.newest_first() {
            let Command::Voters(voters) = &entry.command else { continue };
            return voters;
        }
        &self.base_voters
    }

    /// Tells whether this host belongs to the group at all.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.plan.is_some() || self.members.contains(&self.me.host)
    }

    /// Tells whether this host, in this life of its state, is a voter.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        self.voters().contains(&self.me)
    }

    /// Tells whether this replica leads and may act on it without asking anyone at `now`.
    ///
    /// The lease is counted from the moment a heartbeat left that a majority has answered. It is
    /// shorter than the time for which those hosts refuse to elect another leader.
    #[must_use]
    pub fn holds_lease(&self, now: Now) -> bool {
        self.lease_end(now).is_some()
    }

    /// Returns when the lease that this replica holds ends, on the monotonic clock.
    #[must_use]
    pub fn lease_end(&self, now: Now) -> Option<Millis> {
        if self.role != Role::Leader || !self.term_committed() {
            return None;
        }
        let end = self.majority_heard(now.mono)? + self.lease_duration();
        (now.mono < end).then_some(end)
    }

    /// Returns how long the lease lasts: three quarters of the shortest election time.
    #[must_use]
    pub fn lease_duration(&self) -> Millis {
        Millis(self.election.0 * 3 / 4)
    }

    /// Tells whether this replica has led for as long as an earlier leader's lease can last.
    #[must_use]
    pub fn prior_leases_expired(&self, now: Now) -> bool {
        self.role == Role::Leader && now.mono.since(self.led_since) >= self.lease_duration()
    }

    /// Gives up the lead and stands in no further election.
    pub fn resign(&mut self) {
        self.resigned = true;
        if self.role == Role::Leader {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    /// Tells whether an entry that this leader wrote is synced on a disk, where any member has one.
    #[must_use]
    pub fn is_durable(&self, index: u64) -> bool {
        let voters =
            self.voters().iter().filter(|voter| self.durable_members.contains(&voter.host));
        self.durable_members.is_empty()
            || voters.map(|voter| self.held_by(*voter)).any(|held| held >= index)
    }

    /// Tells whether an entry of this leader's own term is committed.
    pub(super) fn term_committed(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.term)
    }

    /// Writes a command to the log and returns its index.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] where this replica does not lead.
    pub fn propose(
        &mut self,
        now: Now,
        command: Command,
        out: &mut Outbox,
    ) -> Result<u64, NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader);
        }
        let index = self.append_own(command, out);
        self.send_appends(now, out);
        Ok(index)
    }

    pub(super) fn append_own(&mut self, command: Command, out: &mut Outbox) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, command };
        self.write_entry(entry, out);
        index
    }

    pub(super) fn write_entry(&mut self, entry: Entry, out: &mut Outbox) {
        self.log.push(entry.clone());
        if self.durable {
            out.records.push(Record::Entry { group: self.group, entry });
        } else {
            self.synced_index = self.log.last_index();
        }
    }

    pub(super) fn write_term(&mut self, out: &mut Outbox) {
        if !self.durable {
            return;
        }
        let (group, term, voted_for) = (self.group, self.term, self.voted_for);
        out.records.push(Record::Term { group, term, voted_for, leader: self.term_leader });
    }

    /// Takes in that every record up to `index` of the log is synced.
    pub fn mark_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.max(index.min(self.log.last_index()));
        self.advance_commit();
    }

    /// Removes and returns the next committed entry that has not been applied.
    pub fn next_committed(&mut self) -> Option<Entry> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let entry = self.log.get(self.applied_index + 1)?.clone();
        self.applied_index += 1;
        Some(entry)
    }

    /// Removes and returns a state that came as a snapshot and replaces the applied one.
    pub fn take_installed_state(&mut self) -> Option<GroupState> {
        self.installed.take()
    }

    /// Tells whether enough entries have been applied to take a snapshot.
    #[must_use]
    pub fn is_snapshot_due(&self) -> bool {
        let reforms = self.reform.is_some() && self.applied_index == self.log.last_index();
        reforms || self.applied_index - self.log.base_index() >= self.snapshot_interval
    }

    /// Takes the applied state as the new base of the log.
    pub fn take_snapshot(&mut self, state: GroupState, out: &mut Outbox) {
        let mut snapshot = self.build_snapshot(state);
        if let Some((epoch, voters)) = self.reform.take() {
            snapshot.voters.clone_from(&voters);
            self.adopt(epoch, voters, out);
        }
        self.base_voters.clone_from(&snapshot.voters);
        self.log.compact(snapshot.index);
        if self.durable {
            out.records.push(Record::Snapshot { group: self.group, snapshot });
        }
    }

    /// Returns the applied state with its place in the log.
    #[must_use]
    pub fn build_snapshot(&self, state: GroupState) -> Snapshot {
        let index = self.applied_index;
        let term = self.log.term_at(index).unwrap_or(0);
        Snapshot { index, term, voters: self.voters_at(index), state }
    }

    fn voters_at(&self, index: u64) -> Vec<Voter> {
        for entry in self.log.newest_first() {
            if entry.index > index {
                continue;
            }
            let Command::Voters(voters) = &entry.command else { continue };
            return voters.clone();
        }
        self.base_voters.clone()
    }

    /// Returns the next time at which [`Replica::tick`] has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Millis {
        if !self.is_member() {
            return Millis::MAX;
        }
        if self.epoch == 0 || !self.is_voter() {
            return self.hello_at;
        }
        match self.role {
            Role::Leader => self.append_at,
            _ => self.election_at,
        }
    }
}
