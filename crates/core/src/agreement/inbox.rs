//! Dispatch of the messages of other replicas to their handlers.

use crate::agreement::{GroupMessage, Outbox, Replica};
use crate::key::HostId;
use crate::time::Now;

impl Replica {
    /// Handles a message of this group. Messages of another epoch, and those of hosts that are not
    /// members of a closed group, are dropped.
    pub fn handle_message(
        &mut self,
        now: Now,
        from: HostId,
        epoch: u64,
        message: GroupMessage,
        out: &mut Outbox,
    ) {
        if self.membership_policy.is_none() && !self.members.contains(&from) {
            return;
        }
        match message {
            GroupMessage::JoinRequest { incarnation, heard } => {
                self.handle_join_request(now, from, incarnation, heard, out);
            }
            GroupMessage::Bootstrap { voters } => self.handle_bootstrap(epoch, voters, out),
            message if self.accepts_epoch(epoch, &message, out) => {
                self.handle_replica_message(now, from, message, out);
            }
            _ => {}
        }
    }

    fn handle_replica_message(
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
                let request = (term, pre_vote, leadership_transfer);
                self.handle_request_vote(now, from, request, (last_term, last_index), out);
            }
            GroupMessage::TimeoutNow { term } => self.handle_timeout_now(now, term, out),
            GroupMessage::VoteReply { term, granted, pre_vote } => {
                self.handle_vote_reply(now, from, (term, granted, pre_vote), out);
            }
            GroupMessage::AppendEntries {
                term,
                prev_index,
                prev_term,
                entries,
                leader_commit,
                sent_at,
            } => {
                if self.accept_leader(now, from, term, out) {
                    let previous = (prev_index, prev_term);
                    self.handle_append_entries(
                        from,
                        previous,
                        entries,
                        leader_commit,
                        sent_at,
                        out,
                    );
                } else {
                    self.reject_append(from, out);
                }
            }
            GroupMessage::InstallSnapshot { term, snapshot, sent_at } => {
                if self.accept_leader(now, from, term, out) {
                    self.handle_install_snapshot(from, snapshot, sent_at, out);
                } else {
                    self.reject_append(from, out);
                }
            }
            GroupMessage::SnapshotPart { term, part, sent_at } => {
                if self.accept_leader(now, from, term, out) {
                    self.handle_snapshot_part(from, part, sent_at, out);
                } else {
                    self.reject_append(from, out);
                }
            }
            GroupMessage::SnapshotPartReply { term, incarnation, index, next_part, sent_at } => {
                if term > self.term {
                    self.step_down(now, term, out);
                    return;
                }
                if term == self.term {
                    let reply = (index, next_part);
                    self.handle_snapshot_part_reply(now, from, incarnation, reply, sent_at, out);
                }
            }
            GroupMessage::AppendReply { term, incarnation, accepted, match_index, sent_at } => {
                if term > self.term {
                    self.step_down(now, term, out);
                    return;
                }
                // Ignores the reply to an append of an earlier term: its `sent_at` may come from the
                // monotonic clock of an earlier process.
                if term < self.term {
                    return;
                }
                self.handle_append_reply(
                    now,
                    from,
                    incarnation,
                    (accepted, match_index),
                    sent_at,
                    out,
                );
            }
            GroupMessage::JoinRequest { .. } | GroupMessage::Bootstrap { .. } => {}
        }
    }
}
