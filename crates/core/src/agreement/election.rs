//! Leader election: pre-vote, vote, leadership transfer, and stepping down.

use crate::agreement::{Command, GroupMessage, Outbox, Replica, Role, Voter};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The delay before each election that the leader of a term calls just after its restart. It is long
/// enough for the links to connect.
const REELECTION_DELAY: Millis = Millis(150);

impl Replica {
    /// Runs the timers that have expired at `now`.
    ///
    /// `jitter` is a random number that spreads the election timeouts.
    pub fn tick(&mut self, now: Now, jitter: u64, out: &mut Outbox) {
        self.started_at.get_or_insert(now.mono);
        if self.epoch == 0 || !self.is_voter() {
            self.tick_non_voter(now, out);
            return;
        }
        if self.role == Role::Leader {
            self.tick_leader(now, jitter, out);
            return;
        }
        if self.election_deadline == Millis(0) {
            self.reset_election_timer(now, jitter);
        }
        if now.mono < self.election_deadline {
            return;
        }
        self.reset_election_timer(now, jitter);
        self.recover_if_sole_survivor(now);
        if self.resigned || self.pending_recovery.is_some() {
            return;
        }
        self.start_pre_vote(now, out);
    }

    fn tick_leader(&mut self, now: Now, jitter: u64, out: &mut Outbox) {
        if !self.hears_majority(now) && !self.is_indispensable() {
            self.become_follower(None);
            self.reset_election_timer(now, jitter);
            return;
        }
        if now.mono >= self.next_heartbeat {
            self.heartbeat(now, out);
            self.expire_learners(now);
            self.remove_unhealthy_voter(now, out);
            self.resign_if_retired(out);
        }
    }

    /// Returns whether a majority of the voters has answered this leader within the election timeout.
    #[must_use]
    pub fn hears_majority(&self, now: Now) -> bool {
        let acked_at = self.majority_acked_at(now.mono).unwrap_or(self.leader_since);
        now.mono.since(acked_at.max(self.leader_since)) <= self.election_timeout
    }

    /// Returns whether no other leader can be elected without the vote of this one.
    ///
    /// Such a leader keeps its role without a lease. It has all that was ever committed, so it can
    /// still replace the voters that it misses; once it gave up its role, nobody could.
    fn is_indispensable(&self) -> bool {
        let voters = self.voters();
        let others = voters.iter().filter(|voter| **voter != self.local).count();
        let others_elect = others * 2 > voters.len();
        !others_elect && self.may_change_voters()
    }

    /// Sets the next election to between one and two election timeouts from now.
    ///
    /// A leader that has just restarted calls an election sooner: its followers have promised their
    /// votes to no other candidate, so they need not wait for its lease to end.
    pub(super) fn reset_election_timer(&mut self, now: Now, jitter: u64) {
        if self.term_leader == Some(self.local.host) && self.has_recently_restarted(now) {
            self.election_deadline = now.mono + REELECTION_DELAY;
            return;
        }
        let spread = jitter % self.election_timeout.0.max(1);
        self.election_deadline = now.mono + self.election_timeout + Millis(spread);
    }

    fn start_pre_vote(&mut self, now: Now, out: &mut Outbox) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.local.host);
        self.request_votes(self.term + 1, true, false, out);
        self.count_votes(now, out);
    }

    fn start_election(&mut self, now: Now, leadership_transfer: bool, out: &mut Outbox) {
        self.role = Role::Candidate;
        self.term += 1;
        self.term_leader = None;
        self.voted_for = Some(self.local.host);
        self.record_term(out);
        self.votes.clear();
        self.votes.insert(self.local.host);
        self.request_votes(self.term, false, leadership_transfer, out);
        self.count_votes(now, out);
    }

    fn request_votes(
        &self,
        term: u64,
        pre_vote: bool,
        leadership_transfer: bool,
        out: &mut Outbox,
    ) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.voters() {
            if voter.host == self.local.host {
                continue;
            }
            let message = GroupMessage::RequestVote {
                term,
                last_index,
                last_term,
                pre_vote,
                leadership_transfer,
            };
            out.after_sync.push((voter.host, message));
        }
    }

    /// Gives up the leadership and has the voter that lags least start an election at once.
    pub fn transfer_leadership(&mut self, out: &mut Outbox) {
        let was_leader = self.role == Role::Leader;
        self.resign();
        if !was_leader {
            return;
        }
        let may_lead = |voter: &&Voter| voter.host != self.local.host && !self.is_retired(**voter);
        let others = self.voters().iter().filter(may_lead);
        let target = others.max_by_key(|voter| self.stored_index(**voter)).map(|voter| voter.host);
        if let Some(host) = target {
            out.immediate.push((host, GroupMessage::TimeoutNow { term: self.term }));
        }
    }

    /// Starts an election without a pre-vote, because the leader of the term has given up its
    /// leadership.
    pub(super) fn handle_timeout_now(&mut self, now: Now, term: u64, out: &mut Outbox) {
        if term != self.term || !self.is_voter() || self.resigned || self.role == Role::Leader {
            return;
        }
        self.leader = None;
        self.start_election(now, true, out);
    }

    /// Answers a candidate.
    ///
    /// `request` is its term, whether this is a pre-vote, and whether the leader has transferred
    /// its leadership to it. `last` is the term and index of its last entry.
    pub(super) fn handle_request_vote(
        &mut self,
        now: Now,
        from: HostId,
        request: (u64, bool, bool),
        last: (u64, u64),
        out: &mut Outbox,
    ) {
        let (term, pre_vote, leadership_transfer) = request;
        // If the leader of the current term requests votes, it no longer leads. Its own lease is
        // then no reason to refuse it a vote.
        let from_old_leader = self.term_leader == Some(from);
        if !self.is_voter()
            || (!leadership_transfer && !from_old_leader && self.has_live_leader(now))
        {
            return;
        }
        if !pre_vote && term > self.term {
            self.step_down(now, term, out);
        }
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let vote_available = pre_vote || self.voted_for.is_none_or(|host| host == from);
        let valid_term = if pre_vote { term > self.term } else { term == self.term };
        let granted = valid_term && vote_available && up_to_date;
        if granted && !pre_vote {
            self.voted_for = Some(from);
            self.record_term(out);
            self.election_deadline = now.mono + self.election_timeout + self.election_timeout;
        }
        let term = if granted { term } else { self.term };
        out.after_sync.push((from, GroupMessage::VoteReply { term, granted, pre_vote }));
    }

    /// Returns whether a leader may still hold its lease, so that no other may be elected.
    fn has_live_leader(&self, now: Now) -> bool {
        if self.role == Role::Leader {
            return self.holds_lease(now);
        }
        let Some(last_seen) = self.leader_last_seen else {
            return self.has_recently_restarted(now);
        };
        now.mono.since(last_seen) < self.election_timeout
    }

    /// Returns whether a leader that this replica followed before its restart could still hold its
    /// lease.
    fn has_recently_restarted(&self, now: Now) -> bool {
        let Some(started_at) = self.started_at else { return true };
        self.term > 0 && now.mono.since(started_at) < self.election_timeout
    }

    /// Counts the answer of a voter.
    ///
    /// `reply` is its term, whether the vote is granted, and whether it answers a pre-vote.
    pub(super) fn handle_vote_reply(
        &mut self,
        now: Now,
        from: HostId,
        reply: (u64, bool, bool),
        out: &mut Outbox,
    ) {
        let (term, granted, pre_vote) = reply;
        if !granted {
            if term > self.term {
                self.step_down(now, term, out);
            }
            return;
        }
        let expected = match self.role {
            Role::PreCandidate => pre_vote && term == self.term + 1,
            Role::Candidate => !pre_vote && term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if !expected {
            return;
        }
        self.votes.insert(from);
        self.count_votes(now, out);
    }

    fn count_votes(&mut self, now: Now, out: &mut Outbox) {
        let voters = self.voters();
        let granted = voters.iter().filter(|voter| self.votes.contains(&voter.host)).count();
        if granted * 2 <= voters.len() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now, false, out),
            Role::Candidate => self.become_leader(now, out),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, now: Now, out: &mut Outbox) {
        self.role = Role::Leader;
        self.leader = Some(self.local.host);
        self.leader_since = now.mono;
        self.term_leader = Some(self.local.host);
        self.record_term(out);
        let next_index = self.log.last_index() + 1;
        self.progress.clear();
        for voter in self.voters().to_vec() {
            let incarnation = voter.incarnation;
            let progress =
                super::replica::Progress { next_index, incarnation, ..Default::default() };
            self.progress.insert(voter.host, progress);
        }
        self.append_command(Command::Noop, out);
        self.heartbeat(now, out);
    }

    /// Follows the sender of entries or a snapshot as the leader. Returns false, and changes
    /// nothing, if its term is out of date.
    pub(super) fn accept_leader(
        &mut self,
        now: Now,
        from: HostId,
        term: u64,
        out: &mut Outbox,
    ) -> bool {
        if term < self.term {
            return false;
        }
        if term > self.term {
            self.step_down(now, term, out);
        }
        self.become_follower(Some(from));
        self.leader_last_seen = Some(now.mono);
        if self.term_leader != Some(from) {
            self.term_leader = Some(from);
            self.record_term(out);
        }
        // The spread depends on the host id, so that followers do not time out all at once.
        let spread = Millis(u64::from(self.local.host.0) * 37 % self.election_timeout.0.max(1));
        self.election_deadline = now.mono + self.election_timeout + spread;
        true
    }

    /// Adopts a newer term as a follower that has not voted in it.
    pub(super) fn step_down(&mut self, now: Now, term: u64, out: &mut Outbox) {
        self.term = term;
        self.voted_for = None;
        self.term_leader = None;
        self.record_term(out);
        if self.role == Role::Leader {
            self.election_deadline = now.mono + self.election_timeout;
        }
        self.become_follower(None);
    }

    fn become_follower(&mut self, leader: Option<HostId>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.outgoing = None;
        self.votes.clear();
    }
}
