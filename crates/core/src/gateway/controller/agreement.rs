//! Agreement: drives this host's replica of the directory group and applies committed entries.
//!
//! Reads: group messages, synced batches, restored records, `proposals`, `memory`, the clock.
//! Writes: `group`, `leader`, `voters`, `received_routing`, `changed_jobs`, `counters`, `actions`, replies to
//! the origins of commands.

use rand::Rng;

use super::Controller;
use crate::agreement::{Command, Entry, GroupId, GroupMessage, GroupState, Record};
use crate::directory::{Directory, DirectoryCommand, DirectoryOutcome};
use crate::gateway::board::{Board, DirectoryGroup, Origin, PendingCommit};
use crate::gateway::event::Event;
use crate::gateway::message::StoreReply;
use crate::key::SyncToken;
use crate::message::Message;
use crate::time::Millis;
use crate::timeline::EventKind;

/// Drives the replica of the directory group.
#[derive(Debug)]
pub(super) struct Agreement;

impl Controller for Agreement {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        let Some(mut group) = board.group.take() else { return };
        match event {
            Some(Event::Restored(records)) => handle_restored(board, &mut group, records),
            Some(Event::Synced(token)) => handle_synced(board, &mut group, *token),
            Some(Event::Received(envelope)) => {
                if let Message::Group(frame) = &envelope.message
                    && frame.group == GroupId::Directory
                {
                    let message = share_texts(&group.directory, frame.message.clone());
                    let message = without_entries_for_a_slow_disk(board, &mut group, message);
                    let (now, from) = (board.now, envelope.from);
                    group.replica.handle_message(
                        now,
                        from,
                        frame.epoch,
                        message,
                        &mut group.outbox,
                    );
                }
            }
            _ => {}
        }
        propose_commands(board, &mut group);
        group.replica.set_join_target(board.leader.map(|(_, leader)| leader));
        tick(board, &mut group);
        apply_committed(board, &mut group);
        compact(board, &mut group);
        report_leader_and_voters(board, &mut group);
        board.group = Some(group);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.group.as_ref().map_or(Millis::MAX, |group| group.replica.next_deadline())
    }
}

fn handle_restored(board: &mut Board, group: &mut DirectoryGroup, records: &[Record]) {
    for record in records {
        if record.group() == GroupId::Directory {
            group.replica.restore(record.clone());
        }
    }
    apply_installed(board, group);
}

/// Lets the part of a snapshot share the texts of the directory that the snapshot replaces.
fn share_texts(directory: &Directory, mut message: GroupMessage) -> GroupMessage {
    if let GroupMessage::SnapshotPart { part, .. } = &mut message {
        for command in &mut part.commands {
            directory.share_with(command);
        }
    }
    message
}

/// Removes the entries of an append while too many bytes wait for the disk.
///
/// What is left is a heartbeat. The leader sends the entries again, because it gets no answer that
/// covers them.
fn without_entries_for_a_slow_disk(
    board: &mut Board,
    group: &mut DirectoryGroup,
    mut message: GroupMessage,
) -> GroupMessage {
    let GroupMessage::AppendEntries { entries, .. } = &mut message else { return message };
    let Some(budget) = board.memory.unsynced_budget() else { return message };
    if entries.is_empty() {
        return message;
    }
    let unsynced = group.unsynced_bytes();
    let was_refusing = std::mem::replace(&mut group.refuses_entries, unsynced > budget);
    if group.refuses_entries {
        entries.clear();
        board.counters.appends_without_memory += 1;
    }
    if group.refuses_entries != was_refusing {
        let name = board.cfg.name.clone();
        let refused = group.refuses_entries;
        let detail = format!("disk_behind={refused} unsynced={unsynced} budget={budget}");
        board.note(EventKind::Dependency, name, detail);
    }
    message
}

fn handle_synced(board: &mut Board, group: &mut DirectoryGroup, token: SyncToken) {
    while let Some(batch) = group.pending_syncs.front().copied() {
        if batch.token > token {
            break;
        }
        group.pending_syncs.pop_front();
        group.replica.mark_synced(batch.last_index);
    }
    while group.held_messages.front().is_some_and(|held| held.token <= token) {
        let Some(held) = group.held_messages.pop_front() else { break };
        board.send_message(held.to, held.message);
    }
}

fn propose_commands(board: &mut Board, group: &mut DirectoryGroup) {
    for (command, origin) in std::mem::take(&mut board.proposals) {
        let command = Command::Directory(command);
        match group.replica.propose(board.now, command, &mut group.outbox) {
            Ok(index) => {
                let (term, proposed_at) = (group.replica.term(), board.now.mono);
                group.pending_commits.insert(index, PendingCommit { term, origin, proposed_at });
            }
            Err(_) => {
                let Some(origin) = origin else { continue };
                board.reply(origin, StoreReply::NotLeader { leader: None });
            }
        }
    }
}

fn tick(board: &mut Board, group: &mut DirectoryGroup) {
    if board.now.mono < group.replica.next_deadline() {
        return;
    }
    let jitter = u64::from(board.rng.random::<u32>());
    group.replica.tick(board.now, jitter, &mut group.outbox);
}

fn apply_committed(board: &mut Board, group: &mut DirectoryGroup) {
    apply_installed(board, group);
    while let Some(entry) = group.replica.next_committed() {
        apply_entry(board, group, &entry);
    }
}

fn apply_entry(board: &mut Board, group: &mut DirectoryGroup, entry: &Entry) {
    let pending = group.pending_commits.remove(&entry.index);
    let Command::Directory(command) = &entry.command else { return };
    let outcome = group.directory.apply(command);
    if outcome != DirectoryOutcome::JobIdTaken {
        mark_changes(board, group, command);
    }
    let Some(PendingCommit { term, origin: Some(origin), .. }) = pending else { return };
    let reply = match outcome {
        _ if term != entry.term => StoreReply::Undetermined,
        DirectoryOutcome::Applied => StoreReply::Done,
        DirectoryOutcome::UnknownJob => StoreReply::Unknown,
        DirectoryOutcome::JobIdTaken => StoreReply::JobIdTaken,
    };
    board.reply(origin, reply);
}

/// Marks on the board, for the other controllers, what an applied command has changed.
fn mark_changes(board: &mut Board, group: &mut DirectoryGroup, command: &DirectoryCommand) {
    board.another_round = true;
    match command {
        DirectoryCommand::PutRouting(_) => board.received_routing = group.directory.routing.clone(),
        DirectoryCommand::SubmitJob { spec, .. } => {
            board.counters.jobs += 1;
            board.changed_jobs.insert(spec.id.clone());
            let detail = format!(
                "accepted items={} min_version={} services={:?} due_ms={}",
                spec.items.len(),
                spec.min_version,
                spec.services,
                spec.due_after.0
            );
            board.note(EventKind::Job, spec.id.clone(), detail);
        }
        DirectoryCommand::AppendResults { job, .. } => {
            board.changed_jobs.insert(job.clone());
        }
        DirectoryCommand::EndJob { job, at } => {
            board.changed_jobs.insert(job.clone());
            let Some(ended) = group.directory.jobs.get(job) else { return };
            let detail = format!(
                "ended listed={}/{} took_ms={}",
                ended.results.len(),
                ended.spec.items.len(),
                at.since(ended.accepted_at).0
            );
            board.note(EventKind::Job, job.clone(), detail);
        }
        DirectoryCommand::RetireVoter { host, incarnation } => {
            group.replica.set_retired(&group.directory.retired);
            let detail = format!("retired incarnation={incarnation}");
            board.note(EventKind::VotersChanged, host.0.to_string(), detail);
        }
        DirectoryCommand::SetNamedVersion { model, version } => {
            board.note(EventKind::Published, model.clone(), format!("version={version}"));
        }
        DirectoryCommand::SetOrderer { host } => {
            board.note(EventKind::Ordered, "directory", format!("orderer={}", host.0));
        }
        DirectoryCommand::RemoveJobs { .. } | DirectoryCommand::SaveTextParts { .. } => {}
    }
}

fn apply_installed(board: &mut Board, group: &mut DirectoryGroup) {
    let Some(GroupState::Directory(directory)) = group.replica.take_installed_state() else {
        return;
    };
    board.received_routing = directory.routing.clone();
    board.changed_jobs.extend(directory.jobs.keys().cloned());
    group.replica.set_retired(&directory.retired);
    group.directory = directory;
    board.another_round = true;
}

/// Sends snapshots to the hosts that need one, and takes one when it is due.
fn compact(board: &mut Board, group: &mut DirectoryGroup) {
    let targets = group.replica.take_snapshot_targets();
    let is_due = group.replica.is_snapshot_due();
    if targets.is_empty() && !is_due {
        return;
    }
    let state = GroupState::Directory(group.directory.clone());
    if !targets.is_empty() {
        let snapshot = group.replica.build_snapshot(state.clone());
        group.replica.send_snapshot(board.now, targets, snapshot, &mut group.outbox);
    }
    if is_due {
        group.replica.retain_for_replicas(board.now);
        group.replica.take_snapshot(state, &mut group.outbox);
    }
}

fn report_leader_and_voters(board: &mut Board, group: &mut DirectoryGroup) {
    let replica = &group.replica;
    if let Some(leader) = replica.leader() {
        board.leader = board.leader.max(Some((replica.fencing_token(), leader)));
    }
    if replica.voters() != group.known_voters {
        let voters = replica.voters().to_vec();
        let ids: Vec<u32> = voters.iter().map(|voter| voter.host.0).collect();
        board.note(EventKind::VotersChanged, "directory", format!("voters={ids:?}"));
        group.known_voters = voters;
    }
    let index = replica.commit_index();
    let follows = replica.leader().is_some() && !group.known_voters.is_empty();
    if follows && board.voters.1 != group.voter_hosts() && index > board.voters.0 {
        board.voters = (index, group.voter_hosts());
    }
    let leads = replica.holds_lease(board.now);
    if leads == group.was_leader {
        return;
    }
    group.was_leader = leads;
    board.another_round = true;
    if !leads {
        abandon_commands(board, group);
    }
    let verb = if leads { "leads" } else { "no longer leads" };
    let (term, fence) = (group.replica.term(), group.replica.fencing_token());
    let detail =
        format!("{verb} term={term} fence={fence} commit={}", group.replica.commit_index());
    board.note(EventKind::LeaderElected, "directory", detail);
}

/// Replies to the origins of pending commands, after this host lost the lead, that the outcome is
/// undetermined.
fn abandon_commands(board: &mut Board, group: &mut DirectoryGroup) {
    let pending = std::mem::take(&mut group.pending_commits);
    let origins: Vec<Origin> = pending.into_values().filter_map(|pending| pending.origin).collect();
    for origin in origins {
        board.reply(origin, StoreReply::Undetermined);
    }
}
