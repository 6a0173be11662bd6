//! Weights: has the engines of this zone load the version that is wanted.
//!
//! Reads: `groups.records`, `zones` (versions wanted elsewhere), `upstreams`, `in_force`.
//! Writes: `work.queued_orders`, `due`.

use std::collections::BTreeMap;

use super::Controller;
use crate::agreement::GroupId;
use crate::board::{Board, QueuedOrder, UpstreamState};
use crate::event::{Event, OrderTask, UpstreamKind};
use crate::fleet::SettingKey;
use crate::key::UpstreamKey;
use crate::time::Millis;

/// The time between two looks for upstreams with an old version.
const LOOK_EVERY: Millis = Millis(200);

/// Rolls weight versions out.
#[derive(Debug)]
pub(super) struct Weights;

impl Controller for Weights {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        if board.now.mono < board.schedule.weights {
            return;
        }
        board.schedule.weights = board.now.mono + LOOK_EVERY;
        if board.leads(GroupId::Zone) {
            order_loads(board);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.schedule.weights
    }
}

/// Returns the newest version that any zone wants for each service.
fn wanted(board: &Board) -> BTreeMap<Box<str>, u64> {
    let mut wanted = board.groups.records.target_versions().clone();
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
        let Some(key) = board.service_key(&service) else { continue };
        let upstreams = board.services[key].upstreams.clone();
        let loading = upstreams.iter().filter(|key| board.upstreams[**key].order.is_some()).count();
        let most = board.setting(SettingKey::LoadsAtOnce, Some(&service));
        let room = most.saturating_sub(loading as u64);
        let old = upstreams.into_iter().filter(|key| may_load(board, *key, version));
        let chosen: Vec<UpstreamKey> =
            old.take(usize::try_from(room).unwrap_or(usize::MAX)).collect();
        for key in chosen {
            let order = OrderTask::Version(version);
            board.work.queued_orders.push(QueuedOrder { upstream: key, order, request: None });
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
        && (upstream.spec.checks_fence || board.groups.zone.replica.prior_leases_expired(board.now))
}
