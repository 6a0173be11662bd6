//! Who votes in a group whose hosts are not listed beforehand.
//!
//! Hosts that are not voters say hello; the leader replicates to them as learners. A learner that
//! has caught up becomes a voter where too few healthy ones are left, and afterwards a voter that
//! is retired or silent leaves the set: one change at a time, and the new voter comes first.

use std::collections::BTreeMap;

use crate::agreement::{Command, Outbox, Replica, Role, Voter};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// How long the leader goes on replicating to a learner that no longer answers.
const LEARNER_KEPT: Millis = Millis(30_000);

/// How many entries a learner may lag behind when it becomes a voter. In a busy group it always
/// lags by what is committed in a round trip.
const LEARNER_LAG: u64 = 32;

/// How the voter set of an open group is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// The voters wanted: twice the hosts that may be lost at once, and one.
    pub target_voters: usize,
    /// How long a voter may be silent before a learner takes its place.
    pub replace_after: Millis,
    /// Whether this host may form the group: the deployment starts for the first time.
    pub may_bootstrap: bool,
}

impl Replica {
    /// Opens the group to hosts that are not listed beforehand; the default is a closed group.
    #[must_use]
    pub fn with_membership_policy(mut self, plan: MembershipPolicy) -> Self {
        self.plan = Some(plan);
        self
    }

    /// Sets how many entries the log keeps behind its snapshot; the default is 512.
    #[must_use]
    pub fn snapshot_interval(mut self, entries: u64) -> Self {
        self.snapshot_interval = entries;
        self
    }

    /// Adds a host to which this replica says hello while it is not a voter.
    pub fn add_member(&mut self, host: HostId) {
        if !self.members.contains(&host) {
            self.members.push(host);
        }
    }

    /// Sets the hosts that may not vote any more, with their incarnations.
    pub fn set_retired(&mut self, hosts: &BTreeMap<HostId, u64>) {
        self.retired.clone_from(hosts);
    }

    /// Returns since when this replica leads, where it does.
    #[must_use]
    pub fn leader_since(&self) -> Option<Millis> {
        (self.role == Role::Leader).then_some(self.led_since)
    }

    /// Tells whether a leader was heard within the shortest election time, and this replica has
    /// applied all that was committed then.
    #[must_use]
    pub fn is_caught_up(&self, now: Now) -> bool {
        let heard = self.leader_heard.filter(|_| self.role == Role::Follower);
        let fresh = heard.is_some_and(|heard| now.mono.since(heard) < self.election);
        fresh && self.applied_index >= self.leader_commit
    }

    /// Tells whether a learner lags behind by so little that it would not hold commits up.
    fn nearly_caught_up(&self, host: HostId) -> bool {
        let Some(progress) = self.progress.get(&host) else { return false };
        progress.match_index + LEARNER_LAG >= self.commit_index && progress.match_index > 0
    }

    /// Tells whether no change of the voter set is on its way.
    #[must_use]
    pub fn is_voter_set_stable(&self) -> bool {
        let mut open = self.log.from(self.commit_index + 1, usize::MAX);
        !open.any(|entry| matches!(entry.command, Command::Voters(_)))
    }

    /// Returns the voters of an open group with a learner added, where it may become one.
    pub(super) fn with_learner(&self, now: Now, learner: Voter) -> Option<Vec<Voter>> {
        let plan = self.plan.as_ref()?;
        let mut voters = self.voters().to_vec();
        let healthy = voters.iter().filter(|voter| self.is_healthy(now, **voter)).count();
        if self.is_retired(learner)
            || healthy >= plan.target_voters
            || !self.nearly_caught_up(learner.host)
        {
            return None;
        }
        voters.push(learner);
        Some(voters)
    }

    /// Takes one voter out that is retired or silent, where enough others vote.
    pub(super) fn prune_voters(&mut self, now: Now, out: &mut Outbox) {
        let Some(plan) = &self.plan else { return };
        let target_voters = plan.target_voters;
        let voters = self.voters().to_vec();
        let healthy = voters.iter().filter(|voter| self.is_healthy(now, **voter)).count();
        let sick = voters.iter().position(|voter| !self.is_healthy(now, *voter));
        let Some(sick) = sick.filter(|_| healthy >= target_voters && voters.len() > target_voters)
        else {
            return;
        };
        if voters[sick] == self.me || !self.may_change_voters() {
            return;
        }
        let mut voters = voters;
        voters.remove(sick);
        self.append_own(Command::Voters(voters), out);
        self.send_appends(now, out);
    }

    /// Gives up the lead for good where this host is retired.
    pub(super) fn resign_if_retired(&mut self) {
        if self.role == Role::Leader && self.is_retired(self.me) {
            self.resign();
        }
    }

    /// Stops replicating to learners that have been silent for long.
    pub(super) fn forget_learners(&mut self, now: Now) {
        if self.plan.is_none() {
            return;
        }
        let voters = self.voters().to_vec();
        self.progress.retain(|host, progress| {
            let votes = voters.iter().any(|voter| voter.host == *host);
            votes || now.mono.since(progress.seen_at) < LEARNER_KEPT
        });
    }

    fn is_retired(&self, voter: Voter) -> bool {
        self.retired.get(&voter.host) == Some(&voter.incarnation)
    }

    /// Tells whether a voter may vote on and has answered lately, as this leader sees it.
    fn is_healthy(&self, now: Now, voter: Voter) -> bool {
        if self.is_retired(voter) {
            return false;
        }
        if voter == self.me {
            return true;
        }
        let Some(plan) = &self.plan else { return true };
        let Some(progress) = self.progress.get(&voter.host) else { return false };
        let same = progress.incarnation == voter.incarnation;
        let heard = progress.acked_sent_at.max(self.led_since);
        same && now.mono.since(heard) < plan.replace_after
    }
}
