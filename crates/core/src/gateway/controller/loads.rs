//! Loads: on the leader, orders engines to load the named weight versions.
//!
//! Reads: ended orders, `group` (named versions, orderer), `jobs`, `upstreams`, `routing`, the clock.
//! Writes: `orders`, `upstreams` (load state), `wishes`, `actions`.
//!
//! Only one host orders: the leader, under its lease, once the directory names it as the orderer. A
//! leader that is not yet named waits until the orders of the one before can't count any more; one
//! that leads again after a restart is still named. A version goes to the engines that are furthest
//! behind first, a few at a time, so that the others go on under weights that jobs still take; a
//! model that hardly an engine can run for its jobs goes before all others.

mod due;

use self::due::{Due, due_engines};
use super::Controller;
use crate::directory::{DirectoryCommand, Route, ServiceSpec};
use crate::gateway::action::{Action, Order, UpstreamAddress};
use crate::gateway::board::{Board, PendingOrder};
use crate::gateway::event::{Event, OrderEnd};
use crate::key::OrderKey;
use crate::time::Millis;
use crate::timeline::EventKind;

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
#[derive(Debug, Default)]
pub(super) struct Loads {
    /// The fencing number under which this host last asked to be the orderer.
    asked: u64,
}

impl Controller for Loads {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::OrderEnded { order, end }) = event {
            ended(board, *order, end);
        }
        finish_loads(board);
        if !self.may_order(board) {
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
        match order_from(board) {
            Some(from) if from > now => next.min(from),
            _ => next,
        }
    }
}

impl Loads {
    /// Tells whether this host may order now, and asks to be the orderer where it is time.
    fn may_order(&mut self, board: &mut Board) -> bool {
        let waited = order_from(board).is_some_and(|from| board.now.mono >= from);
        if !waited || !board.leads() || board.draining.is_some() {
            return false;
        }
        if is_orderer(board) {
            return true;
        }
        let fence = board.group.as_ref().map_or(0, |group| group.replica.fencing_token());
        if self.asked != fence {
            self.asked = fence;
            board.proposals.push((DirectoryCommand::SetOrderer { host: board.cfg.id }, None));
            board.another_round = true;
        }
        false
    }
}

fn is_orderer(board: &Board) -> bool {
    board.group.as_ref().is_some_and(|group| group.directory.orderer == Some(board.cfg.id))
}

/// Returns from when on this host may order, or ask to, where it leads.
fn order_from(board: &Board) -> Option<Millis> {
    let since = board.group.as_ref()?.replica.leader_since()?;
    let wait = board.cfg.times.order_lease + ORDER_SLACK;
    Some(if is_orderer(board) { since } else { since + wait })
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

fn order_service(board: &mut Board, service: &ServiceSpec, routes: &[Route]) {
    let serves = |route: &Route| route.targets.iter().any(|t| t.service == service.name);
    let single = routes.iter().any(|route| route.single_version && serves(route));
    for due in due_engines(board, service) {
        give(board, &due, single);
    }
}

fn give(board: &mut Board, due: &Due, runs_end_first: bool) {
    let now = board.now;
    let (key, model, version) = (due.key, &*due.model, due.version);
    let Some(group) = &board.group else { return };
    let Some(valid_until) = group.replica.lease_end(now) else { return };
    let fence = group.replica.fencing_token();
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
