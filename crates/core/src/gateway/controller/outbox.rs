//! Outbox: passes records to the disk and group messages to the links, in a safe order.
//!
//! Reads and writes: `group`, `facts`. Writes: `actions`.
//!
//! A vote or an acknowledgement is sent only after the records that it refers to are synced.

use super::Controller;
use crate::agreement::{GroupFrame, GroupId, GroupMessage, Record};
use crate::board::HeldMessage;
use crate::gateway::action::Action;
use crate::gateway::board::{Board, PendingSync};
use crate::gateway::event::Event;
use crate::key::SyncToken;
use crate::message::Message;

/// Flushes the outbox of the replica.
#[derive(Debug)]
pub(super) struct OutboxFlush;

impl Controller for OutboxFlush {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        let Some(mut group) = board.group.take() else { return };
        let records = std::mem::take(&mut group.outbox.records);
        if !records.is_empty() || board.facts.has_batch() {
            let token = SyncToken(group.last_token.0 + 1);
            group.last_token = token;
            let facts = board.facts.take_batch(token);
            if !records.is_empty() {
                let last_index = group.replica.log().last_index();
                let entry_bytes = records.iter().map(entry_bytes).sum();
                group.pending_syncs.push_back(PendingSync { token, last_index, entry_bytes });
            }
            board.actions.push(Action::Persist { token, records, facts });
        }
        let epoch = group.replica.epoch();
        for (to, message) in std::mem::take(&mut group.outbox.immediate) {
            board.send_message(to, frame(epoch, message));
        }
        let is_syncing = !group.pending_syncs.is_empty();
        for (to, message) in std::mem::take(&mut group.outbox.after_sync) {
            let message = frame(epoch, message);
            if is_syncing {
                group.held_messages.push_back(HeldMessage { token: group.last_token, to, message });
            } else {
                board.send_message(to, message);
            }
        }
        board.group = Some(group);
    }
}

fn entry_bytes(record: &Record) -> u64 {
    match record {
        Record::Entry { entry, .. } => u64::try_from(entry.bytes()).unwrap_or(u64::MAX),
        _ => 0,
    }
}

fn frame(epoch: u64, message: GroupMessage) -> Message {
    Message::Group(GroupFrame { group: GroupId::Directory, epoch, message })
}
