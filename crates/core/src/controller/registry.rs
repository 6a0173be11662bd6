//! Registry: tracks the upstreams of the zone and this host's share of their slots.
//!
//! Reads: announcements, load reports, `available_hosts`, `active_settings`.
//! Writes: `upstreams`, `services`, `schedule`.

use super::Controller;
use crate::board::{Board, Upstream, UpstreamState};
use crate::checksum::checksum;
use crate::event::{Event, UpstreamSpec};
use crate::fleet::SettingKey;
use crate::key::UpstreamKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// Interval between checks for silent upstreams.
const CHECK_INTERVAL: Millis = Millis(100);

/// Time without an announcement after which an upstream without requests in flight is removed.
const REMOVE_TIMEOUT: Millis = Millis(30_000);

/// Tracks upstreams and shares out their slots.
#[derive(Debug)]
pub(super) struct Registry;

impl Controller for Registry {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::Announced(spec)) => handle_announced(board, spec),
            Some(Event::Leaving { name }) => handle_leaving(board, name),
            Some(Event::Load { name, waiting, .. }) => handle_load(board, name, *waiting),
            _ => {}
        }
        if board.now.mono < board.schedule.registry {
            return;
        }
        board.schedule.registry = board.now.mono + CHECK_INTERVAL;
        expire_silent(board);
        share_slots(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.schedule.registry
    }
}

fn handle_announced(board: &mut Board, spec: &UpstreamSpec) {
    let now = board.now.mono;
    let known = board.upstream_key(&spec.name);
    if let Some(key) = known {
        if board.upstreams[key].spec.boot_id > spec.boot_id {
            return;
        }
        if board.upstreams[key].spec.boot_id == spec.boot_id {
            refresh(board, key, spec);
            return;
        }
        remove(board, key);
    }
    let service = board.ensure_service(&spec.service);
    let key = board.upstreams.insert(Upstream::new(spec.clone(), service, now));
    board.services[service].upstreams.push(key);
    board.services[service].idempotent = spec.idempotent;
    board.schedule.registry = now;
    let detail = format!("{} at {}, version {}", spec.service, spec.address, spec.version);
    board.note(EventKind::UpstreamJoined, spec.name.clone(), detail);
}

fn refresh(board: &mut Board, key: UpstreamKey, spec: &UpstreamSpec) {
    let now = board.now.mono;
    let upstream = &mut board.upstreams[key];
    upstream.last_seen = now;
    upstream.spec = spec.clone();
    if upstream.state == UpstreamState::Silent {
        upstream.state = UpstreamState::Up;
        board.note(EventKind::UpstreamJoined, spec.name.clone(), "announced again after silence");
    }
}

fn handle_leaving(board: &mut Board, name: &str) {
    let Some(key) = board.upstream_key(name) else { return };
    board.upstreams[key].state = UpstreamState::Leaving;
    board.note(EventKind::UpstreamLeft, name, "announced that it is leaving");
}

fn handle_load(board: &mut Board, name: &str, waiting: u32) {
    let Some(key) = board.upstream_key(name) else { return };
    board.upstreams[key].waiting = (waiting, board.now.mono);
}

fn expire_silent(board: &mut Board) {
    let silence = Millis(board.setting(SettingKey::SilenceMs, None));
    let now = board.now.mono;
    let mut expired = Vec::new();
    let mut silent = Vec::new();
    for (key, upstream) in &mut board.upstreams {
        let silent_for = now.since(upstream.last_seen);
        if silent_for > REMOVE_TIMEOUT && upstream.in_flight == 0 {
            expired.push(key);
        }
        if silent_for > silence && upstream.state == UpstreamState::Up {
            upstream.state = UpstreamState::Silent;
            silent.push(upstream.spec.name.clone());
        }
    }
    for name in silent {
        board.note(EventKind::UpstreamLeft, name, "no announcement received in time");
    }
    for key in expired {
        remove(board, key);
    }
}

fn remove(board: &mut Board, key: UpstreamKey) {
    let Some(upstream) = board.upstreams.remove(key) else { return };
    board.services[upstream.service].upstreams.retain(|other| *other != key);
}

/// Divides each upstream's slots among the available hosts of the zone.
///
/// Every host computes the same shares from the same list of hosts, so that together they stay
/// within the slots without coordination, except that each host may always use one slot. The slots
/// that remain after an even division go to hosts selected by a checksum of the upstream's name.
fn share_slots(board: &mut Board) {
    let hosts = board.available_hosts();
    let count = u64::try_from(hosts.len().max(1)).unwrap_or(1);
    let index = hosts.iter().position(|id| *id == board.cfg.id).unwrap_or(0);
    let rank = u64::try_from(index).unwrap_or(0);
    let keys: Vec<UpstreamKey> = board.upstreams.keys().collect();
    for key in keys {
        let spec = &board.upstreams[key].spec;
        let max = board.setting(SettingKey::UpstreamSlots, Some(&spec.service));
        let slots = max.min(u64::from(spec.slots)).max(1);
        let turn = (rank + checksum(&[&spec.name])) % count;
        let extra = u64::from(turn < slots % count);
        let limit = (slots / count + extra).max(1);
        board.upstreams[key].limit = u32::try_from(limit).unwrap_or(u32::MAX);
    }
}
