//! Messages of other replicas, and what each leads to.

use crate::agreement::{GroupMessage, Outbox, Replica};
use crate::key::HostId;
use crate::time::Now;

impl Replica {
    /// Takes in a message of this group.
    pub fn handle_message(
        &mut self,
        now: Now,
        from: HostId,
        epoch: u64,
        message: GroupMessage,
        out: &mut Outbox,
    ) {
        if self.plan.is_none() && !self.members.contains(&from) {
            return;
        }
        match message {
            GroupMessage::JoinRequest { incarnation } => self.on_blank(now, from, incarnation, out),
            GroupMessage::Bootstrap { voters } => self.on_form(epoch, voters, out),
            message if self.fits(epoch, &message, out) => {
                self.on_member_message(now, from, message, out);
            }
            _ => {}
        }
    }

    fn on_member_message(
        &mut self,
        now: Now,
        from: HostId,
        message: GroupMessage,
        out: &mut Outbox,
    ) {
        match message {
            GroupMessage::RequestVote {
                term,
                last_index,
                last_term,
                pre_vote,
                leadership_transfer,
            } => {
                let ask = (term, pre_vote, leadership_transfer);
                self.on_vote(now, from, ask, (last_term, last_index), out);
            }
            GroupMessage::TimeoutNow { term } => self.on_hand_over(now, term, out),
            GroupMessage::VoteReply { term, granted, pre_vote } => {
                self.on_vote_reply(now, from, (term, granted, pre_vote), out);
            }
            GroupMessage::AppendEntries {
                term,
                prev_index,
                prev_term,
                entries,
                leader_commit,
                sent_at,
            } => {
                if self.follow(now, from, term, out) {
                    let previous = (prev_index, prev_term);
                    self.on_append(from, previous, entries, leader_commit, sent_at, out);
                } else {
                    self.refuse_append(from, out);
                }
            }
            GroupMessage::InstallSnapshot { term, snapshot, sent_at } => {
                if self.follow(now, from, term, out) {
                    self.on_install(from, snapshot, sent_at, out);
                } else {
                    self.refuse_append(from, out);
                }
            }
            GroupMessage::AppendReply { term, incarnation, accepted, match_index, sent_at } => {
                if term > self.term {
                    self.step_down(now, term, out);
                    return;
                }
                // An answer to an earlier lead, perhaps of an earlier life with another clock.
                if term < self.term {
                    return;
                }
                self.on_append_reply(now, from, incarnation, (accepted, match_index), sent_at, out);
            }
            GroupMessage::JoinRequest { .. } | GroupMessage::Bootstrap { .. } => {}
        }
    }
}
