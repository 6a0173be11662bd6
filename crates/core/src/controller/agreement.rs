//! Agreement: drives the replicas of the groups and applies committed entries.
//!
//! Reads: group messages, synced batches, restored records, the clock.
//! Writes: `groups` (replicas, applied state, results), `active_settings.offered`.

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

/// Drives the replicas of the fleet and zone groups.
#[derive(Debug)]
pub(super) struct Agreement;

impl Controller for Agreement {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        board.groups.applied.clear();
        board.groups.results = std::mem::take(&mut board.groups.rejected);
        match event {
            Some(Event::Restored(records)) => restore(board, records),
            Some(Event::Synced(token)) => handle_synced(board, *token),
            Some(Event::Received(envelope)) => {
                if let Message::Group(frame) = &envelope.message {
                    handle_message(board, envelope.from, frame);
                }
            }
            _ => {}
        }
        for group in GROUPS {
            tick(board, group);
            apply_committed(board, group);
            compact(board, group);
            report_leadership(board, group);
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
        apply_installed(board, group);
    }
}

fn handle_synced(board: &mut Board, token: SyncToken) {
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

fn handle_message(board: &mut Board, from: HostId, frame: &GroupFrame) {
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

fn apply_committed(board: &mut Board, group: GroupId) {
    apply_installed(board, group);
    loop {
        let Some(group_replica) = board.groups.group_mut(group) else { return };
        let Some(entry) = group_replica.replica.next_committed() else { return };
        let proposed = group_replica.pending_commits.remove(&entry.index);
        apply_entry(board, &entry, proposed);
    }
}

fn apply_entry(board: &mut Board, entry: &Entry, proposed: Option<(u64, Purpose)>) {
    let outcome = match &entry.command {
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
    let Some((term, purpose)) = proposed else { return };
    let outcome = match outcome {
        Some(outcome) if term == entry.term => outcome,
        _ => CommandOutcome::Replaced,
    };
    board.groups.results.push(CommandResult { purpose, index: entry.index, outcome });
}

fn apply_installed(board: &mut Board, group: GroupId) {
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

/// Sends the state to replicas that need it as a snapshot, and compacts the log when it is due.
fn compact(board: &mut Board, group: GroupId) {
    let Some(group_replica) = board.groups.group_mut(group) else { return };
    let receivers = group_replica.replica.take_snapshot_targets();
    let snapshot_due = group_replica.replica.is_snapshot_due();
    if receivers.is_empty() && !snapshot_due {
        return;
    }
    let state = match group {
        GroupId::Fleet => GroupState::Fleet(board.groups.fleet_state.clone()),
        GroupId::Zone => GroupState::Zone(board.groups.records.clone()),
        GroupId::Directory => return,
    };
    let now = board.now;
    let Some(group_replica) = board.groups.group_mut(group) else { return };
    if !receivers.is_empty() {
        let snapshot = group_replica.replica.build_snapshot(state.clone());
        group_replica.replica.send_snapshot(now, receivers, snapshot, &mut group_replica.outbox);
    }
    if snapshot_due {
        group_replica.replica.take_snapshot(state, &mut group_replica.outbox);
    }
}

fn report_leadership(board: &mut Board, group: GroupId) {
    let now = board.now;
    let Some(group_replica) = board.groups.group_mut(group) else { return };
    let leads = group_replica.replica.holds_lease(now);
    if leads == group_replica.was_leader {
        return;
    }
    group_replica.was_leader = leads;
    let detail = describe_leadership(&group_replica.replica, leads);
    board.note(EventKind::LeaderElected, format!("{group:?}"), detail);
}

fn describe_leadership(replica: &Replica, leads: bool) -> String {
    let verb = if leads { "leads" } else { "no longer leads" };
    format!("{verb} in term {}, fence {}", replica.term(), replica.fencing_token())
}
