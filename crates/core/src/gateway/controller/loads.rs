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

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::Controller;
use crate::directory::{DirectoryCommand, Route, ServiceSpec};
use crate::gateway::action::{Action, Order, UpstreamAddress};
use crate::gateway::board::{Board, PendingOrder, Upstream};
use crate::gateway::event::{Event, OrderEnd};
use crate::key::{OrderKey, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The share of a service's engines that load at a time, as a divisor: more of them slow each other
/// down at the weight store.
const LOADING_DIVISOR: usize = 5;

/// The share of a service's engines that are to run a model's jobs at least, as a divisor: two
/// models with a third each leave one for loads.
const SCARCE_DIVISOR: usize = 3;

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
        let fence = board.group.as_ref().map_or(0, |group| group.replica.fence());
        if self.asked != fence {
            self.asked = fence;
            board.wishes.push((DirectoryCommand::Orderer { host: board.cfg.id }, None));
            board.again = true;
        }
        false
    }
}

fn is_orderer(board: &Board) -> bool {
    board.group.as_ref().is_some_and(|group| group.directory.orderer == Some(board.cfg.id))
}

/// Returns from when on this host may order, or ask to, where it leads.
fn order_from(board: &Board) -> Option<Millis> {
    let since = board.group.as_ref()?.replica.leads_since()?;
    let wait = board.cfg.bounds.order_lease + ORDER_SLACK;
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

/// A model of a service with a version that was named.
struct Named<'a> {
    model: &'a str,
    version: u64,
    /// The oldest version that its open jobs take, where that is to be had at too few engines, and
    /// the number of those that have it or load it.
    scarce: Option<(u64, usize)>,
}

/// An engine that may load a version.
struct Due {
    /// The engines that can run the model's jobs, where those are too few and this is none of them.
    able: usize,
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

/// Returns the engines of a service that take work.
fn engines<'a>(
    board: &'a Board,
    service: &'a ServiceSpec,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
    let serves = |upstream: &Upstream| upstream.announced.service == service.name;
    board.upstreams.iter().filter(move |(_, upstream)| serves(upstream) && upstream.takes_work())
}

/// Returns the models of a service of which a version was named.
fn named_models<'a>(board: &'a Board, service: &'a ServiceSpec) -> Vec<Named<'a>> {
    let Some(group) = &board.group else { return Vec::new() };
    let models = service.engine.iter().flat_map(|engine| &engine.models);
    let named = models.map(|model| {
        let version = group.directory.named_version(model);
        Named { model, version, scarce: scarcity(board, service, model) }
    });
    named.filter(|named| named.version > 0).collect()
}

/// Returns the oldest version that the open jobs of a model take, and how many engines have it or
/// load the model, where those are too few.
fn scarcity(board: &Board, service: &ServiceSpec, model: &str) -> Option<(u64, usize)> {
    let jobs = board.jobs.values().filter(|job| job.spec.model.as_deref() == Some(model));
    let wanted = jobs.map(|job| job.spec.min_version).max()?;
    let (mut count, mut able) = (0, 0);
    for (_, upstream) in engines(board, service) {
        count += 1;
        able += usize::from(upstream.version_of(model) >= wanted || upstream.load.blocks(model));
    }
    (able * SCARCE_DIVISOR < count).then_some((wanted, able))
}

/// Returns the engines of a service that are to be ordered now, one model each: those that a model
/// lacks for its jobs, then those that are furthest behind, and of those the idlest.
///
/// An engine that is one version behind still runs the jobs of the newest, so it waits for those of
/// every model that are further behind.
fn due_engines(board: &Board, service: &ServiceSpec) -> Vec<Due> {
    let models = named_models(board, service);
    let now = board.now.mono;
    let (mut count, mut busy, mut due) = (0, 0, Vec::new());
    for (key, upstream) in engines(board, service) {
        count += 1;
        busy += usize::from(upstream.load.is_busy());
        if upstream.load.is_busy() || now < upstream.load.retry_at {
            continue;
        }
        for named in &models {
            let runs = upstream.version_of(named.model);
            if runs >= named.version {
                continue;
            }
            let lacking = named.scarce.filter(|(wanted, _)| runs < *wanted);
            due.push(Due {
                able: lacking.map_or(usize::MAX, |(_, able)| able),
                behind: named.version - runs,
                in_flight: upstream.in_flight,
                key,
                model: named.model.into(),
                version: named.version,
            });
        }
    }
    due.sort_by_key(|due| (due.able, Reverse(due.behind), due.in_flight, due.key));
    let mut taken = BTreeSet::new();
    due.retain(|due| taken.insert(due.key));
    let at_once = ((count + LOADING_DIVISOR / 2) / LOADING_DIVISOR).max(1);
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
