//! Membership: tracks which hosts are up, what each zone offers, and who leads.
//!
//! Reads: heartbeats, `cfg`, `services`, `upstreams`, `groups`, `active_settings`.
//! Writes: `hosts`, `zones`, `ready`, `groups` (`fleet_leader`, `zone_leader`),
//! `active_settings.push_pending`, `schedule`, heartbeats to other hosts.
//!
//! Within a zone, every host sends heartbeats to every other host. To other zones, only the
//! available host with the lowest number sends heartbeats, each to one host of a zone. A host that
//! has put new settings into force sends both kinds immediately.
//!
//! A heartbeat to another zone always includes the digest of the sender's zone. Digests of further
//! zones are included if they changed since they were last sent to the receiver while it was up.
//! One heartbeat in [`FULL_ONE_IN`] includes them all, in case a message was lost. The digest of
//! the receiver's zone is left out.
//!
//! Each host numbers the digests of its zone by itself. A host that has not heard its neighbours yet
//! may have sent a digest with a higher number than the zone's current sender uses, which other zones
//! would prefer. So heartbeats within a zone carry the number that was sent last, and the sender goes
//! beyond it.

use rand::Rng;
use rand::seq::SliceRandom;

use super::Controller;
use crate::board::{Board, UpstreamState};
use crate::event::Event;
use crate::key::{HostId, HostKey, ZoneKey};
use crate::message::{Heartbeat, Message, ZoneDigest};
use crate::time::Millis;
use crate::timeline::EventKind;

/// Interval between checks of which hosts are up and what the zone offers.
const CHECK_INTERVAL: Millis = Millis(100);

/// Interval between heartbeats within a zone.
const ZONE_HEARTBEAT_INTERVAL: Millis = Millis(500);

/// Interval between heartbeats within a zone of more than [`MAX_SMALL_ZONE_HOSTS`] hosts.
const LARGE_ZONE_HEARTBEAT_INTERVAL: Millis = Millis(900);

/// Maximum number of hosts in a zone that does not count as large.
const MAX_SMALL_ZONE_HOSTS: usize = 6;

/// Interval between heartbeats to other zones.
const REMOTE_HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// Maximum number of other zones that get a heartbeat at a time; they pass changes on to the rest.
const MAX_REMOTE_ZONES: usize = 6;

/// One heartbeat in this many includes all digests.
const FULL_ONE_IN: u32 = 20;

/// Time for which a starting host waits for the fleet group's leader to confirm its settings before
/// it relies on the hosts of its zone.
const FLEET_CONFIRM_TIMEOUT: Millis = Millis(10_000);

/// Tracks hosts and zones, and sends heartbeats.
#[derive(Debug)]
pub(super) struct Membership;

impl Controller for Membership {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event {
            mark_seen(board, envelope.from);
            if let Message::Heartbeat(heartbeat) = &envelope.message {
                handle_heartbeat(board, envelope.from, heartbeat);
            }
        }
        let now = board.now.mono;
        let check = now >= board.schedule.membership || !board.ready;
        let mut changed = false;
        if check {
            board.schedule.membership = now + CHECK_INTERVAL;
            report_silent(board);
            update_ready(board);
            changed = update_own_digest(board);
        }
        if now >= board.schedule.zone_heartbeat || board.active_settings.push_pending {
            board.schedule.zone_heartbeat = now + zone_heartbeat_interval(board);
            send_zone_heartbeats(board);
        }
        let remote_due = now >= board.schedule.remote_heartbeat || changed;
        if remote_due || board.active_settings.push_pending {
            let is_zone_sender = board.is_zone_sender();
            if now >= board.schedule.remote_heartbeat {
                board.schedule.remote_heartbeat = now + REMOTE_HEARTBEAT_INTERVAL;
            }
            if is_zone_sender || board.active_settings.push_pending {
                send_remote_heartbeats(board);
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

/// Returns the interval between heartbeats within this zone; a longer one limits traffic in large
/// zones.
fn zone_heartbeat_interval(board: &Board) -> Millis {
    let large = board.zones[board.my_zone].hosts.len() > MAX_SMALL_ZONE_HOSTS;
    if large { LARGE_ZONE_HEARTBEAT_INTERVAL } else { ZONE_HEARTBEAT_INTERVAL }
}

/// Records that a message was received from a host.
///
/// Only hosts of this zone send regularly, so only they are reported as up or down. The state of
/// other hosts is taken from their zone's digest.
fn mark_seen(board: &mut Board, from: HostId) {
    let Some(key) = board.host_key(from) else { return };
    let now = board.now.mono;
    let same_zone = board.hosts[key].zone == board.my_zone;
    let host = &mut board.hosts[key];
    host.last_seen = Some(now);
    if host.was_up || !same_zone {
        return;
    }
    host.was_up = true;
    let name = host.name.clone();
    board.note(EventKind::HostUp, name, "message received");
}

fn handle_heartbeat(board: &mut Board, from: HostId, heartbeat: &Heartbeat) {
    let Some(key) = board.host_key(from) else { return };
    let same_zone = board.hosts[key].zone == board.my_zone;
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
    if same_zone && heartbeat.zone_leader > board.groups.zone_leader {
        board.groups.zone_leader = heartbeat.zone_leader;
    }
    if same_zone {
        exceed_digest_sequence(board, heartbeat.digest_sent);
    }
    for digest in &heartbeat.digests {
        store_digest(board, digest);
    }
}

/// Numbers the digest of this zone beyond one that another host of the zone has sent, and has it sent
/// again if this host sends for the zone.
fn exceed_digest_sequence(board: &mut Board, sent: u64) {
    let is_zone_sender = board.is_zone_sender();
    let digest = &mut board.zones[board.my_zone].digest;
    if sent == 0 || sent < digest.sequence || (sent == digest.sequence && !is_zone_sender) {
        return;
    }
    digest.sequence = sent;
    if is_zone_sender {
        digest.sequence += 1;
        board.schedule.remote_heartbeat = board.now.mono;
    }
}

fn store_digest(board: &mut Board, digest: &ZoneDigest) {
    let Some(key) = board.zone_key(&digest.zone) else { return };
    if key == board.my_zone {
        return;
    }
    let zone = &mut board.zones[key];
    if digest.sequence > zone.digest.sequence {
        zone.digest = digest.clone();
    }
}

fn report_silent(board: &mut Board) {
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
        board.note(EventKind::HostDown, name, "no message received");
    }
}

/// Marks the host as ready once its settings cannot be older than those that it or its zone has
/// served under.
///
/// The fleet group's leader confirms this. When the zone is cut off from it, a majority of the
/// zone's hosts does after [`FLEET_CONFIRM_TIMEOUT`], which is far more than a version takes to
/// spread within a zone.
fn update_ready(board: &mut Board) {
    if board.draining_since.is_some() {
        board.ready = false;
        return;
    }
    if board.ready {
        return;
    }
    board.ready = board.active_settings.confirmed || zone_confirms_settings(board);
}

/// Returns whether a majority of the zone's hosts is up, none of them with newer settings than this
/// host. In a zone of several hosts, this holds only after [`FLEET_CONFIRM_TIMEOUT`].
fn zone_confirms_settings(board: &Board) -> bool {
    let now = board.now.mono;
    let hosts = &board.zones[board.my_zone].hosts;
    let waited = now.since(board.started) >= FLEET_CONFIRM_TIMEOUT;
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

/// Updates the digest of this zone and returns whether it changed.
fn update_own_digest(board: &mut Board) -> bool {
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

fn send_zone_heartbeats(board: &mut Board) {
    for key in board.zones[board.my_zone].hosts.clone() {
        if board.hosts[key].id == board.cfg.id {
            continue;
        }
        send_heartbeat(board, key);
    }
}

fn send_remote_heartbeats(board: &mut Board) {
    let mut zones: Vec<ZoneKey> = board.zones.keys().filter(|key| *key != board.my_zone).collect();
    zones.shuffle(&mut board.rng);
    for zone in zones.into_iter().take(MAX_REMOTE_ZONES) {
        let Some(key) = random_contact(board, zone) else { continue };
        send_heartbeat(board, key);
    }
}

/// Returns a random available host of another zone or, if none is known, any of its hosts.
fn random_contact(board: &mut Board, zone: ZoneKey) -> Option<HostKey> {
    let zone = &board.zones[zone];
    let available: Vec<HostKey> = zone
        .hosts
        .iter()
        .copied()
        .filter(|key| zone.digest.hosts.contains(&board.hosts[*key].id))
        .collect();
    let pool = if available.is_empty() { &zone.hosts } else { &available };
    if pool.is_empty() {
        return None;
    }
    Some(pool[board.rng.random_range(0..pool.len())])
}

fn send_heartbeat(board: &mut Board, to: HostKey) {
    let full = board.rng.random_ratio(1, FULL_ONE_IN);
    let mut digests = Vec::new();
    let (my_zone, now) = (board.my_zone, board.now.mono);
    let host = &mut board.hosts[to];
    let is_up = host.is_up(now);
    for (key, zone) in &board.zones {
        let sequence = zone.digest.sequence;
        let known = key != my_zone && host.digests_sent.get(&key) == Some(&sequence);
        if sequence == 0 || key == host.zone || (known && !full) {
            continue;
        }
        if is_up {
            host.digests_sent.insert(key, sequence);
        }
        digests.push(zone.digest.clone());
    }
    let id = host.id;
    let own_zone = &mut board.zones[my_zone];
    if host.zone != my_zone {
        own_zone.digest_sent = own_zone.digest.sequence;
    }
    let digest_sent = own_zone.digest_sent;
    let heartbeat = Heartbeat {
        incarnation: board.cfg.incarnation,
        boot_id: board.boot_id,
        ready: board.ready,
        settings_version: board.active_settings.settings.version,
        fleet_leader: board.fleet_leader(),
        zone_leader: board.zone_leader(),
        digests,
        digest_sent,
    };
    board.send(id, Message::Heartbeat(heartbeat));
}
