//! Weights: has the engines of this zone load the version that is wanted.
//!
//! Reads: `groups.records`, `zones` (versions wanted elsewhere), `upstreams`, answers to orders.
//! Writes: `orders`, `upstreams`, `actions`.
//!
//! Only the leader of the zone group orders, and only while it holds its lease; every order
//! carries the fencing number of its term. An upstream that does not check the number is ordered
//! only by a leader that has led for a whole lease, and the version that it reports afterwards is
//! the one that counts.

use std::collections::BTreeMap;

use super::Controller;
use crate::action::Action;
use crate::agreement::GroupId;
use crate::board::{Board, Order, UpstreamState};
use crate::event::{Event, UpstreamKind};
use crate::fleet::SettingKey;
use crate::key::{OrderKey, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The time between two looks for upstreams with an old version.
const LOOK_EVERY: Millis = Millis(200);

/// The wait after a failed load; it grows with each further failure.
const AFTER_FAILURE: Millis = Millis(1_000);

/// Rolls weight versions out.
#[derive(Debug)]
pub(super) struct Weights;

impl Controller for Weights {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::OrderEnded { order, version }) = event {
            ended(board, *order, *version);
            board.due.weights = board.now.mono;
        }
        if board.now.mono < board.due.weights {
            return;
        }
        board.due.weights = board.now.mono + LOOK_EVERY;
        forget_lost_orders(board);
        if board.leads(GroupId::Zone) {
            order_loads(board);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.due.weights
    }
}

fn ended(board: &mut Board, key: OrderKey, version: Option<u64>) {
    let Some(order) = board.orders.remove(key) else {
        return;
    };
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(order.upstream) else {
        return;
    };
    upstream.order = None;
    if let Some(version) = version {
        upstream.spec.version = version;
    }
    let loaded = version.is_some_and(|version| version >= order.version);
    if loaded {
        upstream.failed_loads = 0;
    } else {
        upstream.failed_loads += 1;
        upstream.order_after = now + Millis(AFTER_FAILURE.0 * u64::from(upstream.failed_loads));
    }
    let name = upstream.spec.name.clone();
    let took = now.since(order.given);
    let detail = if loaded { "loaded" } else { "not loaded" };
    board.note(EventKind::OrderEnded, name, format!("{detail} after {} ms", took.0));
}

fn forget_lost_orders(board: &mut Board) {
    let timeout = Millis(board.setting(SettingKey::LoadTimeoutMs, None));
    let now = board.now.mono;
    let late = |order: &Order| now.since(order.given) > timeout + timeout;
    let lost: Vec<OrderKey> =
        board.orders.iter().filter(|(_, order)| late(order)).map(|(key, _)| key).collect();
    for key in lost {
        ended(board, key, None);
    }
}

/// Returns the newest version that any zone wants for each service.
fn wanted(board: &Board) -> BTreeMap<Box<str>, u64> {
    let mut wanted = board.groups.records.wanted().clone();
    for zone in board.zones.values() {
        for (service, version) in &zone.digest.wanted {
            let newest = wanted.entry(service.clone()).or_default();
            *newest = (*newest).max(*version);
        }
    }
    wanted
}

fn order_loads(board: &mut Board) {
    for (service, version) in wanted(board) {
        let Some(key) = board.service_key(&service) else {
            continue;
        };
        let upstreams = board.services[key].upstreams.clone();
        let loading = upstreams.iter().filter(|key| board.upstreams[**key].order.is_some()).count();
        let most = board.setting(SettingKey::LoadsAtOnce, Some(&service));
        let room = most.saturating_sub(loading as u64);
        let old = upstreams.into_iter().filter(|key| may_load(board, *key, version));
        let chosen: Vec<UpstreamKey> =
            old.take(usize::try_from(room).unwrap_or(usize::MAX)).collect();
        for key in chosen {
            order(board, key, version);
        }
    }
}

fn may_load(board: &Board, key: UpstreamKey, version: u64) -> bool {
    let upstream = &board.upstreams[key];
    upstream.spec.kind == UpstreamKind::Engine
        && upstream.state == UpstreamState::Up
        && upstream.spec.version < version
        && upstream.order.is_none()
        && board.now.mono >= upstream.order_after
        && (upstream.spec.checks_fence || board.groups.zone.replica.led_for_a_lease(board.now))
}

fn order(board: &mut Board, key: UpstreamKey, version: u64) {
    let given = board.now.mono;
    let order = board.orders.insert(Order { upstream: key, version, given });
    let fence = board.groups.zone.replica.fence();
    let timeout = Millis(board.setting(SettingKey::LoadTimeoutMs, None));
    let upstream = &mut board.upstreams[key];
    upstream.order = Some(order);
    let (name, address) = (upstream.spec.name.clone(), upstream.spec.address.clone());
    board.note(EventKind::Ordered, name, format!("to load version {version}, fence {fence}"));
    board.actions.push(Action::Order { order, address, version, fence, timeout });
}
