//! Loads: on the leader, orders engines to load the named weight versions.
//!
//! Reads: ended orders, `group` (named versions), `jobs`, `upstreams`, `routing`, the clock.
//! Writes: `orders`, `upstreams` (load state), `actions`.
//!
//! Only one host orders: the leader, once it has led for longer than the orders of the one before
//! can count, and only under its lease. A version goes to the engines that are furthest behind first,
//! a few at a time, so that the others go on under weights that jobs still take.

use std::cmp::Reverse;

use super::Controller;
use crate::directory::{Route, ServiceSpec};
use crate::gateway::action::{Action, Order, UpstreamAddress};
use crate::gateway::board::{Board, PendingOrder};
use crate::gateway::event::{Event, OrderEnd};
use crate::key::{OrderKey, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The share of a service's engines that load at a time, as a divisor: more of them slow each other
/// down at the weight store.
const LOADING_DIVISOR: usize = 5;

/// How long a load takes; afterwards the engine is tried, and says so itself where it is not done.
const LOAD_TIME: Millis = Millis(1_000);

/// How long an order may stay unanswered: the shell's own time-out, and slack.
const ORDER_LOST: Millis = Millis(4_000);

/// How long an engine is left alone after an order that failed.
const ORDER_REST: Millis = Millis(700);

/// How much longer than the orders' lease a new leader waits before its first order, for orders
/// that are still on their way.
const ORDER_SLACK: Millis = Millis(300);

/// Orders loads.
#[derive(Debug)]
pub(super) struct Loads;

impl Controller for Loads {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::OrderEnded { order, end }) = event {
            ended(board, *order, end);
        }
        finish_loads(board);
        if !may_order(board) {
            return;
        }
        let Some(routing) = board.routing.clone() else { return };
        for service in &routing.services {
            order_service(board, service, &routing.routes);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let now = board.now.mono;
        let mut next = Millis::MAX;
        for upstream in board.upstreams.values() {
            if let Some((_, _, since)) = &upstream.load.loading {
                next = next.min(*since + LOAD_TIME);
            }
            if upstream.load.retry_at > now {
                next = next.min(upstream.load.retry_at);
            }
        }
        match board.group.as_ref().and_then(|group| group.replica.leads_since()) {
            Some(since) if since + order_wait(board) > now => next.min(since + order_wait(board)),
            _ => next,
        }
    }
}

fn order_wait(board: &Board) -> Millis {
    board.cfg.bounds.order_lease + ORDER_SLACK
}

fn may_order(board: &Board) -> bool {
    let Some(group) = &board.group else { return false };
    let since = group.replica.leads_since();
    let waited = since.is_some_and(|since| board.now.mono >= since + order_wait(board));
    waited && board.leads() && board.draining.is_none()
}

fn ended(board: &mut Board, key: OrderKey, end: &OrderEnd) {
    let Some(order) = board.orders.remove(key) else { return };
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(order.upstream) else { return };
    let load = &mut upstream.load;
    load.pending = None;
    match end {
        OrderEnd::Begun { orders } => {
            load.orders = Some(*orders);
            load.loading = Some((order.model.clone(), order.version, now));
        }
        OrderEnd::Holds { orders } => {
            load.orders = *orders;
            load.confirm(&order.model, order.version);
        }
        OrderEnd::Conflict { orders } => {
            load.orders = *orders;
            load.retry_at = now + ORDER_REST;
        }
        OrderEnd::Refused { .. } | OrderEnd::Expired => load.retry_at = now + ORDER_REST,
        OrderEnd::Unknown { .. } => {
            load.orders = None;
            load.retry_at = now + ORDER_REST;
        }
    }
    let took = now.since(order.sent).0;
    let detail =
        format!("model={} version={} took_ms={took} end={end:?}", order.model, order.version);
    let id = upstream.announced.id.clone();
    board.note(EventKind::OrderEnded, id, detail);
}

/// Ends loads that are announced as done or have had the time that they take.
fn finish_loads(board: &mut Board) {
    let now = board.now.mono;
    for upstream in board.upstreams.values_mut() {
        let Some((model, version, since)) = upstream.load.loading.clone() else { continue };
        let announced = upstream.version_of(&model) >= version;
        if announced || now >= since + LOAD_TIME {
            upstream.load.loading = None;
            upstream.load.confirm(&model, version);
        }
    }
    let lost: Vec<OrderKey> = board
        .orders
        .iter()
        .filter(|(_, order)| now.since(order.sent) > ORDER_LOST)
        .map(|(key, _)| key)
        .collect();
    for key in lost {
        ended(board, key, &OrderEnd::Unknown { detail: "no report from the shell".into() });
    }
}

/// An engine that is to load a version.
struct Due {
    /// Versions behind the named one.
    behind: u64,
    in_flight: u32,
    key: UpstreamKey,
    model: Box<str>,
    version: u64,
}

fn order_service(board: &mut Board, service: &ServiceSpec, routes: &[Route]) {
    let serves = |route: &Route| route.targets.iter().any(|t| t.service == service.name);
    let single = routes.iter().any(|route| route.single_version && serves(route));
    for due in due_engines(board, service) {
        give(board, &due, single);
    }
}

/// Returns the engines of a service that are to be ordered now, one model each: those that are
/// furthest behind first, and of those the idlest.
///
/// An engine that is one version behind still runs the jobs of the newest, so it waits for those of
/// every model that are further behind.
fn due_engines(board: &Board, service: &ServiceSpec) -> Vec<Due> {
    let Some(group) = &board.group else { return Vec::new() };
    let models = service.engine.iter().flat_map(|engine| &engine.models);
    let named: Vec<(&str, u64)> = models
        .map(|model| (&**model, group.directory.named_version(model)))
        .filter(|(_, version)| *version > 0)
        .collect();
    let now = board.now.mono;
    let (mut count, mut busy, mut due) = (0, 0, Vec::new());
    for (key, upstream) in &board.upstreams {
        if upstream.announced.service != service.name || !upstream.takes_work() {
            continue;
        }
        count += 1;
        if upstream.load.is_busy() {
            busy += 1;
            continue;
        }
        let lags = named.iter().map(|(model, version)| {
            (version.saturating_sub(upstream.version_of(model)), *model, *version)
        });
        let furthest = lags.max_by_key(|(behind, ..)| *behind);
        let Some((behind, model, version)) = furthest.filter(|(behind, ..)| *behind > 0) else {
            continue;
        };
        if now >= upstream.load.retry_at {
            let (in_flight, model) = (upstream.in_flight, model.into());
            due.push(Due { behind, in_flight, key, model, version });
        }
    }
    let at_once = ((count + LOADING_DIVISOR / 2) / LOADING_DIVISOR).max(1);
    due.sort_by_key(|due| (Reverse(due.behind), due.in_flight, due.key));
    due.truncate(at_once.saturating_sub(busy));
    due
}

fn give(board: &mut Board, due: &Due, runs_end_first: bool) {
    let now = board.now;
    let (key, model, version) = (due.key, &*due.model, due.version);
    let Some(group) = &board.group else { return };
    let Some(valid_until) = group.replica.lease_end(now) else { return };
    let fence = group.replica.fence();
    let pending = PendingOrder { upstream: key, model: model.into(), version, sent: now.mono };
    let order_key = board.orders.insert(pending);
    let upstream = &mut board.upstreams[key];
    upstream.load.pending = Some((order_key, model.into()));
    let order = Order {
        order: order_key,
        upstream: UpstreamAddress {
            id: upstream.announced.id.clone(),
            address: upstream.announced.address.clone(),
        },
        model: model.into(),
        version,
        runs_end_first,
        holder: board.cfg.name.clone(),
        fence,
        orders_before: upstream.load.orders,
        valid_until,
    };
    let detail = format!(
        "model={model} version={version} runs={} fence={fence} orders_before={:?} \
         lease_left_ms={}",
        upstream.version_of(model),
        upstream.load.orders,
        valid_until.since(now.mono).0
    );
    let id = upstream.announced.id.clone();
    board.counters.orders += 1;
    board.note(EventKind::Ordered, id, detail);
    board.actions.push(Action::Order(order));
}
