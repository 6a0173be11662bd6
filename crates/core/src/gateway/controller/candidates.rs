//! The upstreams of plain services: which of them a request may be sent to, and what the end of an
//! attempt says about its upstream. Callers' requests and reward calls share these rules.

pub(super) mod speeds;

use rand::Rng;

use self::speeds::Speeds;
use super::registry;
use crate::directory::Route;
use crate::gateway::board::{Attempt, Board, LinkState, Upstream};
use crate::gateway::event::ForwardEnd;
use crate::gateway::policy::UpstreamCandidate;
use crate::key::UpstreamKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The time limit of a new connection to an upstream: a round trip between regions, and a margin.
pub(super) const CONNECT_TIMEOUT: Millis = Millis(300);

/// The first HTTP status of an error.
const FIRST_ERROR_STATUS: u16 = 400;

/// Draws the service of a request at random, by the weights of the route's targets.
pub(super) fn draw_service(board: &mut Board, route: &Route) -> Box<str> {
    let sum: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut drawn = board.rng.random_range(0..sum.max(1));
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if drawn < weight {
            return target.service.clone();
        }
        drawn -= weight;
    }
    Box::default()
}

/// Returns the upstreams of a service that accept requests, have not ended, and may be sent one more
/// within their limits, over a relayed connection or over own links.
pub(super) fn candidates(
    board: &Board,
    service: &str,
    is_tried: impl Fn(UpstreamKey) -> bool,
    relayed: bool,
) -> Vec<UpstreamCandidate> {
    let now = board.now.mono;
    let contacts = board.live_contacts();
    let speeds = board.cfg.learned_capacity.then(|| Speeds::new(board, service));
    let mut candidates = Vec::new();
    for (key, upstream) in usable(board, service) {
        if !board.may_send(key) {
            continue;
        }
        candidates.push(UpstreamCandidate {
            key,
            distance: board.cfg.distance(&upstream.announced.zone),
            in_flight: upstream.in_flight,
            slots: upstream.request_slots(speeds.is_some(), now),
            response_time_us: match &speeds {
                Some(speeds) => speeds.response_time_us(board, upstream),
                None => upstream.health.response_time_us,
            },
            slow: speeds.as_ref().is_some_and(|speeds| speeds.is_slow(key)),
            tried: is_tried(key),
            avoided: if relayed {
                upstream.is_avoided_over_relays(now)
            } else {
                upstream.is_avoided(now)
            },
            silent: registry::is_silent(board, &contacts, upstream),
        });
    }
    candidates
}

/// Returns the upstreams of a service that accept requests and have not ended, whether or not their
/// limits are reached.
pub(super) fn usable<'a>(
    board: &'a Board,
    service: &'a str,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
    let now = board.now.mono;
    board.upstreams.iter().filter(move |(_, upstream)| {
        *upstream.announced.service == *service
            && upstream.accepts_requests()
            && upstream.ended_until(now).is_none()
    })
}

/// Records what the end of an attempt says about its upstream.
pub(super) fn record_end(board: &mut Board, attempt: &Attempt, end: &ForwardEnd) {
    let now = board.now.mono;
    let took = now.since(attempt.started);
    if let ForwardEnd::UpstreamEnded { .. } = end {
        board.counters.upstreams_ended += 1;
    }
    let learned = board.cfg.learned_capacity;
    let Some(upstream) = board.upstreams.get_mut(attempt.upstream) else { return };
    if let ForwardEnd::ConnectRefused { .. } | ForwardEnd::UpstreamEnded { .. } = end {
        upstream.record_end(now);
    }
    match end {
        ForwardEnd::Delivered { status } | ForwardEnd::Begun { status } => {
            if *status < FIRST_ERROR_STATUS {
                upstream.record_response(now, took);
            }
            // With learned capacity, a quick error is no sign of speed.
            if *status < FIRST_ERROR_STATUS || !learned {
                upstream.health.record_success(took);
            } else {
                upstream.health.record_answer();
            }
        }
        ForwardEnd::NotRun { other_instance: true, .. } => {
            upstream.gone = true;
            let (id, address) = (upstream.announced.id.clone(), upstream.announced.address.clone());
            let detail = format!("another upstream answers at {address}");
            board.note(EventKind::UpstreamLeft, id, detail);
        }
        ForwardEnd::NotSent { .. } if !attempt.relayed => upstream.link_health.record_failure(now),
        ForwardEnd::NotSent { .. }
        | ForwardEnd::Held { .. }
        | ForwardEnd::NotRun { .. }
        | ForwardEnd::ConnectRefused { .. }
        | ForwardEnd::Broken { .. }
        | ForwardEnd::UpstreamEnded { .. } => upstream.health.record_failure(now),
    }
    speeds::report_if_slow(board, attempt.upstream);
}

/// Records that a request was taken away from an upstream after the given time without an answer.
///
/// Nothing is held against it while connections over this host's own links fail.
pub(super) fn record_move(board: &mut Board, attempt: &Attempt, took: Millis) {
    let (now, key) = (board.now.mono, attempt.upstream);
    if board.reach.state() != LinkState::Sound && !attempt.relayed {
        return;
    }
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    upstream.health.record_failure(now);
    upstream.record_response(now, took);
    if board.cfg.learned_capacity {
        upstream.health.record_response_time(took);
    }
    speeds::report_if_slow(board, key);
}
