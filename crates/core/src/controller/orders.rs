//! Orders: sends orders to engines, handles the answers, and reports them to operators.
//!
//! Reads: arrivals, answers to orders, `work.queued_orders`, `groups`, `active_settings`.
//! Writes: `orders`, `upstreams`, `requests`, `actions`.
//!
//! Only the leader of the zone group sends orders, and only while it holds its lease. Every order
//! carries the fencing token of the leader's term and the end of the lease, after which it is not
//! sent. An upstream that does not check the token gets orders only from a leader that has led for
//! a full lease, one order at a time, and the version that it reports afterwards is authoritative.

use super::Controller;
use crate::action::{Action, Answer};
use crate::agreement::GroupId;
use crate::board::{Board, Order, Origin, QueuedOrder, Request, Route};
use crate::error::{ErrorKind, Problem, Ran};
use crate::event::{Arrival, Call, Event, OrderTask, UpstreamKind};
use crate::fleet::SettingKey;
use crate::key::OrderKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// Delay after a failed order, multiplied by the number of failures in a row.
const ORDER_RETRY_DELAY: Millis = Millis(1_000);

/// Sends orders to engines.
#[derive(Debug)]
pub(super) struct Orders;

impl Controller for Orders {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::OrderEnded { order, obeyed, version }) = event {
            handle_end(board, *order, *obeyed, *version);
            board.schedule.weights = board.now.mono;
        }
        expire_overdue(board);
        for arrival in board.take_arrivals(|call| matches!(call, Call::Order { .. })) {
            handle_call(board, arrival);
        }
        for queued in std::mem::take(&mut board.work.queued_orders) {
            send_order(board, queued);
        }
    }
}

fn handle_call(board: &mut Board, arrival: Arrival) {
    let Call::Order { zone, upstream, task } = arrival.call.clone() else { return };
    let Some(home) = board.zone_key(&zone) else {
        let problem = Problem::not_run(ErrorKind::NotFound, format!("no zone is named {zone}"));
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    };
    if home != board.my_zone || !board.leads(GroupId::Zone) {
        board.forward_call(arrival, Route::Leader(GroupId::Zone, home));
        return;
    }
    let known = board.upstream_key(&upstream);
    let engine = known.filter(|key| board.upstreams[*key].spec.kind == UpstreamKind::Engine);
    let Some(engine) = engine else {
        let detail = format!("no engine of {zone} is named {upstream}");
        board.reject(arrival.tag, &arrival.trace, Problem::not_run(ErrorKind::NotFound, detail));
        return;
    };
    if board.upstreams[engine].order.is_some() {
        let detail = format!("{upstream} has not answered its last order");
        let problem =
            Problem::not_run(ErrorKind::Overloaded, detail).retry_after(ORDER_RETRY_DELAY);
        board.reject(arrival.tag, &arrival.trace, problem);
        return;
    }
    let deadline = board.deadline_of(&arrival, None);
    let origin = Origin::Exchange(arrival.tag);
    let request = Request::new(origin, arrival.trace, board.now.mono, deadline).call(arrival.call);
    let request = Some(board.add_request(request));
    send_order(board, QueuedOrder { upstream: engine, order: task, request });
}

fn send_order(board: &mut Board, queued: QueuedOrder) {
    let Some(valid_until) = board.groups.zone.replica.lease_end(board.now) else { return };
    let issued_at = board.now.mono;
    let fence = board.groups.zone.replica.fencing_token();
    let timeout = Millis(board.setting(SettingKey::LoadTimeoutMs, None));
    let QueuedOrder { upstream, order, request } = queued;
    let key = board.orders.insert(Order { upstream, task: order.clone(), issued_at, request });
    let Some(upstream) = board.upstreams.get_mut(upstream) else { return };
    upstream.order = Some(key);
    let (name, address) = (upstream.spec.name.clone(), upstream.spec.address.clone());
    board.note(EventKind::Ordered, name, format!("{order:?}, fence {fence}"));
    board.actions.push(Action::Order {
        order: key,
        address,
        task: order,
        fence,
        valid_until,
        timeout,
    });
}

fn handle_end(board: &mut Board, key: OrderKey, obeyed: bool, version: Option<u64>) {
    let Some(order) = board.orders.remove(key) else { return };
    let loaded = match order.task {
        OrderTask::Version(wanted) => version.is_some_and(|version| version >= wanted),
        OrderTask::Adapter(_) | OrderTask::Role(_) => obeyed,
    };
    record_report(board, &order, loaded, version);
    let Some(request) = order.request.and_then(|key| board.remove_request(key)) else { return };
    let Some(tag) = request.tag() else { return };
    board.answer(tag, Answer::Ordered(loaded));
}

/// Updates an upstream with what it reported after an order.
fn record_report(board: &mut Board, order: &Order, loaded: bool, version: Option<u64>) {
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(order.upstream) else { return };
    upstream.order = None;
    if let Some(version) = version {
        upstream.spec.version = version;
    }
    if loaded {
        upstream.failed_loads = 0;
    } else {
        upstream.failed_loads += 1;
        upstream.order_after = now + Millis(ORDER_RETRY_DELAY.0 * u64::from(upstream.failed_loads));
    }
    let name = upstream.spec.name.clone();
    let took = now.since(order.issued_at);
    let detail = if loaded { "obeyed" } else { "not obeyed" };
    board.note(EventKind::OrderEnded, name, format!("{detail} after {} ms", took.0));
}

/// Ends orders that are not answered after twice the load timeout, and fails the calls of operators
/// that wait for them.
fn expire_overdue(board: &mut Board) {
    if board.orders.is_empty() {
        return;
    }
    let timeout = Millis(board.setting(SettingKey::LoadTimeoutMs, None));
    let now = board.now.mono;
    let late = |order: &Order| now.since(order.issued_at) > timeout + timeout;
    let overdue: Vec<OrderKey> =
        board.orders.iter().filter(|(_, order)| late(order)).map(|(key, _)| key).collect();
    for key in overdue {
        let waiting = board.orders.get(key).and_then(|order| order.request);
        if let Some(request) = waiting {
            let problem = Problem::unknown("the engine did not answer").ran(Ran::Unknown);
            board.fail_request(request, problem);
        }
        handle_end(board, key, false, None);
    }
}
