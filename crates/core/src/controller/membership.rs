//! Membership: who is up, which zone has what, and who leads.
//!
//! Reads: heartbeats, `cfg`, `groups`, `upstreams`, `records`.
//! Writes: `hosts`, `zones`, `ready`, `groups.fleet_leader`, `due`, heartbeats to other hosts.
//!
//! Within a zone every host tells every other that it is alive. Between zones only the working
//! host with the lowest number speaks, to one host of each other zone. What a host knows of the
//! other zones travels along when it has changed, until it went to a host that is up, and whole now
//! and then in case a message is lost; what it knows of its own zone always does.

use rand::Rng;
use rand::seq::SliceRandom;

use super::Controller;
use crate::board::{Board, UpstreamState};
use crate::event::Event;
use crate::key::{HostId, HostKey, ZoneKey};
use crate::message::{Heartbeat, Message, ZoneDigest};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The time between two looks at who is up and what the zone has.
const LOOK_EVERY: Millis = Millis(100);

/// The time between heartbeats within a zone.
const NEAR_EVERY: Millis = Millis(500);

/// The time between heartbeats within a zone of many hosts.
const NEAR_EVERY_IN_LARGE_ZONE: Millis = Millis(900);

/// The most hosts of a zone that is not large.
const SMALL_ZONE: usize = 6;

/// The time between heartbeats to other zones.
const FAR_EVERY: Millis = Millis(1_000);

/// The most zones that are spoken to at a time; what changed reaches the others through these.
const MOST_FAR_ZONES: usize = 6;

/// One heartbeat in this many carries everything.
const WHOLE_ONE_IN: u32 = 20;

/// How long a starting host waits for the fleet group's leader before it goes by its zone.
const WAIT_FOR_FLEET: Millis = Millis(10_000);

/// Keeps track of hosts and zones.
#[derive(Debug)]
pub(super) struct Membership;

impl Controller for Membership {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event {
            heard(board, envelope.from);
            if let Message::Heartbeat(heartbeat) = &envelope.message {
                take_heartbeat(board, envelope.from, heartbeat);
            }
        }
        let now = board.now.mono;
        let looks = now >= board.schedule.membership || !board.ready;
        let mut changed = false;
        if looks {
            board.schedule.membership = now + LOOK_EVERY;
            note_silent(board);
            judge_ready(board);
            changed = summarise_zone(board);
        }
        if now >= board.schedule.zone_heartbeat || board.active_settings.push_pending {
            board.schedule.zone_heartbeat = now + near_every(board);
            beat_near(board);
        }
        let far = now >= board.schedule.remote_heartbeat || changed;
        if far || board.active_settings.push_pending {
            let speaks = board.available_hosts().first() == Some(&board.cfg.id);
            if now >= board.schedule.remote_heartbeat {
                board.schedule.remote_heartbeat = now + FAR_EVERY;
            }
            if speaks || board.active_settings.push_pending {
                beat_far(board);
            }
        }
        board.active_settings.push_pending = false;
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board
            .schedule
            .zone_heartbeat
            .min(board.schedule.remote_heartbeat)
            .min(board.schedule.membership)
    }
}

/// Returns the time between heartbeats, which keeps their bytes within bounds in large zones.
fn near_every(board: &Board) -> Millis {
    let large = board.zones[board.my_zone].hosts.len() > SMALL_ZONE;
    if large { NEAR_EVERY_IN_LARGE_ZONE } else { NEAR_EVERY }
}

/// Takes in a sign of life. Only hosts of this zone are heard from steadily, so only they are noted
/// as up or down; of the others the zone's summary tells.
fn heard(board: &mut Board, from: HostId) {
    let Some(key) = board.host_key(from) else { return };
    let now = board.now.mono;
    let near = board.hosts[key].zone == board.my_zone;
    let host = &mut board.hosts[key];
    host.last_seen = Some(now);
    if host.was_up || !near {
        return;
    }
    host.was_up = true;
    let name = host.name.clone();
    board.note(EventKind::HostUp, name, "heard from");
}

fn take_heartbeat(board: &mut Board, from: HostId, heartbeat: &Heartbeat) {
    let Some(key) = board.host_key(from) else { return };
    let near = board.hosts[key].zone == board.my_zone;
    let host = &mut board.hosts[key];
    if host.boot_id != heartbeat.boot_id {
        host.digests_sent.clear();
    }
    host.incarnation = heartbeat.incarnation;
    host.boot_id = heartbeat.boot_id;
    host.ready = heartbeat.ready;
    host.settings_version = heartbeat.settings_version;
    if heartbeat.fleet_leader > board.groups.fleet_leader {
        board.groups.fleet_leader = heartbeat.fleet_leader;
    }
    if near && heartbeat.zone_leader > board.groups.zone_leader {
        board.groups.zone_leader = heartbeat.zone_leader;
    }
    for digest in &heartbeat.digests {
        take_digest(board, digest);
    }
}

fn take_digest(board: &mut Board, digest: &ZoneDigest) {
    let Some(key) = board.zone_key(&digest.zone) else { return };
    if key == board.my_zone {
        return;
    }
    let zone = &mut board.zones[key];
    if digest.sequence > zone.digest.sequence {
        zone.digest = digest.clone();
    }
}

fn note_silent(board: &mut Board) {
    let now = board.now.mono;
    let mut silent = Vec::new();
    for host in board.hosts.values_mut() {
        if !host.was_up || host.is_up(now) {
            continue;
        }
        host.was_up = false;
        silent.push(host.name.clone());
    }
    for name in silent {
        board.note(EventKind::HostDown, name, "no heartbeat");
    }
}

/// Lets the host serve once it can't be behind what it or its zone has served: the fleet group's
/// leader says so or, where the zone is cut off from it, most hosts of the zone. Within a zone a
/// version spreads in far less than the time that is waited.
fn judge_ready(board: &mut Board) {
    if board.draining_since.is_some() {
        board.ready = false;
        return;
    }
    if board.ready {
        return;
    }
    board.ready = board.active_settings.confirmed || zone_confirms(board);
}

/// Tells whether most hosts of the zone are up, and none of them has newer settings than this one.
fn zone_confirms(board: &Board) -> bool {
    let now = board.now.mono;
    let hosts = &board.zones[board.my_zone].hosts;
    let waited = now.since(board.started) >= WAIT_FOR_FLEET;
    if hosts.len() > 1 && !waited {
        return false;
    }
    let have = board.active_settings.settings.version;
    let mut up = 1;
    for key in hosts {
        let host = &board.hosts[*key];
        if host.id == board.cfg.id || !host.is_up(now) {
            continue;
        }
        if host.settings_version > have {
            return false;
        }
        up += 1;
    }
    up * 2 > hosts.len()
}

/// Brings the summary of this zone up to date and tells whether it changed.
fn summarise_zone(board: &mut Board) -> bool {
    let mut digest = ZoneDigest {
        zone: board.cfg.zone.clone(),
        sequence: 0,
        hosts: board.available_hosts(),
        leader: board.zone_leader(),
        services: Vec::new(),
        wanted: Vec::new(),
    };
    for service in board.services.values() {
        let up = |key| board.upstreams[key].state == UpstreamState::Up;
        let count = service.upstreams.iter().filter(|key| up(**key)).count();
        if count > 0 {
            digest.services.push((service.name.clone(), u32::try_from(count).unwrap_or(u32::MAX)));
        }
    }
    for (service, version) in board.groups.records.target_versions() {
        digest.wanted.push((service.clone(), *version));
    }
    let old = &board.zones[board.my_zone].digest;
    digest.sequence = old.sequence;
    if digest == *old {
        return false;
    }
    digest.sequence = board.now.wall.0.max(old.sequence + 1);
    board.zones[board.my_zone].digest = digest;
    true
}

fn beat_near(board: &mut Board) {
    for key in board.zones[board.my_zone].hosts.clone() {
        if board.hosts[key].id == board.cfg.id {
            continue;
        }
        beat(board, key);
    }
}

fn beat_far(board: &mut Board) {
    let mut zones: Vec<ZoneKey> = board.zones.keys().filter(|key| *key != board.my_zone).collect();
    zones.shuffle(&mut board.rng);
    for zone in zones.into_iter().take(MOST_FAR_ZONES) {
        let Some(key) = contact_in(board, zone) else { continue };
        beat(board, key);
    }
}

/// Chooses the host of another zone to speak to: one that works, or any where none is known.
fn contact_in(board: &mut Board, zone: ZoneKey) -> Option<HostKey> {
    let zone = &board.zones[zone];
    let working: Vec<HostKey> = zone
        .hosts
        .iter()
        .copied()
        .filter(|key| zone.digest.hosts.contains(&board.hosts[*key].id))
        .collect();
    let among = if working.is_empty() { &zone.hosts } else { &working };
    if among.is_empty() {
        return None;
    }
    Some(among[board.rng.random_range(0..among.len())])
}

fn beat(board: &mut Board, to: HostKey) {
    let whole = board.rng.random_ratio(1, WHOLE_ONE_IN);
    let mut digests = Vec::new();
    let (my_zone, now) = (board.my_zone, board.now.mono);
    let host = &mut board.hosts[to];
    let listens = host.is_up(now);
    for (key, zone) in &board.zones {
        let sequence = zone.digest.sequence;
        let known = key != my_zone && host.digests_sent.get(&key) == Some(&sequence);
        if sequence == 0 || key == host.zone || (known && !whole) {
            continue;
        }
        if listens {
            host.digests_sent.insert(key, sequence);
        }
        digests.push(zone.digest.clone());
    }
    let id = host.id;
    let heartbeat = Heartbeat {
        incarnation: board.cfg.incarnation,
        boot_id: board.boot_id,
        ready: board.ready,
        settings_version: board.active_settings.settings.version,
        fleet_leader: board.fleet_leader(),
        zone_leader: board.zone_leader(),
        digests,
    };
    board.send(id, Message::Heartbeat(heartbeat));
}
