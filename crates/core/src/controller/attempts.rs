//! Attempts: updates requests when their attempts make progress or end, and retries failed ones.
//!
//! Reads: progress and ends of attempts, `active_settings`.
//! Writes: `attempts`, `upstreams`, `services`, `requests`, `work`, `actions`.
//!
//! The end of an attempt that is no longer in the arena is ignored: its key's generation is old.

use std::sync::Arc;

use super::Controller;
use crate::action::Action;
use crate::board::{
    Attempt, AttemptTarget, Board, Class, LEADER_POLL_INTERVAL, LEADER_TIMEOUT, Origin, Request,
    RequestState,
};
use crate::error::{ErrorKind, Problem, Ran};
use crate::event::{AttemptEnd, Event, RecordedAnswer};
use crate::fleet::SettingKey;
use crate::key::{AttemptKey, RequestKey};
use crate::policy::{RetryContext, RetryPolicy};
use crate::records::{IntentKey, Outcome, Output};
use crate::time::Millis;
use crate::timeline::EventKind;

/// Time for which an unreachable upstream gets no new requests; also the retry hint in errors.
const RETRY_DELAY: Millis = Millis(500);

/// Tracks attempts and decides on retries.
#[derive(Debug)]
pub(super) struct Attempts {
    retry: Box<dyn RetryPolicy>,
}

impl Attempts {
    /// Creates the controller with a retry policy.
    pub(super) fn new(retry: Box<dyn RetryPolicy>) -> Self {
        Self { retry }
    }
}

impl Controller for Attempts {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::Progress { attempt, tokens }) => handle_progress(board, *attempt, *tokens),
            Some(Event::Ended { attempt, end }) => self.handle_end(board, *attempt, end),
            _ => {}
        }
    }
}

fn handle_progress(board: &mut Board, attempt: AttemptKey, tokens: u32) {
    let Some(attempt) = board.attempts.get(attempt) else { return };
    let Some(request) = board.requests.get_mut(attempt.request) else { return };
    request.tokens_sent = request.tokens_sent.max(tokens);
}

impl Attempts {
    fn handle_end(&mut self, board: &mut Board, key: AttemptKey, end: &AttemptEnd) {
        let Some(attempt) = board.attempts.remove(key) else { return };
        release_slot(board, &attempt, end);
        let Some(request) = board.requests.get_mut(attempt.request) else { return };
        if request.state != RequestState::Running(key) {
            return;
        }
        request.state = RequestState::Pending;
        if request.attempts == 1 {
            self.retry.record_first_attempt(board.setting(SettingKey::RetryPercent, None));
        }
        match end {
            AttemptEnd::Whole { output, answer } => {
                complete(board, &attempt, key, output.as_ref(), answer.as_ref());
            }
            AttemptEnd::NotSent { detail } | AttemptEnd::Refused { detail } => {
                self.handle_failure(board, &attempt, detail, false);
            }
            AttemptEnd::Broken { detail } => self.handle_failure(board, &attempt, detail, true),
            AttemptEnd::Cancelled => cancel(board, attempt.request),
        }
    }

    fn handle_failure(
        &mut self,
        board: &mut Board,
        attempt: &Attempt,
        detail: &str,
        may_have_run: bool,
    ) {
        board.counters.failures += 1;
        let key = attempt.request;
        let Some(request) = board.requests.get_mut(key) else { return };
        request.maybe_ran |= may_have_run;
        if let AttemptTarget::Upstream(upstream) = attempt.target {
            request.avoid = Some(upstream);
        }
        let trace = request.trace.clone();
        board.note(EventKind::AttemptFailed, trace, detail);
        if let Some(delay) = self.retry_delay(board, attempt) {
            board.defer_request(key, board.now.mono + delay);
            return;
        }
        fail(board, key, detail);
    }

    fn retry_delay(&mut self, board: &mut Board, attempt: &Attempt) -> Option<Millis> {
        let request = board.requests.get(attempt.request)?;
        if !may_retry(request, attempt) {
            return None;
        }
        if request.call.is_some() {
            return forward_retry_delay(board, request);
        }
        let context = RetryContext {
            attempts: request.attempts,
            max_attempts: u32::try_from(board.setting(SettingKey::Attempts, None)).unwrap_or(1),
            retry_percent: board.setting(SettingKey::RetryPercent, None),
            time_left: request.deadline.since(board.now.mono),
        };
        self.retry.next_delay(context, &mut board.rng)
    }
}

/// Returns the delay before a call is forwarded again, or `None` when its leader was not found
/// within [`LEADER_TIMEOUT`].
fn forward_retry_delay(board: &Board, request: &Request) -> Option<Millis> {
    const MAX_DOUBLINGS: u32 = 3;
    let waited = board.now.mono.since(request.arrived);
    let delay = Millis(LEADER_POLL_INTERVAL.0 << request.attempts.min(MAX_DOUBLINGS));
    (waited + delay < LEADER_TIMEOUT).then_some(delay)
}

/// Returns whether a request may be sent again after a failed attempt.
///
/// A call that another host decides may be repeated until the caller has been sent a part of the
/// answer: the deciding host recognizes it by its key or its cursor.
fn may_retry(request: &Request, attempt: &Attempt) -> bool {
    if request.call.is_some() && matches!(attempt.target, AttemptTarget::Host(_)) {
        return request.tokens_sent == 0;
    }
    request.idempotent || !request.maybe_ran
}

/// Releases the upstream's slot, and records its latency or delays its next request.
fn release_slot(board: &mut Board, attempt: &Attempt, end: &AttemptEnd) {
    let AttemptTarget::Upstream(key) = attempt.target else { return };
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    upstream.in_flight = upstream.in_flight.saturating_sub(1);
    let service = &mut board.services[upstream.service];
    if attempt.class == Class::Rollout {
        service.rollout_running = service.rollout_running.saturating_sub(1);
    }
    match end {
        AttemptEnd::Whole { .. } => upstream.record_latency(now.since(attempt.started)),
        AttemptEnd::NotSent { .. } => upstream.cooldown_until = now + RETRY_DELAY,
        _ => {}
    }
}

fn complete(
    board: &mut Board,
    attempt: &Attempt,
    key: AttemptKey,
    output: Option<&Arc<Output>>,
    answer: Option<&RecordedAnswer>,
) {
    let Some(request) = board.requests.get(attempt.request) else { return };
    if let (Some(intent), Some(answer)) = (request.intent.clone(), answer) {
        record_answer(board, intent, answer);
        return;
    }
    let Some(request) = board.remove_request(attempt.request) else { return };
    match request.origin {
        Origin::Exchange(tag) => {
            board.counters.answered += 1;
            let took = board.now.mono.since(request.arrived);
            board.note(EventKind::Answered, request.trace, format!("after {} ms", took.0));
            board.actions.push(Action::Finish { tag, attempt: key });
        }
        Origin::Sample(job, leader) => {
            let missing = || "the engine reported no weight version for some tokens".into();
            let output = output.filter(|output| output.oldest_version().is_some());
            let output = output.cloned().ok_or_else(missing);
            board.work.report(leader, &job, output);
        }
    }
}

/// Hands the answer of a recorded request to the log; the caller gets it once it is committed.
fn record_answer(board: &mut Board, intent: IntentKey, answer: &RecordedAnswer) {
    let outcome = Outcome::Answered {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: Arc::clone(&answer.body),
    };
    board.work.conclusions.insert(intent, outcome);
}

fn is_forwarded(board: &Board, key: RequestKey) -> bool {
    board.requests.get(key).is_some_and(|request| request.call.is_some())
}

/// Ends a request whose attempt was cancelled because no caller waits for the answer.
fn cancel(board: &mut Board, key: RequestKey) {
    let Some(request) = board.remove_request(key) else { return };
    if let Some(intent) = request.intent {
        board.work.conclusions.entry(intent).or_insert(Outcome::Unknown);
    }
    board.note(EventKind::CallerGone, request.trace, "the attempt was cancelled");
}

/// Ends a request that is not sent again, with an error that says whether it may have run.
fn fail(board: &mut Board, key: RequestKey, detail: &str) {
    let Some(request) = board.requests.get(key) else { return };
    let (maybe_ran, idempotent) = (request.maybe_ran, request.idempotent);
    if let Some(intent) = request.intent.clone() {
        let outcome = if maybe_ran { Outcome::Unknown } else { Outcome::NotRun };
        board.work.conclusions.insert(intent, outcome);
        if maybe_ran {
            return;
        }
    }
    let forwarded = is_forwarded(board, key);
    let problem = match (maybe_ran, idempotent) {
        (false, _) if forwarded => {
            Problem::not_run(ErrorKind::HomeUnreachable, detail).retry_after(RETRY_DELAY)
        }
        (true, false) => Problem::unknown(detail),
        (true, true) => Problem::not_run(ErrorKind::UpstreamFailed, detail).ran(Ran::Unknown),
        (false, _) => Problem::not_run(ErrorKind::UpstreamFailed, detail).retry_after(RETRY_DELAY),
    };
    board.fail_request(key, problem);
}
