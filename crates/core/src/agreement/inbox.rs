//! Messages of other replicas, and what each leads to.

use crate::agreement::{GroupMessage, Outbox, Replica};
use crate::key::HostId;
use crate::time::Now;

impl Replica {
    /// Takes in a message of this group.
    pub fn receive(
        &mut self,
        now: Now,
        from: HostId,
        formation: u64,
        message: GroupMessage,
        out: &mut Outbox,
    ) {
        if self.plan.is_none() && !self.members.contains(&from) {
            return;
        }
        match message {
            GroupMessage::Blank { incarnation } => self.on_blank(now, from, incarnation, out),
            GroupMessage::Form { voters } => self.on_form(formation, voters, out),
            message if self.fits(formation, &message, out) => {
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
            GroupMessage::Vote { term, last_index, last_term, pre, handed_over } => {
                let ask = (term, pre, handed_over);
                self.on_vote(now, from, ask, (last_term, last_index), out);
            }
            GroupMessage::HandOver { term } => self.on_hand_over(now, term, out),
            GroupMessage::VoteReply { term, granted, pre } => {
                self.on_vote_reply(now, from, (term, granted, pre), out);
            }
            GroupMessage::Append { term, prev_index, prev_term, entries, commit, sent_at } => {
                if self.follow(now, from, term, out) {
                    let previous = (prev_index, prev_term);
                    self.on_append(from, previous, entries, commit, sent_at, out);
                } else {
                    self.refuse_append(from, out);
                }
            }
            GroupMessage::Install { term, snapshot, sent_at } => {
                if self.follow(now, from, term, out) {
                    self.on_install(from, snapshot, sent_at, out);
                } else {
                    self.refuse_append(from, out);
                }
            }
            GroupMessage::AppendReply { term, incarnation, accepted, matched, sent_at } => {
                if term > self.term {
                    self.step_down(now, term, out);
                    return;
                }
                // An answer to an earlier lead, perhaps of an earlier life with another clock.
                if term < self.term {
                    return;
                }
                self.on_append_reply(now, from, incarnation, (accepted, matched), sent_at, out);
            }
            GroupMessage::Blank { .. } | GroupMessage::Form { .. } => {}
        }
    }
}
