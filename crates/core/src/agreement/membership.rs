//! Membership of an open group, whose hosts are not listed in advance.
//!
//! Hosts that are not voters send join requests. The leader replicates to as many of them as it needs
//! for missing voters, and to a few more that stand ready, as learners. A learner that has caught up
//! becomes a voter when fewer healthy voters than the target are left.
//! Then a voter that is retired or silent is removed. The set changes by one voter at a time, and
//! the new voter is added before the old one is removed.

use std::collections::BTreeMap;

use crate::agreement::{Command, Outbox, Replica, Role, Voter};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// How long the leader replicates to a learner that sends no more join requests.
const LEARNER_TIMEOUT: Millis = Millis(30_000);

/// The most entries that a learner may lag behind when it becomes a voter. In a busy group it
/// always lags by what is committed in one round trip.
const MAX_LEARNER_LAG_ENTRIES: u64 = 32;

/// The rules for the voter set of an open group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// The number of voters: one more than twice the number of hosts that may fail at once.
    pub target_voters: usize,
    /// The number of learners that stand ready while no voter is missing.
    pub spare_learners: usize,
    /// How long a voter may be silent before a learner replaces it.
    pub replace_after: Millis,
    /// Whether this host may bootstrap the group; set only at the first start of a deployment.
    pub may_bootstrap: bool,
}

impl Replica {
    /// Opens the group to hosts that are not listed in advance; the default is a closed group.
    #[must_use]
    pub fn with_membership_policy(mut self, policy: MembershipPolicy) -> Self {
        self.membership_policy = Some(policy);
        self
    }

    /// Sets how many entries are applied between two snapshots; the default is 512.
    #[must_use]
    pub fn snapshot_interval(mut self, entries: u64) -> Self {
        self.snapshot_interval = entries;
        self
    }

    /// Sets how many bytes of entries are applied between two snapshots; the default is no limit.
    #[must_use]
    pub fn snapshot_bytes(mut self, bytes: usize) -> Self {
        self.snapshot_bytes = bytes;
        self
    }

    /// Sets how many bytes of entries stay in the log although a snapshot includes them, so that
    /// replicas that lag behind a little need no snapshot; the default is zero.
    #[must_use]
    pub fn log_tail_bytes(mut self, bytes: usize) -> Self {
        self.log_tail_bytes = bytes;
        self
    }

    /// Sets how many bytes of entries stay in the log at most for replicas that still need them; the
    /// default is zero.
    #[must_use]
    pub fn max_log_bytes(mut self, bytes: usize) -> Self {
        self.max_log_bytes = bytes;
        self
    }

    /// Adds a host to which this replica sends join requests while it is not a voter itself.
    pub fn add_member(&mut self, host: HostId) {
        if !self.members.contains(&host) {
            self.members.push(host);
        }
    }

    /// Sets the retired hosts, which may no longer vote, with their incarnations.
    pub fn set_retired(&mut self, hosts: &BTreeMap<HostId, u64>) {
        self.retired.clone_from(hosts);
    }

    /// Returns when this replica became the leader, on the monotonic clock, or `None` if it does
    /// not lead.
    #[must_use]
    pub fn leader_since(&self) -> Option<Millis> {
        (self.role == Role::Leader).then_some(self.leader_since)
    }

    /// Returns whether this follower has heard from its leader within the election timeout and has
    /// applied all entries that the leader's last append reported as committed.
    #[must_use]
    pub fn is_caught_up(&self, now: Now) -> bool {
        self.hears_leader(now)
            && self.leader_commit.is_some_and(|commit| self.applied_index >= commit)
    }

    /// Returns whether this follower has heard from its leader within the election timeout.
    #[must_use]
    pub fn hears_leader(&self, now: Now) -> bool {
        let last_seen = self.leader_last_seen.filter(|_| self.role == Role::Follower);
        last_seen.is_some_and(|at| now.mono.since(at) < self.election_timeout)
    }

    /// Returns whether a learner lags so little that it would not delay commits as a voter.
    fn is_nearly_caught_up(&self, host: HostId) -> bool {
        let Some(progress) = self.progress.get(&host) else { return false };
        progress.match_index + MAX_LEARNER_LAG_ENTRIES >= self.commit_index
            && progress.match_index > 0
    }

    /// Returns whether no change of the voter set is waiting to be committed.
    #[must_use]
    pub fn is_voter_set_stable(&self) -> bool {
        let mut uncommitted = self.log.entries_from(self.commit_index + 1, usize::MAX);
        !uncommitted.any(|entry| matches!(entry.command, Command::Voters(_)))
    }

    /// Returns whether the leader of an open group replicates to a host that is not a voter and that
    /// has sent a join request.
    pub(super) fn accepts_learner(&self, now: Now, host: HostId) -> bool {
        let Some(wanted) = self.wanted_learners(now) else { return true };
        self.progress.contains_key(&host) || self.live_learners(now).len() < wanted
    }

    /// Returns the number of learners to replicate to, or `None` in a closed group.
    fn wanted_learners(&self, now: Now) -> Option<usize> {
        let policy = self.membership_policy.as_ref()?;
        let voters = self.voters();
        let healthy = voters.iter().filter(|voter| self.is_healthy(now, **voter)).count();
        Some(policy.target_voters.saturating_sub(healthy) + policy.spare_learners)
    }

    /// Returns the hosts that are not voters and sent a join request a short time ago, by how far
    /// they have stored the log.
    fn live_learners(&self, now: Now) -> Vec<(u64, HostId)> {
        let Some(policy) = &self.membership_policy else { return Vec::new() };
        let voters = self.voters();
        let mut learners = Vec::new();
        for (host, progress) in &self.progress {
            let votes = voters.iter().any(|voter| voter.host == *host);
            let is_live = now.mono.since(progress.last_join_request) < policy.replace_after;
            if !votes && is_live {
                learners.push((progress.match_index, *host));
            }
        }
        learners.sort_unstable();
        learners
    }

    /// Returns the voters of an open group with a learner added, or `None` if it may not become a
    /// voter.
    pub(super) fn voters_with_learner(&self, now: Now, learner: Voter) -> Option<Vec<Voter>> {
        let policy = self.membership_policy.as_ref()?;
        let mut voters = self.voters().to_vec();
        let healthy = voters.iter().filter(|voter| self.is_healthy(now, **voter)).count();
        if self.is_retired(learner)
            || healthy >= policy.target_voters
            || !self.is_nearly_caught_up(learner.host)
        {
            return None;
        }
        voters.push(learner);
        Some(voters)
    }

    /// Removes one voter that is retired or silent, if enough healthy voters are left.
    pub(super) fn remove_unhealthy_voter(&mut self, now: Now, out: &mut Outbox) {
        let Some(policy) = &self.membership_policy else { return };
        let target_voters = policy.target_voters;
        let voters = self.voters().to_vec();
        let healthy = voters.iter().filter(|voter| self.is_healthy(now, **voter)).count();
        let unhealthy = voters.iter().position(|voter| !self.is_healthy(now, *voter));
        let Some(unhealthy) =
            unhealthy.filter(|_| healthy >= target_voters && voters.len() > target_voters)
        else {
            return;
        };
        if voters[unhealthy] == self.local || !self.may_change_voters() {
            return;
        }
        let mut voters = voters;
        voters.remove(unhealthy);
        self.append_command(Command::Voters(voters), out);
        self.send_appends(now, out);
    }

    /// Gives up the leadership for good if this host is retired, and has another voter elected at
    /// once: without a leader no item runs until an election timeout has passed.
    pub(super) fn resign_if_retired(&mut self, out: &mut Outbox) {
        if self.role == Role::Leader && self.is_retired(self.local) {
            self.transfer_leadership(out);
        }
    }

    /// Stops replicating to learners that have sent no join request within [`LEARNER_TIMEOUT`], and
    /// to those that are no longer wanted; those that have stored most stay.
    pub(super) fn expire_learners(&mut self, now: Now) {
        let Some(wanted) = self.wanted_learners(now) else { return };
        let learners = self.live_learners(now);
        for (_, host) in learners.iter().take(learners.len().saturating_sub(wanted)) {
            self.progress.remove(host);
        }
        let voters = self.voters().to_vec();
        self.progress.retain(|host, progress| {
            let votes = voters.iter().any(|voter| voter.host == *host);
            votes || now.mono.since(progress.last_join_request) < LEARNER_TIMEOUT
        });
    }

    pub(super) fn is_retired(&self, voter: Voter) -> bool {
        self.retired.get(&voter.host) == Some(&voter.incarnation)
    }

    /// Returns whether a voter is not retired and has answered this leader recently.
    fn is_healthy(&self, now: Now, voter: Voter) -> bool {
        if self.is_retired(voter) {
            return false;
        }
        if voter == self.local {
            return true;
        }
        let Some(policy) = &self.membership_policy else { return true };
        let Some(progress) = self.progress.get(&voter.host) else { return false };
        let same_incarnation = progress.incarnation == voter.incarnation;
        let last_acked = progress.acked_sent_at.max(self.leader_since);
        same_incarnation && now.mono.since(last_acked) < policy.replace_after
    }
}
