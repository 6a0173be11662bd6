//! The orders for numbers of upstreams: when one is due, and what follows from its end.

use std::collections::BTreeSet;

use super::pool::{Pool, count_upstreams};
use crate::directory::UpstreamTarget;
use crate::gateway::board::Board;
use crate::gateway::provider::{CountOrder, ProviderCallEnd, ProviderRequest};
use crate::key::PoolKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long upstreams must be missing before they are ordered again. One that crashed is back in a
/// few seconds, and one that went silent counts as missing only after some announcements.
const SETTLE_TIME: Millis = Millis(10_000);

/// How much longer than its start time an ordered upstream may take to announce itself.
const ANNOUNCE_MARGIN: Millis = Millis(3_000);

/// How long no order follows one that the provider refused for lack of upstreams.
const REFUSED_DELAY: Millis = Millis(5_000);

/// How long no order follows one that the provider rejected.
const REJECTED_DELAY: Millis = Millis(30_000);

/// How long an order without a known end, or one beyond the provider's rate, waits to be repeated.
const RETRY_DELAY: Millis = Millis(500);

/// The most times that a delay is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Requests the orders of a service that are due.
pub(super) fn send_due(board: &mut Board, service: &str, start_time: Millis) {
    let now = board.now.mono;
    let keys: Vec<PoolKey> = board.scaling.pools_of(service).map(|(key, _)| key).collect();
    for key in keys {
        let Some(group) = &board.group else { return };
        let pool = &mut board.scaling.pools[key];
        let Some(target) = pool.target(&group.directory.upstream_targets).cloned() else {
            continue;
        };
        if target.changes == 0 && pool.accepted.is_none() {
            pool.accepted = Some(target.count);
        }
        let replaces = is_replacement_due(pool, &target, now);
        let is_due = is_change_due(pool, &target) || replaces;
        if !is_due || pool.in_call.is_some() || now < pool.retry_at || !pool.is_available(now) {
            continue;
        }
        let count = number_to_order(pool, &target);
        pool.in_call = Some(count);
        pool.starting_until = now + start_time + ANNOUNCE_MARGIN;
        let detail = format!("ordered count={count} present={} replaces={replaces}", pool.present);
        let (name, reclaimable) = (pool.name(), target.reclaimable);
        let (service, zone) = (target.service, target.zone);
        let order = CountOrder { service, zone, count, reclaimable };
        board.provider.waiting.push(ProviderRequest::SetUpstreamCount(order));
        board.another_round = true;
        board.counters.scaling_orders += 1;
        board.note(EventKind::Scaling, name, detail);
    }
}

/// Returns the number to order. Only a decision to reduce may name fewer upstreams than are known:
/// those of a zone that can't be reached are silent, but run on.
fn number_to_order(pool: &Pool, target: &UpstreamTarget) -> u32 {
    if target.reduces { target.count } else { target.count.max(pool.known) }
}

/// Updates the numbers of the orders that wait, as upstreams may have joined since.
pub(super) fn update_waiting(board: &mut Board) {
    let mut waiting = std::mem::take(&mut board.provider.waiting);
    let mut counted: BTreeSet<Box<str>> = BTreeSet::new();
    for request in &mut waiting {
        let ProviderRequest::SetUpstreamCount(order) = request else { continue };
        let Some(key) = board.scaling.key_of(&order.service, &order.zone, order.reclaimable) else {
            continue;
        };
        if counted.insert(order.service.clone()) {
            count_upstreams(board, &order.service);
        }
        let pool = &mut board.scaling.pools[key];
        let targets = board.group.as_ref().map(|group| &group.directory.upstream_targets);
        if let Some(target) = targets.and_then(|targets| pool.target(targets)) {
            order.count = number_to_order(pool, target);
            pool.in_call = Some(order.count);
        }
    }
    board.provider.waiting = waiting;
}

/// Returns whether the provider has another number than the intended one, or may have it.
///
/// After an unknown end, or on a new holder, the order is repeated unless the intended number is
/// present: an absolute number may be ordered twice.
fn is_change_due(pool: &Pool, target: &UpstreamTarget) -> bool {
    match pool.accepted {
        Some(accepted) if accepted > number_to_order(pool, target) => {
            // The provider would bring reclaimed upstreams back.
            target.reduces || pool.reclaimed_at > Millis(0)
        }
        Some(accepted) => accepted < target.count,
        None => pool.present < target.count || (target.reduces && pool.present > target.count),
    }
}

/// Returns whether upstreams have been missing for so long that they don't come back by themselves.
fn is_replacement_due(pool: &Pool, target: &UpstreamTarget, now: Millis) -> bool {
    let Some(since) = pool.missing_since.filter(|_| !pool.is_starting(now)) else { return false };
    let wait = Millis(SETTLE_TIME.0 << pool.replacements.min(MAX_DOUBLINGS));
    target.count > 0 && now >= since + wait
}

/// Handles the ends of orders.
pub(super) fn handle_ends(board: &mut Board) {
    if board.provider.ended.is_empty() {
        return;
    }
    let mut others = Vec::new();
    for (request, end) in std::mem::take(&mut board.provider.ended) {
        let ProviderRequest::SetUpstreamCount(order) = request else {
            others.push((request, end));
            continue;
        };
        let key = board.scaling.key_of(&order.service, &order.zone, order.reclaimable);
        let subject = ProviderRequest::SetUpstreamCount(order.clone()).subject();
        // The calls for a pool are made one after another, so an order that waits has not ended.
        let is_waiting = board.provider.waiting.iter().any(|other| other.subject() == subject);
        let in_call = key.and_then(|key| board.scaling.pools[key].in_call);
        if let Some(key) = key.filter(|_| in_call == Some(order.count) && !is_waiting) {
            handle_end(board, key, &order, &end);
        }
    }
    board.provider.ended = others;
}

fn handle_end(board: &mut Board, key: PoolKey, order: &CountOrder, end: &ProviderCallEnd) {
    let now = board.now.mono;
    let pool = &mut board.scaling.pools[key];
    pool.in_call = None;
    let doublings = pool.failures.min(MAX_DOUBLINGS);
    let delay = |first: Millis| now + Millis(first.0 << doublings);
    pool.failures += 1;
    match end {
        ProviderCallEnd::Accepted => {
            pool.accepted = Some(order.count);
            pool.failures = 0;
            if pool.missing_since.is_some() {
                pool.replacements += 1;
            }
        }
        ProviderCallEnd::Unavailable => pool.refused_until = delay(REFUSED_DELAY),
        ProviderCallEnd::Rejected { .. } => pool.refused_until = delay(REJECTED_DELAY),
        // The order was not carried out.
        ProviderCallEnd::RateLimited | ProviderCallEnd::Expired => {
            pool.retry_at = delay(RETRY_DELAY);
        }
        ProviderCallEnd::Unknown { .. } => {
            pool.accepted = None;
            pool.retry_at = delay(RETRY_DELAY);
        }
    }
    let is_refused = matches!(end, ProviderCallEnd::Unavailable | ProviderCallEnd::Rejected { .. });
    if is_refused {
        pool.starting_until = now;
    }
    let name = pool.name();
    if is_refused {
        // Others may be added at once.
        board.scaling.last_addition = Millis(0);
    }
    board.counters.scaling_refused += u64::from(is_refused);
    let detail = format!("order ended count={} end={end:?}", order.count);
    board.note(EventKind::Scaling, name, detail);
}

/// Withdraws the orders that wait, on a host that may no longer send any.
pub(super) fn withdraw(board: &mut Board) {
    board
        .provider
        .waiting
        .retain(|request| !matches!(request, ProviderRequest::SetUpstreamCount(_)));
}
