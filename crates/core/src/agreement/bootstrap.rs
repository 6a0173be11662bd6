//! How a group gets its first voter set.
//!
//! Only the member with the lowest number forms a group, once it has heard from every other member
//! that it is blank. The set names incarnations, so a member that loses its state afterwards can't
//! vote on the strength of it.

use crate::agreement::{Command, GroupMessage, Outbox, Record, Replica, Voter};
use crate::key::HostId;
use crate::time::{Millis, Now};

/// The time between two hellos of a replica that is not a voter.
const HELLO_EVERY: Millis = Millis(250);

/// How old the word of a blank member may be for the group to be formed on it.
const BLANK_VALID: Millis = Millis(2_000);

impl Replica {
    /// Says hello where this replica is not a voter, and forms the group where it may.
    pub(super) fn tick_blank(&mut self, now: Now, out: &mut Outbox) {
        if now.mono < self.hello_at {
            return;
        }
        self.hello_at = now.mono + HELLO_EVERY;
        if self.epoch == 0 && self.may_form(now) {
            self.form(now, out);
            return;
        }
        let message = GroupMessage::JoinRequest { incarnation: self.me.incarnation };
        self.send_members(&message, out);
    }

    fn send_members(&self, message: &GroupMessage, out: &mut Outbox) {
        for &host in &self.members {
            if host == self.me.host {
                continue;
            }
            out.after_sync.push((host, message.clone()));
        }
    }

    fn may_form(&self, now: Now) -> bool {
        let allowed = self.plan.as_ref().is_none_or(|plan| plan.may_bootstrap);
        if !allowed || self.founders.first() != Some(&self.me.host) {
            return false;
        }
        self.founders.iter().all(|host| *host == self.me.host || self.is_blank(*host, now))
    }

    fn is_blank(&self, host: HostId, now: Now) -> bool {
        let Some((_, heard)) = self.blanks.get(&host) else { return false };
        now.mono.since(*heard) <= BLANK_VALID
    }

    fn form(&mut self, now: Now, out: &mut Outbox) {
        const MILLIS_PER_SECOND: u64 = 1_000;
        let mut voters = vec![self.me];
        for (&host, &(incarnation, _)) in &self.blanks {
            if !self.founders.contains(&host) {
                continue;
            }
            voters.push(Voter::new(host, incarnation));
        }
        voters.sort_unstable();
        let epoch = (now.wall.0 / MILLIS_PER_SECOND).max(1);
        self.adopt(epoch, voters.clone(), out);
        self.election_at = now.mono;
        self.send_members(&GroupMessage::Bootstrap { voters }, out);
    }

    pub(super) fn adopt(&mut self, epoch: u64, voters: Vec<Voter>, out: &mut Outbox) {
        self.epoch = epoch;
        self.formed_with.clone_from(&voters);
        self.base_voters.clone_from(&voters);
        if self.durable {
            out.records.push(Record::Bootstrapped { group: self.group, epoch, voters });
        }
    }

    /// Takes the group over where this member's disk holds all that is left of its state: every
    /// other member has lost its memory, as after a loss of power in the whole zone.
    ///
    /// All entries of the log count as committed, since any of them may have been. The group gets
    /// a new formation number, and this member as its only voter: the others hold nothing and could
    /// elect one of themselves. They are let in again one by one when they have caught up.
    pub(super) fn tick_reform(&mut self, now: Now) {
        let alone_on_disk = self.durable && self.durable_members == [self.me.host];
        let formed = self.epoch != 0 && self.members.len() > 1;
        if !alone_on_disk || !formed || self.reform.is_some() {
            return;
        }
        let old: Vec<Voter> = self.voters().to_vec();
        if old == [self.me] {
            return;
        }
        let lost = |host: &HostId| {
            let Some((incarnation, heard)) = self.blanks.get(host) else { return false };
            let fresh = now.mono.since(*heard) <= BLANK_VALID;
            fresh && !old.contains(&Voter::new(*host, *incarnation))
        };
        if !self.members.iter().all(|host| *host == self.me.host || lost(host)) {
            return;
        }
        const MILLIS_PER_SECOND: u64 = 1_000;
        let epoch = (now.wall.0 / MILLIS_PER_SECOND).max(self.epoch + 1);
        self.commit_index = self.log.last_index();
        self.reform = Some((epoch, vec![self.me]));
    }

    /// Takes in that a member has no state: forms on it later, shows it in, or lets it in again.
    pub(super) fn on_blank(&mut self, now: Now, from: HostId, incarnation: u64, out: &mut Outbox) {
        self.blanks.insert(from, (incarnation, now.mono));
        if self.epoch == 0 {
            return;
        }
        if self.formed_with.contains(&Voter::new(from, incarnation)) {
            let message = GroupMessage::Bootstrap { voters: self.formed_with.clone() };
            out.after_sync.push((from, message));
        }
        self.admit(now, from, incarnation, out);
    }

    /// Joins a group whose first voter set names this life of this host.
    pub(super) fn on_form(&mut self, epoch: u64, voters: Vec<Voter>, out: &mut Outbox) {
        if self.epoch != 0 || !voters.contains(&self.me) {
            return;
        }
        self.adopt(epoch, voters, out);
    }

    /// Tells whether a message belongs to this replica's group, joining the group of a leader
    /// where this replica holds nothing yet.
    pub(super) fn fits(&mut self, epoch: u64, message: &GroupMessage, out: &mut Outbox) -> bool {
        if epoch == self.epoch {
            return epoch != 0;
        }
        let from_leader = matches!(
            message,
            GroupMessage::AppendEntries { .. } | GroupMessage::InstallSnapshot { .. }
        );
        if !from_leader || self.log.last_index() != 0 || epoch < self.epoch {
            return false;
        }
        self.adopt(epoch, Vec::new(), out);
        true
    }

    /// Lets a member in again that lost its state, one step of the voter set at a time.
    pub(super) fn admit(&mut self, now: Now, host: HostId, incarnation: u64, out: &mut Outbox) {
        if self.role != super::Role::Leader {
            return;
        }
        let progress = self.progress.entry(host).or_default();
        if progress.incarnation != incarnation {
            *progress = super::replica::Progress { next: 1, incarnation, ..Default::default() };
        }
        progress.seen_at = now.mono;
        if !self.may_change_voters() {
            return;
        }
        let caught_up = self.progress.get(&host).is_some_and(|progress| {
            progress.match_index >= self.commit_index && progress.match_index > 0
        });
        let mut voters = self.voters().to_vec();
        let old = voters.iter().position(|voter| voter.host == host);
        match old {
            Some(at) if voters[at].incarnation == incarnation => return,
            Some(at) => {
                voters.remove(at);
            }
            None if self.plan.is_some() => {
                let learner = Voter::new(host, incarnation);
                let Some(with) = self.with_learner(now, learner) else { return };
                voters = with;
            }
            None if caught_up => voters.push(Voter::new(host, incarnation)),
            None => return,
        }
        voters.sort_unstable();
        self.append_own(Command::Voters(voters), out);
        self.send_appends(now, out);
    }

    pub(super) fn may_change_voters(&self) -> bool {
        if self.role != super::Role::Leader || !self.term_committed() {
            return false;
        }
        self.is_voter_set_stable()
    }
}
