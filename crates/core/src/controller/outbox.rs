//! Outbox: sends the replicas' records to the disk and their messages to other hosts, in a safe
//! order.
//!
//! Reads and writes: `groups` (outboxes, batches, held messages). Writes: `actions`.
//!
//! A vote or an acknowledgement is sent only once the records that it refers to are synced.

use super::Controller;
use crate::action::Action;
use crate::agreement::{GroupFrame, GroupId, GroupMessage};
use crate::board::{Board, HeldMessage, SyncBatch};
use crate::event::Event;
use crate::key::{HostId, SyncToken};
use crate::message::Message;

/// Flushes the outboxes of the replicas.
#[derive(Debug)]
pub(super) struct OutboxFlush;

impl Controller for OutboxFlush {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for group in [GroupId::Fleet, GroupId::Zone] {
            collect_records(board, group);
        }
        persist(board);
        for group in [GroupId::Fleet, GroupId::Zone] {
            send_messages(board, group);
        }
    }
}

fn collect_records(board: &mut Board, group: GroupId) {
    let Some(group) = board.groups.group_mut(group) else { return };
    let records = std::mem::take(&mut group.outbox.records);
    board.groups.pending_records.extend(records);
}

fn persist(board: &mut Board) {
    let records = std::mem::take(&mut board.groups.pending_records);
    if records.is_empty() || !board.cfg.disk {
        return;
    }
    let token = SyncToken(board.groups.last_token.0 + 1);
    board.groups.last_token = token;
    let fleet = board.groups.fleet.as_ref().map_or(0, |group| group.replica.log().last_index());
    let zone = board.groups.zone.replica.log().last_index();
    board.groups.pending_syncs.push_back(SyncBatch { token, fleet, zone });
    board.actions.push(Action::Persist { token, records });
}

fn send_messages(board: &mut Board, group: GroupId) {
    let Some(group_replica) = board.groups.group_mut(group) else { return };
    let epoch = group_replica.replica.epoch();
    let immediate = std::mem::take(&mut group_replica.outbox.immediate);
    let after_sync = std::mem::take(&mut group_replica.outbox.after_sync);
    for (to, message) in immediate {
        board.send(to, frame(group, epoch, message));
    }
    let must_wait = !board.groups.pending_syncs.is_empty();
    for (to, message) in after_sync {
        let message = frame(group, epoch, message);
        if must_wait {
            hold(board, to, message);
        } else {
            board.send(to, message);
        }
    }
}

fn hold(board: &mut Board, to: HostId, message: Message) {
    let token = board.groups.last_token;
    board.groups.held_messages.push_back(HeldMessage { token, to, message });
}

fn frame(group: GroupId, epoch: u64, message: GroupMessage) -> Message {
    Message::Group(GroupFrame { group, epoch, message })
}
