//! Elections: pre-vote, vote, and stepping down.

use crate::agreement::{Command, GroupMessage, Outbox, Replica, Role};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The time between two elections that a leader calls after its restart: links are up within it.
const STAND_AGAIN: Millis = Millis(150);

impl Replica {
    /// Does what is due at `now`; `jitter` is a random number that spreads the elections.
    pub fn tick(&mut self, now: Now, jitter: u64, out: &mut Outbox) {
        self.started.get_or_insert(now.mono);
        if self.epoch == 0 || !self.is_voter() {
            self.tick_blank(now, out);
            return;
        }
        if self.role == Role::Leader {
            self.tick_leader(now, jitter, out);
            return;
        }
        if self.election_at == Millis(0) {
            self.put_off_election(now, jitter);
        }
        if now.mono < self.election_at {
            return;
        }
        self.put_off_election(now, jitter);
        self.tick_reform(now);
        if self.resigned || self.reform.is_some() {
            return;
        }
        self.start_pre_vote(now, out);
    }

    fn tick_leader(&mut self, now: Now, jitter: u64, out: &mut Outbox) {
        let heard = self.majority_heard(now.mono).unwrap_or(self.led_since);
        if now.mono.since(heard.max(self.led_since)) > self.election {
            self.become_follower(None);
            self.put_off_election(now, jitter);
            return;
        }
        if now.mono >= self.append_at {
            self.heartbeat(now, out);
            self.forget_learners(now);
            self.prune_voters(now, out);
            self.resign_if_retired();
        }
    }

    /// Sets the next election to between one and two election times from now.
    ///
    /// A leader that has just restarted stands soon: those that followed it promised their votes to
    /// no other, so they need not wait for its lease to end.
    pub(super) fn put_off_election(&mut self, now: Now, jitter: u64) {
        if self.term_leader == Some(self.me.host) && self.restarted_lately(now) {
            self.election_at = now.mono + STAND_AGAIN;
            return;
        }
        let spread = jitter % self.election.0.max(1);
        self.election_at = now.mono + self.election + Millis(spread);
    }

    fn start_pre_vote(&mut self, now: Now, out: &mut Outbox) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.me.host);
        self.ask_votes(self.term + 1, true, false, out);
        self.count_votes(now, out);
    }

    fn start_vote(&mut self, now: Now, leadership_transfer: bool, out: &mut Outbox) {
        self.role = Role::Candidate;
        self.term += 1;
        self.term_leader = None;
        self.voted_for = Some(self.me.host);
        self.write_term(out);
        self.votes.clear();
        self.votes.insert(self.me.host);
        self.ask_votes(self.term, false, leadership_transfer, out);
        self.count_votes(now, out);
    }

    fn ask_votes(&self, term: u64, pre_vote: bool, leadership_transfer: bool, out: &mut Outbox) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.voters() {
            if voter.host == self.me.host {
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

    /// Gives up the lead and lets the voter that lags least stand at once.
    pub fn transfer_leadership(&mut self, out: &mut Outbox) {
        let was_leader = self.role == Role::Leader;
        self.resign();
        if !was_leader {
            return;
        }
        let others = self.voters().iter().filter(|voter| voter.host != self.me.host);
        let best = others.max_by_key(|voter| self.held_by(**voter)).map(|voter| voter.host);
        if let Some(host) = best {
            out.immediate.push((host, GroupMessage::TimeoutNow { term: self.term }));
        }
    }

    /// Stands for the lead that the leader of a term has given up.
    pub(super) fn on_hand_over(&mut self, now: Now, term: u64, out: &mut Outbox) {
        if term != self.term || !self.is_voter() || self.resigned || self.role == Role::Leader {
            return;
        }
        self.leader = None;
        self.start_vote(now, true, out);
    }

    /// Answers a candidate: `ask` is its term, whether it only asks, and whether the leader has
    /// handed over to it; `last` the term and index of its last entry.
    pub(super) fn on_vote(
        &mut self,
        now: Now,
        from: HostId,
        ask: (u64, bool, bool),
        last: (u64, u64),
        out: &mut Outbox,
    ) {
        let (term, pre_vote, leadership_transfer) = ask;
        // The leader that this host follows does not lead any more where it asks for votes itself.
        let stands_again = self.term_leader == Some(from);
        if !self.is_voter() || (!leadership_transfer && !stands_again && self.leader_is_fresh(now))
        {
            return;
        }
        if !pre_vote && term > self.term {
            self.step_down(now, term, out);
        }
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let free = pre_vote || self.voted_for.is_none_or(|host| host == from);
        let current = if pre_vote { term > self.term } else { term == self.term };
        let granted = current && free && up_to_date;
        if granted && !pre_vote {
            self.voted_for = Some(from);
            self.write_term(out);
            self.election_at = now.mono + self.election + self.election;
        }
        let term = if granted { term } else { self.term };
        out.after_sync.push((from, GroupMessage::VoteReply { term, granted, pre_vote }));
    }

    /// Tells whether a leader was heard so lately that no other may be elected.
    fn leader_is_fresh(&self, now: Now) -> bool {
        if self.role == Role::Leader {
            return self.holds_lease(now);
        }
        let Some(heard) = self.leader_heard else {
            return self.restarted_lately(now);
        };
        now.mono.since(heard) < self.election
    }

    /// Tells whether a leader heard before a restart could still hold its lease.
    fn restarted_lately(&self, now: Now) -> bool {
        let Some(started) = self.started else { return true };
        self.term > 0 && now.mono.since(started) < self.election
    }

    /// Counts an answer: `reply` is its term, whether it grants, and whether it is a pre-vote.
    pub(super) fn on_vote_reply(
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
        let wanted = match self.role {
            Role::PreCandidate => pre_vote && term == self.term + 1,
            Role::Candidate => !pre_vote && term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if !wanted {
            return;
        }
        self.votes.insert(from);
        self.count_votes(now, out);
    }

    fn count_votes(&mut self, now: Now, out: &mut Outbox) {
        let voters = self.voters();
        let won = voters.iter().filter(|voter| self.votes.contains(&voter.host)).count();
        if won * 2 <= voters.len() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_vote(now, false, out),
            Role::Candidate => self.lead(now, out),
            Role::Follower | Role::Leader => {}
        }
    }

    fn lead(&mut self, now: Now, out: &mut Outbox) {
        self.role = Role::Leader;
        self.leader = Some(self.me.host);
        self.led_since = now.mono;
        self.term_leader = Some(self.me.host);
        self.write_term(out);
        let next = self.log.last_index() + 1;
        self.progress.clear();
        for voter in self.voters().to_vec() {
            let incarnation = voter.incarnation;
            let progress = super::replica::Progress { next, incarnation, ..Default::default() };
            self.progress.insert(voter.host, progress);
        }
        self.append_own(Command::Noop, out);
        self.heartbeat(now, out);
    }

    /// Follows the sender of an append where its term allows it.
    pub(super) fn follow(&mut self, now: Now, from: HostId, term: u64, out: &mut Outbox) -> bool {
        if term < self.term {
            return false;
        }
        if term > self.term {
            self.step_down(now, term, out);
        }
        self.become_follower(Some(from));
        self.leader_heard = Some(now.mono);
        if self.term_leader != Some(from) {
            self.term_leader = Some(from);
            self.write_term(out);
        }
        let spread = Millis(u64::from(self.me.host.0) * 37 % self.election.0.max(1));
        self.election_at = now.mono + self.election + spread;
        true
    }

    /// Takes a newer term, without a vote in it.
    pub(super) fn step_down(&mut self, now: Now, term: u64, out: &mut Outbox) {
        self.term = term;
        self.voted_for = None;
        self.term_leader = None;
        self.write_term(out);
        if self.role == Role::Leader {
            self.election_at = now.mono + self.election;
        }
        self.become_follower(None);
    }

    fn become_follower(&mut self, leader: Option<HostId>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
    }
}
