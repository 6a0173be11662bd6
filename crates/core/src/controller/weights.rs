//! Weights: orders the engines of this zone to load the newest wanted version of their weights.
//!
//! Reads: `groups.records`, `zones` (versions wanted elsewhere), `upstreams`, `active_settings`.
//! Writes: `work.queued_orders`, `schedule`.

use std::collections::BTreeMap;

use super::Controller;
use crate::agreement::GroupId;
use crate::board::{Board, QueuedOrder, UpstreamState};
use crate::event::{Event, OrderTask, UpstreamKind};
use crate::fleet::SettingKey;
use crate::key::UpstreamKey;
use crate::time::Millis;

/// Interval between checks for engines with an outdated version.
const CHECK_INTERVAL: Millis = Millis(200);

/// Rolls out weight versions.
#[derive(Debug)]
pub(super) struct Weights;

impl Controller for Weights {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        if board.now.mono < board.schedule.weights {
            return;
        }
        board.schedule.weights = board.now.mono + CHECK_INTERVAL;
        if board.leads(GroupId::Zone) {
            order_loads(board);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.schedule.weights
    }
}

/// Returns the newest version that any zone wants for each service.
fn wanted_versions(board: &Board) -> BTreeMap<Box<str>, u64> {
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
    for (service, version) in wanted_versions(board) {
        let Some(key) = board.service_key(&service) else { continue };
        let upstreams = board.services[key].upstreams.clone();
        let loading = upstreams.iter().filter(|key| board.upstreams[**key].order.is_some()).count();
        let max_loading = board.setting(SettingKey::LoadsAtOnce, Some(&service));
        let room = max_loading.saturating_sub(loading as u64);
        let outdated = upstreams.into_iter().filter(|key| may_load(board, *key, version));
        let chosen: Vec<UpstreamKey> =
            outdated.take(usize::try_from(room).unwrap_or(usize::MAX)).collect();
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
