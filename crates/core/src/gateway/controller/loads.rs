//! Loads: on the leader, orders engines to load the named weight versions.
//!
//! Reads: ended orders, `holder_lease`, `group` (named versions), `jobs`, `upstreams`, `routing`, the
//! clock.
//! Writes: `orders`, `upstreams` (load state), `load_time`, `counters`, `actions`.
//!
//! Only the host that holds the lease sends orders. A version goes first to the engines that are
//! furthest behind, a few at a time, so that the others continue to run under weights that jobs still
//! accept. A model that too few engines can run for its jobs goes before all others.

mod due;

use self::due::{DueLoad, due_loads};
use super::Controller;
use crate::directory::{Route, ServiceSpec};
use crate::gateway::action::{Action, Order};
use crate::gateway::board::{Board, WeightLoad};
use crate::gateway::event::{Event, OrderEnd};
use crate::gateway::lease::HolderLease;
use crate::key::OrderKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The time that an announcement takes to this host at most.
const ANNOUNCEMENT_MARGIN: Millis = Millis(300);

/// How long an order may stay unanswered: the shell's own time-out, and a margin.
const ORDER_TIMEOUT: Millis = Millis(4_000);

/// The delay before an engine is sent another order after a failed one.
const ORDER_RETRY_DELAY: Millis = Millis(700);

/// The delay before the next try to order an engine whose limit is reached.
const ADMISSION_INTERVAL: Millis = Millis(100);

/// The least time between two checks for engines to order: each looks at every model on every engine.
const CHECK_INTERVAL: Millis = Millis(50);

/// Orders engines to load weight versions.
#[derive(Debug, Default)]
pub(super) struct Loads {
    /// When the next check is due; an ended order brings it forward.
    next_check: Millis,
    /// Whether a check was left out since the last one.
    is_check_left_out: bool,
}

impl Controller for Loads {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::OrderEnded { order, end }) = event {
            handle_order_ended(board, *order, end);
            self.next_check = Millis(0);
        }
        self.is_check_left_out = board.now.mono < self.next_check;
        if self.is_check_left_out {
            return;
        }
        self.next_check = board.now.mono + CHECK_INTERVAL;
        finish_loads(board);
        if board.holder_lease.is_none() {
            return;
        }
        let Some(routing) = board.routing.clone() else { return };
        for service in &routing.services {
            order_due_loads(board, service, &routing.routes);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let now = board.now.mono;
        let mut next = if self.is_check_left_out { self.next_check } else { Millis::MAX };
        for upstream in board.upstreams.values() {
            if let Some(load) = &upstream.load.loading {
                next = next.min(load.until);
            }
            if upstream.load.retry_at > now {
                next = next.min(upstream.load.retry_at);
            }
        }
        next
    }
}

fn handle_order_ended(board: &mut Board, key: OrderKey, end: &OrderEnd) {
    let Some(order) = board.orders.remove(key) else { return };
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(order.upstream) else { return };
    let load = &mut upstream.load;
    load.pending = None;
    match end {
        OrderEnd::Begun { orders } => {
            load.orders = Some(*orders);
            let (model, version) = (order.model.clone(), order.version);
            let until = now + board.load_time.get();
            load.loading = Some(WeightLoad { model, version, since: now, until, is_late: false });
            load.unannounced = None;
        }
        OrderEnd::Holds { orders } => {
            load.orders = *orders;
            load.confirm(&order.model, order.version);
        }
        OrderEnd::Conflict { orders } => {
            load.orders = *orders;
            load.retry_at = now + ORDER_RETRY_DELAY;
        }
        OrderEnd::Refused { .. } | OrderEnd::Expired | OrderEnd::Leaving => {
            load.retry_at = now + ORDER_RETRY_DELAY;
        }
        OrderEnd::Unknown { .. } => {
            load.orders = None;
            load.retry_at = now + ORDER_RETRY_DELAY;
        }
    }
    let took = now.since(order.sent).0;
    let detail =
        format!("model={} version={} took_ms={took} end={end:?}", order.model, order.version);
    let id = upstream.announced.id.clone();
    board.note(EventKind::OrderEnded, id, detail);
}

/// Ends the loads that are announced as done or whose time has passed, and the orders that got no
/// answer.
fn finish_loads(board: &mut Board) {
    let now = board.now.mono;
    // An announcement is this late at most, with a margin for its way here.
    let delay = board.cfg.times.announce_interval + ANNOUNCEMENT_MARGIN;
    for upstream in board.upstreams.values_mut() {
        if let Some(load) = &upstream.load.unannounced
            && upstream.announced.version_of(&load.model) >= load.version
        {
            let took = now.since(load.since);
            if took > board.load_time.get() + delay {
                board.load_time.record_finished(took, true);
            }
            upstream.load.unannounced = None;
        }
        let Some(load) = &upstream.load.loading else { continue };
        let is_announced = upstream.version_of(&load.model) >= load.version;
        if is_announced {
            board.load_time.record_finished(now.since(load.since), load.is_late);
        }
        if is_announced || now >= load.until {
            upstream.load.finish(is_announced);
        }
    }
    let expired: Vec<OrderKey> = board
        .orders
        .iter()
        .filter(|(_, order)| now.since(order.sent) > ORDER_TIMEOUT)
        .map(|(key, _)| key)
        .collect();
    for key in expired {
        handle_order_ended(
            board,
            key,
            &OrderEnd::Unknown { detail: "no report from the shell in time".into() },
        );
    }
}

fn order_due_loads(board: &mut Board, service: &ServiceSpec, routes: &[Route]) {
    let serves = |route: &Route| route.targets.iter().any(|t| t.service == service.name);
    let single_version = routes.iter().any(|route| route.single_version && serves(route));
    for due in due_loads(board, service) {
        send_order(board, &due, single_version);
    }
}

fn send_order(board: &mut Board, due: &DueLoad, runs_end_first: bool) {
    let now = board.now;
    let (key, model, version) = (due.key, &*due.model, due.version);
    let Some(HolderLease { fence, valid_until }) = board.holder_lease else { return };
    let Some(admission) = board.admit_order(key) else {
        board.upstreams[key].load.retry_at = now.mono + ADMISSION_INTERVAL;
        return;
    };
    let order_key = board.begin_order(admission, model, version);
    let upstream = &board.upstreams[key];
    let order = Order {
        order: order_key,
        upstream: upstream.address(key),
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
