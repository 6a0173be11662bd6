//! Requests that exceed the limits of the upstreams that could run them.

use super::endings::{MAX_WAIT_DIVISOR, deliver_held, fail_after};
use crate::gateway::board::{Board, MAX_RETURN_TIME, Upstream};
use crate::gateway::controller::candidates::usable;
use crate::gateway::rate::{MICROS_PER_REQUEST, RequestRate};
use crate::key::RequestKey;
use crate::time::Millis;

/// Asks for a permit for a request that no upstream can take now, if upstreams with a limit could.
///
/// Returns `false` if only these could, and none of them has a permit in the time of the request.
pub(super) fn ask_for_permit(board: &mut Board, key: RequestKey) -> bool {
    if !board.has_limits {
        return true;
    }
    let now = board.now.mono;
    let request = &board.requests[key];
    let is_limited = |(_, upstream): (_, &Upstream)| upstream.rate_limit().is_some();
    if !usable(board, &request.service).any(is_limited) {
        return true;
    }
    // Others without a limit are busy now and may be free soon.
    let has_others = !usable(board, &request.service).all(is_limited);
    let max_wait = Millis(request.route.latency_objective.0 / MAX_WAIT_DIVISOR);
    let (service, priority) = (request.service.clone(), request.priority);
    let until = request.until.min(request.opened + max_wait);
    let wait = board.quota_waits.entry(service).or_default();
    if now < wait.refused_until {
        return has_others;
    }
    let is_first = wait.waiting == 0;
    wait.priority = if is_first { priority } else { wait.priority.min(priority) };
    wait.until = if is_first { until } else { wait.until.max(until) };
    wait.waiting += 1;
    true
}

/// Refuses a request for which there is no permit in its time, and tells its caller when there may be.
pub(super) fn refuse_over_limit(board: &mut Board, key: RequestKey) {
    let request = &board.requests[key];
    if request.held {
        deliver_held(board, key);
        return;
    }
    let (now, service) = (board.now.mono, request.service.clone());
    let rates = usable(board, &service).filter_map(|(_, upstream)| upstream.rate_limit());
    let rate = RequestRate(rates.map(|rate| rate.0).sum());
    let wait = board.quota_waits.entry(service).or_default();
    let each = rate.time_for(MICROS_PER_REQUEST);
    let at = wait.refused_until.max(wait.next_return + each).min(now + MAX_RETURN_TIME);
    wait.next_return = at;
    board.counters.over_limit += 1;
    let request = &mut board.requests[key];
    if request.last_failure.is_empty() {
        request.last_failure = format!("over the limits of the upstreams: {rate} in all").into();
    }
    fail_after(board, key, at.since(now));
}
