//! Assignment: assigns pending samples to the hosts of the zone and collects their results.
//!
//! Reads: `groups.records`, jobs and results from other hosts, `active_settings`.
//! Writes: `work`, `requests`, `groups.proposals`, messages to other hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Controller;
use crate::agreement::{Command, GroupId};
use crate::board::{AssignedSample, Board, Class, Origin, Proposal, Purpose, Request, Route};
use crate::event::Event;
use crate::fleet::SettingKey;
use crate::key::HostId;
use crate::message::{Message, SampleJob, SampleResult};
use crate::records::{SampleId, ZoneCommand};
use crate::time::Millis;
use crate::timeline::EventKind;

/// Interval between checks for assigned samples that failed or that their hosts may have lost.
const CHECK_INTERVAL: Millis = Millis(500);

/// Time after which an assigned sample is sent to its host again, in case the host has lost it.
const RESEND_INTERVAL: Millis = Millis(5_000);

/// Maximum time to generate a sample, counted on the host that generates it.
const SAMPLE_TIMEOUT: Millis = Millis(600_000);

/// Assigns samples to hosts, and generates those assigned to this host.
#[derive(Debug)]
pub(super) struct Assignment;

impl Controller for Assignment {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event {
            match &envelope.message {
                Message::Assign(job) => accept_job(board, job, envelope.from),
                Message::Generated(result) => handle_result(board, result),
                _ => {}
            }
        }
        send_results(board);
        if board.leads(GroupId::Zone) {
            manage_samples(board);
        } else {
            board.work.assignments.clear();
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.work.assignments.is_empty() { Millis::MAX } else { board.schedule.assignment }
    }
}

fn manage_samples(board: &mut Board) {
    if !board.groups.applied.is_empty() {
        let records = &board.groups.records;
        board.work.assignments.retain(|id, _| records.is_pending(*id));
    }
    if board.now.mono >= board.schedule.assignment {
        board.schedule.assignment = board.now.mono + CHECK_INTERVAL;
        check_assigned(board);
    }
    if board.groups.records.pending_count() > board.work.assignments.len() {
        assign(board);
    }
}

/// Unassigns samples that failed or whose host is down, and resends overdue ones to their hosts.
///
/// A host that gets a sample again and still has it continues with it. Assigning an overdue sample
/// to another host instead would generate it twice whenever a host's queue takes longer than
/// [`RESEND_INTERVAL`].
fn check_assigned(board: &mut Board) {
    let available = board.available_hosts();
    let now = board.now.mono;
    board.work.assignments.retain(|_, assigned| {
        let failed = assigned.failed && now >= assigned.retry_at;
        available.contains(&assigned.host) && !failed
    });
    let due = board.work.assignments.iter().filter(|(_, assigned)| now >= assigned.retry_at);
    let overdue: Vec<(SampleId, HostId)> = due.map(|(id, assigned)| (*id, assigned.host)).collect();
    for (id, host) in overdue {
        assign_to(board, id, host);
    }
}

fn assign(board: &mut Board) {
    let window = board.setting(SettingKey::RolloutQueue, None);
    let mut loads: BTreeMap<HostId, u64> = BTreeMap::new();
    for host in board.available_hosts() {
        loads.insert(host, 0);
    }
    for assigned in board.work.assignments.values() {
        if let Some(load) = loads.get_mut(&assigned.host) {
            *load += 1;
        }
    }
    let pending: Vec<SampleId> = board
        .groups
        .records
        .pending()
        .filter(|id| !board.work.assignments.contains_key(id))
        .collect();
    for id in pending {
        let least_loaded = loads.iter_mut().min_by_key(|(_, load)| **load);
        let Some((&host, load)) = least_loaded.filter(|(_, load)| **load < window) else { break };
        *load += 1;
        assign_to(board, id, host);
    }
}

fn assign_to(board: &mut Board, id: SampleId, host: HostId) {
    let records = &board.groups.records;
    let Some(sample) = records.sample(id) else { return };
    let Some(trainer) = records.trainer(sample.trainer) else { return };
    let job = SampleJob {
        sample: id,
        round: sample.regenerations,
        service: trainer.service.clone(),
        prompt: Arc::clone(&sample.prompt),
        max_tokens: sample.max_tokens,
    };
    board.work.assignments.insert(
        id,
        AssignedSample { host, retry_at: board.now.mono + RESEND_INTERVAL, failed: false },
    );
    if host == board.cfg.id {
        accept_job(board, &job, host);
    } else {
        board.send(host, Message::Assign(job));
    }
}

/// Queues a job as a request, unless it is running already or its result is still kept.
///
/// In both of these cases the result goes to `leader`, which may have replaced the one that sent
/// the job first.
fn accept_job(board: &mut Board, job: &SampleJob, leader: HostId) {
    if let Some(result) = board.work.recent_result(job) {
        board.work.results.push((leader, result.clone()));
        return;
    }
    if let Some(key) = board.work.running.get(&job.sample)
        && let Some(request) = board.requests.get_mut(*key)
    {
        request.origin = Origin::Sample(job.clone(), leader);
        return;
    }
    let service = board.ensure_service(&job.service);
    let deadline = board.now.mono + SAMPLE_TIMEOUT;
    let trace = format!("sample-{}-{}", board.cfg.zone, job.sample.0);
    let origin = Origin::Sample(job.clone(), leader);
    let request = Request::new(origin, trace, board.now.mono, deadline)
        .service(service, Class::Rollout)
        .route(Route::Upstream);
    let key = board.add_request(request);
    board.work.running.insert(job.sample, key);
    board.enqueue(key);
}

fn send_results(board: &mut Board) {
    for (leader, result) in std::mem::take(&mut board.work.results) {
        if leader == board.cfg.id {
            handle_result(board, &result);
        } else {
            board.send(leader, Message::Generated(result));
        }
    }
}

/// Proposes to record a generated sample; a failed one stays pending and is assigned again.
fn handle_result(board: &mut Board, result: &SampleResult) {
    let id = result.sample;
    match &result.output {
        Ok(output) => {
            board.note(EventKind::SampleReady, format!("sample-{}", id.0), "generated");
            let command = ZoneCommand::Finish { sample: id, output: Arc::clone(output) };
            let (command, purpose) = (Command::Zone(command), Purpose::Record);
            board.groups.proposals.push(Proposal { group: GroupId::Zone, command, purpose });
        }
        Err(reason) => {
            board.note(EventKind::AttemptFailed, format!("sample-{}", id.0), reason.clone());
            let now = board.now.mono;
            if let Some(assigned) = board.work.assignments.get_mut(&id) {
                assigned.retry_at = now;
                assigned.failed = true;
            }
        }
    }
}
