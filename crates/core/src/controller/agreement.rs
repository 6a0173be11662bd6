//! Agreement: feeds the replicas, and applies what they commit.
//!
//! Reads: group messages, synced batches, restored records, the clock.
//! Writes: `groups` (replicas, applied state, results), `in_force.offered`.

use rand::Rng;

use super::Controller;
use crate::agreement::{Command, Entry, GroupFrame, GroupId, GroupState, Record, Replica};
use crate::board::{Board, CommandOutcome, CommandResult, Purpose};
use crate::event::Event;
use crate::key::{HostId, SyncToken};
use crate::message::Message;
use crate::time::Millis;
use crate::timeline::EventKind;

const GROUPS: [GroupId; 2] = [GroupId::Fleet, GroupId::Zone];

/// Runs the replicas.
#[derive(Debug)]
pub(super) struct Agreement;

impl Controller for Agreement {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        board.groups.applied.clear();
        board.groups.results = std::mem::take(&mut board.groups.rejected);
        match event {
            Some(Event::Restored(records)) => restore(board, records),
            Some(Event::Synced(token)) => synced(board, *token),
            Some(Event::Received(envelope)) => {
                if let Message::Group(frame) = &envelope.message {
                    receive(board, envelope.from, frame);
                }
            }
            _ => {}
        }
        for group in GROUPS {
            tick(board, group);
            apply(board, group);
            compact(board, group);
            note_leadership(board, group);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let zone = board.groups.zone.replica.next_deadline();
        let fleet = board.groups.fleet.as_ref().map(|group| group.replica.next_deadline());
        fleet.map_or(zone, |fleet| fleet.min(zone))
    }
}

fn restore(board: &mut Board, records: &[Record]) {
    for record in records {
        if let Record::InForce { settings } = record {
            board.active_settings.offer(settings.clone());
            continue;
        }
        let Some(group) = board.groups.group_mut(record.group()) else { continue };
        group.replica.restore(record.clone());
    }
    for group in GROUPS {
        take_installed(board, group);
    }
}

fn synced(board: &mut Board, token: SyncToken) {
    while let Some(batch) = board.groups.pending_syncs.front().copied() {
        if batch.token > token {
            break;
        }
        board.groups.pending_syncs.pop_front();
        if let Some(group) = &mut board.groups.fleet {
            group.replica.mark_synced(batch.fleet);
        }
        board.groups.zone.replica.mark_synced(batch.zone);
    }
    while let Some(held) = board.groups.held_messages.front() {
        if held.token > token {
            break;
        }
        let Some(held) = board.groups.held_messages.pop_front() else { break };
        board.send(held.to, held.message);
    }
}

fn receive(board: &mut Board, from: HostId, frame: &GroupFrame) {
    let now = board.now;
    let Some(group) = board.groups.group_mut(frame.group) else { return };
    group.replica.handle_message(now, from, frame.epoch, frame.message.clone(), &mut group.outbox);
}

fn tick(board: &mut Board, group: GroupId) {
    let (now, jitter) = (board.now, board.rng.random::<u32>());
    let Some(group) = board.groups.group_mut(group) else { return };
    if now.mono < group.replica.next_deadline() {
        return;
    }
    group.replica.tick(now, u64::from(jitter), &mut group.outbox);
}

fn apply(board: &mut Board, group: GroupId) {
    take_installed(board, group);
    loop {
        let Some(group_box) = board.groups.group_mut(group) else { return };
        let Some(entry) = group_box.replica.next_committed() else { return };
        let written = group_box.pending_commits.remove(&entry.index);
        apply_entry(board, &entry, written);
    }
}

fn apply_entry(board: &mut Board, entry: &Entry, written: Option<(u64, Purpose)>) {
    let fate = match &entry.command {
        Command::Noop | Command::Voters(_) | Command::Directory(_) => None,
        Command::Change(change) => {
            let answer = board.groups.fleet_state.apply(change);
            board.active_settings.offer(board.groups.fleet_state.settings.clone());
            Some(CommandOutcome::Changed(answer))
        }
        Command::Zone(command) => {
            let applied = board.groups.records.apply(command);
            board.groups.applied.push(applied.clone());
            Some(CommandOutcome::Zone(applied))
        }
    };
    let Some((term, purpose)) = written else { return };
    let fate = match fate {
        Some(fate) if term == entry.term => fate,
        _ => CommandOutcome::Replaced,
    };
    board.groups.results.push(CommandResult { purpose, index: entry.index, outcome: fate });
}

fn take_installed(board: &mut Board, group: GroupId) {
    let Some(group) = board.groups.group_mut(group) else { return };
    match group.replica.take_installed_state() {
        Some(GroupState::Fleet(state)) => {
            board.active_settings.offer(state.settings.clone());
            board.groups.fleet_state = state;
        }
        Some(GroupState::Zone(records)) => board.groups.records = records,
        Some(GroupState::Directory(_)) | None => {}
    }
}

/// Takes a snapshot where the log has grown long, and sends the state to replicas that need it.
fn compact(board: &mut Board, group: GroupId) {
    let Some(group_box) = board.groups.group_mut(group) else { return };
    let wanted = group_box.replica.take_snapshot_targets();
    let long = group_box.replica.is_snapshot_due();
    if wanted.is_empty() && !long {
        return;
    }
    let state = match group {
        GroupId::Fleet => GroupState::Fleet(board.groups.fleet_state.clone()),
        GroupId::Zone => GroupState::Zone(board.groups.records.clone()),
        GroupId::Directory => return,
    };
    let now = board.now;
    let Some(group_box) = board.groups.group_mut(group) else { return };
    for host in wanted {
        let snapshot = group_box.replica.build_snapshot(state.clone());
        group_box.replica.send_snapshot(now, host, snapshot, &mut group_box.outbox);
    }
    if long {
        group_box.replica.take_snapshot(state, &mut group_box.outbox);
    }
}

fn note_leadership(board: &mut Board, group: GroupId) {
    let now = board.now;
    let Some(group_box) = board.groups.group_mut(group) else { return };
    let leads = group_box.replica.holds_lease(now);
    if leads == group_box.was_leader {
        return;
    }
    group_box.was_leader = leads;
    let detail = describe(&group_box.replica, leads);
    board.note(EventKind::LeaderElected, format!("{group:?}"), detail);
}

fn describe(replica: &Replica, leads: bool) -> String {
    let verb = if leads { "leads" } else { "no longer leads" };
    format!("{verb} in term {}, fence {}", replica.term(), replica.fencing_token())
}
