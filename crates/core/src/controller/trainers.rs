//! Trainers: handles the submit, fetch and publish calls of trainers.
//!
//! Reads: arrivals, results of commands, `groups.records`.
//! Writes: `requests`, `work.pending_fetches`, `groups.proposals`, `actions`.
//!
//! A trainer's calls are decided by the zone that its name maps to. Every fetch that finds samples
//! goes through the log of that zone, so that each delivered sample and its cursor are recorded
//! before the answer is sent, and staleness is evaluated at that point of the log.

use super::Controller;
use crate::action::{Answer, DeliveredSample, SampleBatch};
use crate::agreement::{Command, GroupId};
use crate::board::{Board, CommandOutcome, Origin, Proposal, Purpose, Request, Route};
use crate::error::{ErrorKind, Problem, Ran};
use crate::event::{Arrival, Call, Event};
use crate::fleet::SettingKey;
use crate::key::RequestKey;
use crate::records::{SampleState, TrainerId, ZoneCommand, ZoneOutcome};
use crate::time::Millis;
use crate::timeline::EventKind;

/// Time for which an answer to a trainer may wait for the log, beyond the wait that it asked for.
const COMMIT_TIMEOUT: Millis = Millis(5_000);

/// Answers the calls of trainers.
#[derive(Debug)]
pub(super) struct Trainers;

impl Controller for Trainers {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for result in board.groups.results.clone() {
            let Purpose::Request(key) = result.purpose else { continue };
            handle_result(board, key, &result.outcome);
        }
        for arrival in board.take_arrivals(is_trainer_call) {
            handle_call(board, arrival);
        }
        poll(board);
    }
}

fn is_trainer_call(call: &Call) -> bool {
    matches!(call, Call::Submit { .. } | Call::Fetch { .. } | Call::Publish { .. })
}

fn trainer_of(call: &Call) -> &str {
    match call {
        Call::Submit { trainer, .. }
        | Call::Fetch { trainer, .. }
        | Call::Publish { trainer, .. } => trainer,
        _ => "",
    }
}

fn handle_call(board: &mut Board, mut arrival: Arrival) {
    if let Call::Fetch { wait, .. } = &arrival.call {
        arrival.deadline = Some(*wait + COMMIT_TIMEOUT);
    }
    let home = board.home_zone(trainer_of(&arrival.call));
    if home != board.my_zone || !board.leads(GroupId::Zone) {
        board.forward_call(arrival, Route::Leader(GroupId::Zone, home));
        return;
    }
    let deadline = match &arrival.call {
        Call::Fetch { wait, .. } => board.now.mono + *wait,
        _ => board.deadline_of(&arrival, None),
    };
    let origin = Origin::Exchange(arrival.tag);
    let request = Request::new(origin, arrival.trace, board.now.mono, deadline);
    let key = board.add_request(request.call(arrival.call.clone()).hops(arrival.hops));
    let command = match arrival.call {
        Call::Submit { trainer, service, step, groups } => {
            ZoneCommand::Submit { trainer, service, step, groups }
        }
        Call::Publish { trainer, service, version } => {
            ZoneCommand::Publish { trainer, service, version }
        }
        _ => {
            board.work.pending_fetches.push(key);
            return;
        }
    };
    propose(board, key, command);
}

fn propose(board: &mut Board, key: RequestKey, command: ZoneCommand) {
    let (command, purpose) = (Command::Zone(command), Purpose::Request(key));
    board.groups.proposals.push(Proposal { group: GroupId::Zone, command, purpose });
}

/// Proposes deliveries for the waiting fetches that have samples to deliver.
fn poll(board: &mut Board) {
    let leads = board.leads(GroupId::Zone);
    for key in std::mem::take(&mut board.work.pending_fetches) {
        let Some(request) = board.requests.get(key) else { continue };
        let Some(Call::Fetch { trainer, cursor, max, .. }) = &request.call else { continue };
        let (cursor, max) = (*cursor, *max);
        if !leads {
            let detail = "this host no longer leads the trainer's zone";
            board.fail_request(key, Problem::not_run(ErrorKind::HomeUnreachable, detail));
            continue;
        }
        let records = &board.groups.records;
        let found = records.find_trainer(trainer).and_then(|id| Some((id, records.trainer(id)?)));
        let Some((id, trainer)) = found.filter(|(_, trainer)| trainer.has_samples_from(cursor))
        else {
            board.work.pending_fetches.push(key);
            continue;
        };
        let service = trainer.service.clone();
        let staleness = board.setting(SettingKey::Staleness, Some(&service));
        extend_deadline(board, key);
        propose(board, key, ZoneCommand::Deliver { trainer: id, cursor, max, staleness });
    }
}

/// Extends a fetch's deadline so that it does not pass while the delivery is being committed.
fn extend_deadline(board: &mut Board, key: RequestKey) {
    let deadline = board.now.mono + COMMIT_TIMEOUT;
    let Some(request) = board.requests.get_mut(key) else { return };
    if request.deadline >= deadline {
        return;
    }
    let old = std::mem::replace(&mut request.deadline, deadline);
    board.timers.remove(&(old, key));
    board.timers.insert((deadline, key));
}

fn handle_result(board: &mut Board, key: RequestKey, outcome: &CommandOutcome) {
    let Some(request) = board.requests.get(key) else { return };
    if !request.call.as_ref().is_some_and(is_trainer_call) {
        return;
    }
    match outcome {
        CommandOutcome::Zone(ZoneOutcome::Submitted(added)) => {
            let detail = format!("{added} new samples");
            answer(board, key, EventKind::Submitted, &detail, Answer::Submitted(*added));
        }
        CommandOutcome::Zone(ZoneOutcome::Published(version)) => {
            let detail = format!("version {version}");
            answer(board, key, EventKind::Published, &detail, Answer::Published(*version));
        }
        CommandOutcome::Zone(ZoneOutcome::Delivered { trainer, stale }) => {
            handle_delivered(board, key, *trainer, *stale);
        }
        CommandOutcome::Zone(ZoneOutcome::Refused(problem))
        | CommandOutcome::NotWritten(problem) => {
            board.fail_request(key, problem.clone());
        }
        CommandOutcome::Replaced => {
            let detail = "the leader changed; send the call again, it takes effect only once";
            let problem = Problem::not_run(ErrorKind::HomeUnreachable, detail).ran(Ran::Unknown);
            board.fail_request(key, problem);
        }
        _ => {}
    }
}

fn answer(board: &mut Board, key: RequestKey, kind: EventKind, detail: &str, answer: Answer) {
    let Some(request) = board.remove_request(key) else { return };
    let subject = request.call.as_ref().map_or("", trainer_of);
    board.note(kind, subject, detail);
    if let Some(tag) = request.tag() {
        board.counters.answered += 1;
        board.answer(tag, answer);
    }
}

fn handle_delivered(board: &mut Board, key: RequestKey, id: TrainerId, stale: u32) {
    let Some(request) = board.requests.get(key) else { return };
    let Some(Call::Fetch { trainer, cursor, max, wait }) = request.call.clone() else { return };
    if stale > 0 {
        let detail = format!("{stale} stale samples are generated again");
        board.note(EventKind::SamplesStale, trainer, detail);
    }
    let batch = batch(board, id, cursor, max);
    let waited = board.now.mono.since(arrival_time(board, key));
    if batch.samples.is_empty() && waited < wait {
        board.work.pending_fetches.push(key);
        return;
    }
    let detail = format!("{} samples from cursor {cursor}", batch.samples.len());
    answer(board, key, EventKind::Delivered, &detail, Answer::Samples(batch));
}

fn arrival_time(board: &Board, key: RequestKey) -> Millis {
    board.requests.get(key).map_or(Millis(0), |request| request.arrived)
}

fn batch(board: &Board, id: TrainerId, cursor: u64, max: u32) -> SampleBatch {
    let records = &board.groups.records;
    let Some(trainer) = records.trainer(id) else { return SampleBatch::default() };
    let mut batch = SampleBatch { next_cursor: cursor, ..Default::default() };
    for delivery in trainer.deliveries_from(cursor, max) {
        let Some(sample) = records.sample(delivery.sample) else { continue };
        let output = match &sample.state {
            SampleState::Ready(output) => Ok(output.clone()),
            SampleState::Failed(reason) => Err(reason.clone()),
            SampleState::Pending => continue,
        };
        let (step, group, index) = (sample.step, sample.group.clone(), sample.index);
        let cursor = delivery.cursor;
        batch.samples.push(DeliveredSample { cursor, step, group, index, output });
        batch.next_cursor = cursor + 1;
    }
    let unacknowledged = trainer.counts.submitted - trainer.counts.acknowledged;
    batch.outstanding = unacknowledged.saturating_sub(batch.samples.len() as u64);
    batch
}
