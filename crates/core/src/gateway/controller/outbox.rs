//! Outbox: passes records to the disk and group messages to the links, in a safe order.
//!
//! Reads and writes: `group`. Writes: `actions`.
//!
//! A vote or an acknowledgement is sent only after the records that it refers to are synced.

use super::Controller;
use crate::agreement::{GroupFrame, GroupId, GroupMessage};
use crate::board::HeldMessage;
use crate::gateway::action::Action;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::key::SyncToken;
use crate::message::Message;

/// Flushes the outbox of the replica.
#[derive(Debug)]
pub(super) struct OutboxFlush;

impl Controller for OutboxFlush {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        let Some(mut group) = board.group.take() else { return };
        let records = std::mem::take(&mut group.out.records);
        if !records.is_empty() {
            let token = SyncToken(group.token.0 + 1);
            group.token = token;
            group.syncing.push_back((token, group.replica.log().last_index()));
            board.actions.push(Action::Persist { token, records });
        }
        let formation = group.replica.formation();
        for (to, message) in std::mem::take(&mut group.out.prompt) {
            board.send_message(to, frame(formation, message));
        }
        let is_syncing = !group.syncing.is_empty();
        for (to, message) in std::mem::take(&mut group.out.after_sync) {
            let message = frame(formation, message);
            if is_syncing {
                group.held.push_back(HeldMessage { token: group.token, to, message });
            } else {
                board.send_message(to, message);
            }
        }
        board.group = Some(group);
    }
}

fn frame(formation: u64, message: GroupMessage) -> Message {
    Message::Group(GroupFrame { group: GroupId::Directory, formation, message })
}
