//! Admission: queues or forwards calls to services, or rejects them before they run.
//!
//! Reads: arrivals, `services`, `upstreams`, `zones`, `active_settings`, `ready`, `draining`.
//! Writes: `requests`, `services` (queues, `last_interactive`), `actions`.
//!
//! Admits idempotent calls and recorded non-idempotent ones that another host has granted to this
//! one. All other non-idempotent calls are recorded first, by the intents controller.

use super::Controller;
use crate::board::{Board, Class, Origin, Request, Route, UpstreamState};
use crate::error::{ErrorKind, Problem};
use crate::event::{Arrival, Call, Event, RunCall};
use crate::fleet::SettingKey;
use crate::key::{ServiceKey, ZoneKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// Retry hint to callers in errors that may soon pass, such as a full queue.
const RETRY_AFTER: Millis = Millis(1_000);

/// Admits calls to services.
#[derive(Debug)]
pub(super) struct Admission;

impl Controller for Admission {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for arrival in board.take_arrivals(|call| matches!(call, Call::Run(_))) {
            let Call::Run(call) = arrival.call.clone() else { continue };
            admit(board, arrival, &call);
        }
    }
}

fn admit(board: &mut Board, arrival: Arrival, call: &RunCall) {
    if !board.ready {
        let detail = if board.draining_since.is_some() { "stopping" } else { "starting" };
        let problem = Problem::not_run(ErrorKind::NotReady, detail).retry_after(RETRY_AFTER);
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    }
    let Some(route) = choose_route(board, &arrival, call) else {
        let detail = format!("no upstream of {} is known in any zone", call.service);
        let problem = Problem::not_run(ErrorKind::UnknownService, detail);
        board.reject(arrival.tag, &arrival.trace, problem.retry_after(RETRY_AFTER));
        return;
    };
    if route != Route::Upstream {
        board.forward_call(arrival, route);
        return;
    }
    let service = board.ensure_service(&call.service);
    if queue_is_full(board, service, &call.service) {
        let detail = format!("the queue of {} is full", call.service);
        let problem = Problem::not_run(ErrorKind::Overloaded, detail).retry_after(RETRY_AFTER);
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    }
    let deadline = board.deadline_of(&arrival, Some(&call.service));
    let trace = arrival.trace.clone();
    let request =
        Request::new(Origin::Exchange(arrival.tag), arrival.trace, board.now.mono, deadline)
            .service(service, Class::Interactive)
            .route(Route::Upstream)
            .idempotent(!arrival.granted)
            .hops(arrival.hops);
    board.services[service].last_interactive = Some(board.now.mono);
    let key = board.add_request(request);
    board.note(EventKind::Arrived, trace, format!("for {}", call.service));
    board.enqueue(key);
}

/// Returns where a call goes, or `None` when no known upstream can take it.
///
/// Upstreams of this zone that are up come first, then another zone, then upstreams of this zone
/// that are not up. A call that another host has forwarded stays in this zone.
fn choose_route(board: &Board, arrival: &Arrival, call: &RunCall) -> Option<Route> {
    let up_here = board.service_key(&call.service).is_some_and(|key| has_live_upstream(board, key));
    if up_here {
        return Some(Route::Upstream);
    }
    if arrival.hops == 0
        && let Some(zone) = zone_offering(board, &call.service)
    {
        return Some(Route::Zone(zone));
    }
    let known = board
        .service_key(&call.service)
        .is_some_and(|key| !board.services[key].upstreams.is_empty());
    known.then_some(Route::Upstream)
}

fn has_live_upstream(board: &Board, service: ServiceKey) -> bool {
    let up = |key| board.upstreams[key].state == UpstreamState::Up;
    board.services[service].upstreams.iter().any(|key| up(*key))
}

/// Returns the other zone that reports the most upstreams of a service, if any reports one.
pub(super) fn zone_offering(board: &Board, service: &str) -> Option<ZoneKey> {
    let others = board.zones.iter().filter(|(key, _)| *key != board.my_zone);
    let offers = others.map(|(key, zone)| (zone.upstream_count(service), key));
    offers.filter(|(count, _)| *count > 0).max().map(|(_, key)| key)
}

fn queue_is_full(board: &Board, service: ServiceKey, name: &str) -> bool {
    let limit = board.setting(SettingKey::InteractiveQueue, Some(name));
    board.services[service].interactive.len() as u64 >= limit
}
