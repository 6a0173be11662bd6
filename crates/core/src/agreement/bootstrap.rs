//! Bootstrap of a group, and the return of members that have lost their state.
//!
//! Only the initial member with the lowest id bootstraps a group, once it has a current join
//! request from every other initial member. The first voter set names incarnations, so a member
//! that loses its state afterwards can't vote under the incarnation that the set names.

use crate::agreement::{Command, GroupMessage, GroupState, Log, Outbox, Record, Replica, Voter};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The time between two join requests of a replica that is not a voter.
const JOIN_REQUEST_INTERVAL: Millis = Millis(250);

/// The time between two join requests to a leader that does not replicate to this host. It has all
/// the learners that it wants, so the requests only keep this host known as a replacement.
const SPARE_JOIN_REQUEST_INTERVAL: Millis = Millis(1_000);

/// One in this many join requests also goes to the initial members, as the known leader may be none
/// by now.
const JOIN_REQUESTS_PER_BROADCAST: u64 = 8;

/// How long a join request counts as evidence that its sender has no state.
const JOIN_REQUEST_LIFETIME: Millis = Millis(2_000);

/// The last join request of a host.
#[derive(Debug, Clone)]
pub(super) struct ReceivedJoinRequest {
    incarnation: u64,
    received_at: Millis,
    heard: Vec<Voter>,
}

impl ReceivedJoinRequest {
    fn is_current(&self, now: Now) -> bool {
        now.mono.since(self.received_at) <= JOIN_REQUEST_LIFETIME
    }
}

impl Replica {
    /// Bootstraps the group if this replica may, and sends join requests otherwise.
    pub(super) fn tick_non_voter(&mut self, now: Now, out: &mut Outbox) {
        if now.mono < self.next_join_request {
            return;
        }
        self.next_join_request = now.mono + self.join_request_interval(now);
        if self.epoch == 0 && self.may_bootstrap(now) {
            self.bootstrap(now, out);
            return;
        }
        let heard = if self.membership_policy.is_none() { self.joining(now) } else { Vec::new() };
        let message = GroupMessage::JoinRequest { incarnation: self.local.incarnation, heard };
        self.sent_join_requests += 1;
        let Some(leader) = self.join_target else {
            self.send_to_members(&message, out);
            return;
        };
        let mut targets = vec![leader];
        if self.sent_join_requests.is_multiple_of(JOIN_REQUESTS_PER_BROADCAST) {
            targets.extend(self.initial_members.iter().filter(|host| **host != leader));
        }
        for host in targets {
            if host != self.local.host {
                out.after_sync.push((host, message.clone()));
            }
        }
    }

    /// Returns the time until the next join request.
    fn join_request_interval(&self, now: Now) -> Millis {
        let is_replicated_to = self
            .leader_last_seen
            .is_some_and(|at| now.mono.since(at) < SPARE_JOIN_REQUEST_INTERVAL);
        if self.join_target.is_none() || is_replicated_to {
            JOIN_REQUEST_INTERVAL
        } else {
            SPARE_JOIN_REQUEST_INTERVAL
        }
    }

    /// Sets the host that leads an open group, as this host knows it from elsewhere. Join requests go
    /// to it instead of every known member; the default is `None`.
    pub fn set_join_target(&mut self, leader: Option<HostId>) {
        self.join_target = leader;
    }

    /// Returns the hosts with current join requests, with their incarnations.
    fn joining(&self, now: Now) -> Vec<Voter> {
        let current = self.join_requests.iter().filter(|(_, request)| request.is_current(now));
        current.map(|(host, request)| Voter::new(*host, request.incarnation)).collect()
    }

    fn send_to_members(&self, message: &GroupMessage, out: &mut Outbox) {
        for &host in &self.members {
            if host == self.local.host {
                continue;
            }
            out.after_sync.push((host, message.clone()));
        }
    }

    fn may_bootstrap(&self, now: Now) -> bool {
        let allowed = self.membership_policy.as_ref().is_none_or(|policy| policy.may_bootstrap);
        if !allowed || self.initial_members.first() != Some(&self.local.host) {
            return false;
        }
        self.initial_members
            .iter()
            .all(|host| *host == self.local.host || self.has_current_join_request(*host, now))
    }

    fn has_current_join_request(&self, host: HostId, now: Now) -> bool {
        self.join_requests.get(&host).is_some_and(|request| request.is_current(now))
    }

    fn bootstrap(&mut self, now: Now, out: &mut Outbox) {
        const MILLIS_PER_SECOND: u64 = 1_000;
        let mut voters = vec![self.local];
        for (&host, request) in &self.join_requests {
            if !self.initial_members.contains(&host) {
                continue;
            }
            voters.push(Voter::new(host, request.incarnation));
        }
        voters.sort_unstable();
        let epoch = (now.wall.0 / MILLIS_PER_SECOND).max(1);
        self.adopt_epoch(epoch, voters.clone(), out);
        self.election_deadline = now.mono;
        self.send_to_members(&GroupMessage::Bootstrap { voters }, out);
    }

    pub(super) fn adopt_epoch(&mut self, epoch: u64, voters: Vec<Voter>, out: &mut Outbox) {
        self.epoch = epoch;
        self.initial_voters.clone_from(&voters);
        self.base_voters.clone_from(&voters);
        if self.durable {
            out.records.push(Record::Bootstrapped { group: self.group, epoch, voters });
        }
    }

    /// Recovers the group from this member's disk if no other member has any state left, as after
    /// a power failure of the whole zone.
    ///
    /// All entries of the log are treated as committed, since any of them may have been committed
    /// before the failure. The group gets a new epoch with this member as its only voter: the
    /// others hold nothing and could otherwise elect one of themselves. They are added again one by
    /// one when they have caught up.
    ///
    /// A host may have become a voter after its join request, by a leader that was lost later. So
    /// the request counts only if its sender had heard from the current incarnations of all others:
    /// no leader is left that could have made it a voter since.
    pub(super) fn recover_if_sole_survivor(&mut self, now: Now) {
        let is_only_durable = self.durable && self.durable_members == [self.local.host];
        let has_peers = self.epoch != 0 && self.members.len() > 1;
        if !is_only_durable || !has_peers || self.pending_recovery.is_some() {
            return;
        }
        let voters: Vec<Voter> = self.voters().to_vec();
        if voters == [self.local] {
            return;
        }
        let joining = self.joining(now);
        let all_join = self.members.len() == joining.len() + 1;
        if !all_join || joining.iter().any(|joiner| voters.contains(joiner)) {
            return;
        }
        let has_heard_all = |joiner: &Voter| {
            let heard = self.join_requests.get(&joiner.host).map(|request| &request.heard);
            let mut others = joining.iter().filter(|other| *other != joiner);
            others.all(|other| heard.is_some_and(|heard| heard.contains(other)))
        };
        if !joining.iter().all(has_heard_all) {
            return;
        }
        const MILLIS_PER_SECOND: u64 = 1_000;
        let epoch = (now.wall.0 / MILLIS_PER_SECOND).max(self.epoch + 1);
        self.commit_index = self.log.last_index();
        self.pending_recovery = Some((epoch, vec![self.local]));
    }

    /// Handles the join request of a member without state.
    ///
    /// Before the bootstrap the request is only stored. Afterwards a sender whose incarnation is in
    /// the first voter set is sent that set, and a leader admits the sender.
    pub(super) fn handle_join_request(
        &mut self,
        now: Now,
        from: HostId,
        incarnation: u64,
        heard: Vec<Voter>,
        out: &mut Outbox,
    ) {
        let request = ReceivedJoinRequest { incarnation, received_at: now.mono, heard };
        self.join_requests.insert(from, request);
        if self.epoch == 0 {
            return;
        }
        if self.initial_voters.contains(&Voter::new(from, incarnation)) {
            let message = GroupMessage::Bootstrap { voters: self.initial_voters.clone() };
            out.after_sync.push((from, message));
        }
        self.admit(now, from, incarnation, out);
    }

    /// Joins a group whose first voter set names the current incarnation of this host's state.
    pub(super) fn handle_bootstrap(&mut self, epoch: u64, voters: Vec<Voter>, out: &mut Outbox) {
        if self.epoch != 0 || !voters.contains(&self.local) {
            return;
        }
        self.adopt_epoch(epoch, voters, out);
    }

    /// Returns whether a message belongs to the epoch of this replica.
    ///
    /// A replica adopts the later epoch of a leader that sends it entries or a snapshot if it has an
    /// empty log, or has no disk and does not vote: then what it has is part of no quorum.
    pub(super) fn accepts_epoch(
        &mut self,
        epoch: u64,
        message: &GroupMessage,
        out: &mut Outbox,
    ) -> bool {
        if epoch == self.epoch {
            return epoch != 0;
        }
        let from_leader = matches!(
            message,
            GroupMessage::AppendEntries { .. }
                | GroupMessage::InstallSnapshot { .. }
                | GroupMessage::SnapshotPart { .. }
        );
        let is_empty = self.log.last_index() == 0;
        let may_adopt = is_empty || (!self.durable && !self.is_voter());
        if !from_leader || !may_adopt || epoch < self.epoch {
            return false;
        }
        if !is_empty {
            self.drop_state();
        }
        self.adopt_epoch(epoch, Vec::new(), out);
        true
    }

    /// Drops the log and the applied state of an earlier epoch.
    fn drop_state(&mut self) {
        self.log = Log::default();
        self.commit_index = 0;
        self.applied_index = 0;
        self.applied_bytes = 0;
        self.synced_index = 0;
        self.snapshot_index = 0;
        self.leader_commit = None;
        self.incoming = None;
        self.installed_state = Some(GroupState::empty(self.group));
    }

    /// Replicates to a host that has sent a join request, and appends the next change of the voter
    /// set that it needs to become a voter: its old incarnation is removed, or the new one is added
    /// when it has caught up.
    pub(super) fn admit(&mut self, now: Now, host: HostId, incarnation: u64, out: &mut Outbox) {
        if self.role != super::Role::Leader {
            return;
        }
        let is_voter = self.voters().iter().any(|voter| voter.host == host);
        if !is_voter && !self.accepts_learner(now, host) {
            return;
        }
        // A host that has fewer entries rejects the first append and names its last one.
        let next_index = self.log.last_index() + 1;
        let progress = self.progress.entry(host).or_default();
        if progress.incarnation != incarnation {
            *progress = super::replica::Progress { next_index, incarnation, ..Default::default() };
        }
        progress.last_join_request = now.mono;
        if !self.may_change_voters() {
            return;
        }
        let caught_up = self.progress.get(&host).is_some_and(|progress| {
            progress.match_index >= self.commit_index && progress.match_index > 0
        });
        let mut voters = self.voters().to_vec();
        let position = voters.iter().position(|voter| voter.host == host);
        match position {
            Some(i) if voters[i].incarnation == incarnation => return,
            Some(i) => {
                voters.remove(i);
            }
            None if self.membership_policy.is_some() => {
                let learner = Voter::new(host, incarnation);
                let Some(extended) = self.voters_with_learner(now, learner) else { return };
                voters = extended;
            }
            None if caught_up => voters.push(Voter::new(host, incarnation)),
            None => return,
        }
        voters.sort_unstable();
        self.append_command(Command::Voters(voters), out);
        self.send_appends(now, out);
    }

    /// Returns whether this leader may append a voter set: one change at a time, and only after an
    /// entry of its own term is committed.
    pub(super) fn may_change_voters(&self) -> bool {
        if self.role != super::Role::Leader || !self.has_committed_in_term() {
            return false;
        }
        self.is_voter_set_stable()
    }
}
