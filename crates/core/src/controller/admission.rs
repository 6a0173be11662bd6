//! Admission: takes in requests that may be repeated, or refuses them before they run.
//!
//! Reads: arrivals, `services`, `zones`, `in_force`, `ready`. Writes: `requests`, queues, `actions`.

use super::Controller;
use crate::board::{Board, Class, Origin, Request, Route, UpstreamState};
use crate::error::{ErrorKind, Problem};
use crate::event::{Arrival, Call, Event, RunCall};
use crate::fleet::SettingKey;
use crate::key::{ServiceKey, ZoneKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The hint to callers when to come again after a full queue.
const COME_AGAIN: Millis = Millis(1_000);

/// Admits requests.
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
        let problem = Problem::not_run(ErrorKind::NotReady, detail).retry_after(COME_AGAIN);
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    }
    let Some(route) = route(board, &arrival, call) else {
        let detail = format!("no upstream of {} is known in any zone", call.service);
        let problem = Problem::not_run(ErrorKind::UnknownService, detail);
        board.reject(arrival.tag, &arrival.trace, problem.retry_after(COME_AGAIN));
        return;
    };
    if route != Route::Upstream {
        board.forward_call(arrival, route);
        return;
    }
    let service = board.ensure_service(&call.service);
    if queue_is_full(board, service, &call.service) {
        let detail = format!("the queue of {} is full", call.service);
        let problem = Problem::not_run(ErrorKind::Overloaded, detail).retry_after(COME_AGAIN);
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

/// Chooses where a request goes: an upstream of this zone, or a host of a zone that has one.
fn route(board: &Board, arrival: &Arrival, call: &RunCall) -> Option<Route> {
    let here = board.service_key(&call.service).is_some_and(|key| has_upstream(board, key));
    if here {
        return Some(Route::Upstream);
    }
    if arrival.hops == 0
        && let Some(zone) = zone_with(board, &call.service)
    {
        return Some(Route::Zone(zone));
    }
    let known = board
        .service_key(&call.service)
        .is_some_and(|key| !board.services[key].upstreams.is_empty());
    known.then_some(Route::Upstream)
}

fn has_upstream(board: &Board, service: ServiceKey) -> bool {
    let up = |key| board.upstreams[key].state == UpstreamState::Up;
    board.services[service].upstreams.iter().any(|key| up(*key))
}

/// Returns the zone that reported the most upstreams of a service, other than this one.
pub(super) fn zone_with(board: &Board, service: &str) -> Option<ZoneKey> {
    let others = board.zones.iter().filter(|(key, _)| *key != board.my_zone);
    let offers = others.map(|(key, zone)| (zone.upstream_count(service), key));
    offers.filter(|(count, _)| *count > 0).max().map(|(_, key)| key)
}

fn queue_is_full(board: &Board, service: ServiceKey, name: &str) -> bool {
    let limit = board.setting(SettingKey::InteractiveQueue, Some(name));
    board.services[service].interactive.len() as u64 >= limit
}
