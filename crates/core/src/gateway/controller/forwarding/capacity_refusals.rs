//! Requests that cannot be served in time at the learned capacity.

use super::endings::{MAX_WAIT_DIVISOR, fail_after};
use crate::gateway::board::{Board, Request, RequestState};
use crate::gateway::capacity::median_us;
use crate::gateway::controller::access;
use crate::gateway::controller::candidates::usable;
use crate::key::RequestKey;
use crate::time::Millis;

/// The shortest and the longest delay after which a refused caller may retry.
const RETRY_DELAYS: (Millis, Millis) = (Millis(150), Millis(1_000));

/// Refuses a request that no upstream can take now, if it could not be served in time either once
/// the requests before it have ended. Returns whether it did.
pub(super) fn refuse_over_capacity(board: &mut Board, key: RequestKey) -> bool {
    let Some(wait) = wait_beyond_limit(board, key) else { return false };
    board.counters.over_capacity += 1;
    let request = &mut board.requests[key];
    request.last_failure = format!("over the learned capacity: expected_wait_ms={}", wait.0).into();
    fail_after(board, key, wait.clamp(RETRY_DELAYS.0, RETRY_DELAYS.1));
    true
}

/// Returns how long a request would wait for an upstream, if that is too long for it.
///
/// An upstream with room, which is one with less than half of its slots taken or with a free slot
/// within its learned limit, or one of unknown speed excludes a refusal.
fn wait_beyond_limit(board: &Board, key: RequestKey) -> Option<Millis> {
    let (now, request) = (board.now.mono, &board.requests[key]);
    if !board.cfg.learned_capacity || request.attempts > 0 || request.held {
        return None;
    }
    let (mut ends_per_ks, mut times_us) = (0, Vec::new());
    for (_, upstream) in usable(board, &request.service) {
        let time_us = upstream.request_capacity.unit_time_us(now);
        if upstream.in_flight < upstream.request_slots(true, now) || time_us == 0 {
            return None;
        }
        ends_per_ks += u64::from(upstream.in_flight) * 1_000_000_000 / time_us;
        times_us.push(time_us);
    }
    if ends_per_ks == 0 {
        return None;
    }
    let has_workspaces = access::has_workspaces(board);
    let place = |request: &Request| {
        let priority = if has_workspaces { request.priority } else { 0 };
        (priority, request.opened, request.tag)
    };
    let is_ahead = |other: &&Request| {
        other.state == RequestState::Waiting
            && other.service == request.service
            && place(other) <= place(request)
    };
    let ahead = board.requests.values().filter(is_ahead).count() as u64;
    let wait = Millis(ahead * 1_000_000 / ends_per_ks);
    let longest = Millis(request.route.latency_objective.0 / MAX_WAIT_DIVISOR);
    let is_in_time = now + wait <= request.opened + longest
        && now + wait + Millis(median_us(times_us) / 1_000) <= request.until;
    (!is_in_time).then_some(wait)
}
