//! How requests end without a successful answer: with a failure held from an upstream, or refused.

use super::remove_request;
use crate::error::{ErrorKind, Problem, Ran};
use crate::gateway::action::Action;
use crate::gateway::board::{Board, Request};
use crate::key::RequestKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// A request may wait for a free upstream for its latency objective divided by this number. A caller
/// that is rejected within that time can still be served in time elsewhere.
pub(super) const MAX_WAIT_DIVISOR: u64 = 4;

/// The delay after which a rejected caller may retry.
const CALLER_RETRY_DELAY: Millis = Millis(150);

/// The longest delay after which a caller may retry whose upstreams have all ended; their successors
/// may announce themselves at any time.
const MAX_CALLER_RETRY_DELAY: Millis = Millis(1_000);

pub(super) fn deliver_held(board: &mut Board, key: RequestKey) {
    let Some(request) = remove_request(board, key) else { return };
    board.counters.delivered += 1;
    let detail = format!("attempts={} held: {}", request.attempts, request.last_failure);
    board.note(EventKind::Answered, request.trace, detail);
    board.actions.push(Action::Deliver { tag: request.tag });
}

/// Ends a request without a successful answer: delivers the failure response held from an upstream
/// if there is one, and rejects the request otherwise.
pub(super) fn fail(board: &mut Board, key: RequestKey) {
    if board.requests.get(key).is_some_and(|request| request.held) {
        deliver_held(board, key);
        return;
    }
    let Some(request) = board.requests.get(key) else { return };
    let delay = retry_delay(board, &request.service);
    fail_after(board, key, delay);
}

/// Rejects a request whose caller may come back after a delay if the request has not run.
pub(super) fn fail_after(board: &mut Board, key: RequestKey, delay: Millis) {
    let Some(request) = remove_request(board, key) else { return };
    let now = board.now.mono;
    let detail = format!(
        "service={} attempts={} held_ms={} {}",
        request.service,
        request.attempts,
        now.since(request.opened).0,
        request.last_failure
    );
    let problem = if !request.maybe_ran {
        Problem::not_run(ErrorKind::Unavailable, detail).retry_after(delay)
    } else if now >= request.until {
        Problem::not_run(ErrorKind::DeadlineExceeded, detail).ran(Ran::Unknown)
    } else {
        Problem::unknown(detail)
    };
    board.reject(request.tag, &request.trace, problem);
}

pub(super) fn is_quarantined(board: &Board, request: &Request) -> bool {
    board.suspects.quarantined_until(request.fingerprint, board.now.mono).is_some()
}

/// Ends a request under which too many upstreams ended.
pub(super) fn refuse(board: &mut Board, key: RequestKey) {
    let (now, request) = (board.now.mono, &board.requests[key]);
    let (fingerprint, ran) = (request.fingerprint, request.maybe_ran);
    board.counters.quarantined += 1;
    if request.held {
        deliver_held(board, key);
        return;
    }
    let Some(request) = remove_request(board, key) else { return };
    let until = board.suspects.quarantined_until(fingerprint, now).unwrap_or(now);
    let crashes = board.suspects.crashes(fingerprint, now);
    let detail = format!("quarantined fingerprint={fingerprint} crashes={crashes}");
    let problem = if ran {
        Problem::unknown(detail)
    } else {
        Problem::not_run(ErrorKind::Unavailable, detail).retry_after(until.since(now))
    };
    board.reject(request.tag, &request.trace, problem);
}

/// Returns until when no upstream of a service that this host knows is usable, as all of them leave,
/// are gone or have ended; `None` if one is usable or none is known.
///
/// The time is that of the first end to be forgotten; without any, it is the longest time.
fn unusable_until(board: &Board, service: &str) -> Option<Millis> {
    let now = board.now.mono;
    let mut first = None;
    for upstream in board.upstreams.values() {
        if *upstream.announced.service != *service {
            continue;
        }
        let until =
            if upstream.accepts_requests() { upstream.ended_until(now)? } else { Millis::MAX };
        first = Some(first.map_or(until, |first: Millis| first.min(until)));
    }
    first
}

/// Returns the delay after which a rejected caller may retry.
fn retry_delay(board: &Board, service: &str) -> Millis {
    match unusable_until(board, service) {
        Some(until) if until < Millis::MAX => {
            until.since(board.now.mono).clamp(CALLER_RETRY_DELAY, MAX_CALLER_RETRY_DELAY)
        }
        _ => CALLER_RETRY_DELAY,
    }
}

/// Ends a request that has waited too long for a free upstream, or waits for none.
pub(super) fn fail_after_max_wait(board: &mut Board, key: RequestKey) {
    let request = &board.requests[key];
    if let Some(until) = unusable_until(board, &request.service) {
        let request = &mut board.requests[key];
        if request.last_failure.is_empty() {
            let all_leave = until == Millis::MAX;
            let failure = if all_leave { "all upstreams leave" } else { "all upstreams ended" };
            request.last_failure = failure.into();
        }
        fail(board, key);
        return;
    }
    let waited = board.now.mono.since(request.opened);
    if waited.0 * MAX_WAIT_DIVISOR >= request.route.latency_objective.0 {
        let request = &mut board.requests[key];
        if request.last_failure.is_empty() {
            request.last_failure = "no free upstream".into();
        }
        fail(board, key);
    }
}
