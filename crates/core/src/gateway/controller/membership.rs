//! Membership: discovers the store hosts, starting from the seeds, and exchanges state with them.
//!
//! Reads: messages of other hosts, reloaded seeds, `hosts` (contacts), `routing`, `suspects`,
//! `upstreams`, the clock.
//! Writes: `hosts`, `leader`, `voters`, `received_routing`, `pending_announcements`,
//! `pending_leaves`, `pending_limits`, `upstreams` (time and number of the last announcement), `actions`.

use super::Controller;
use super::candidates::speeds;
use crate::gateway::board::{AnnouncementSource, Board, Host, LeaveSource};
use crate::gateway::event::{Announcement, Event};
use crate::gateway::message::{GatewayMessage, Hello, LimitRecord, Roster, UpstreamRecord, View};
use crate::gateway::settings::Role;
use crate::key::{HostId, HostKey};
use crate::message::{Envelope, Message};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The interval between two hellos to a live contact; a lost update is sent again within it.
const HELLO_INTERVAL: Millis = Millis(1_000);

/// The interval between two hellos to a contact that does not answer.
const SILENT_HELLO_INTERVAL: Millis = Millis(2_000);

/// The interval between two hellos to a contact that has not answered since this process started. When
/// a whole deployment starts, the first hellos arrive before their receivers listen.
const START_HELLO_INTERVAL: Millis = Millis(250);

/// How long after the start of the process the short interval applies; a contact that is silent for
/// longer is down or cut off.
const START_HELLO_PERIOD: Millis = Millis(5_000);

/// The interval between two hellos of a store host to another one that is no contact, so that every
/// store host knows all others.
const DISTANT_HELLO_INTERVAL: Millis = Millis(10_000);

/// Hellos that are due within this time are sent together: they name the upstreams that were seen
/// since the ones before.
const HELLO_BATCH_WINDOW: Millis = Millis(400);

/// How long hellos tell that a limit was lifted.
const LIFT_REPORT_TIME: Millis = Millis(10_000);

/// How long a host that no longer sends anything is kept, unless it is a seed.
const HOST_RETENTION: Millis = Millis(120_000);

/// Discovers hosts and tracks their liveness.
#[derive(Debug)]
pub(super) struct Membership;

impl Controller for Membership {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::Received(envelope)) => handle_message(board, envelope),
            Some(Event::Reloaded { seeds }) => handle_reloaded(board, seeds),
            _ => {}
        }
        report_liveness(board);
        send_hellos(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let hellos = board.hosts.values().filter(|host| gets_hellos(board, host));
        hellos.map(|host| host.next_hello).min().unwrap_or(Millis::MAX)
    }
}

/// Returns whether this host says hello to another one: an entry host only to its contacts, and to the
/// voters while a contact may be cut off from them.
fn gets_hellos(board: &Board, host: &Host) -> bool {
    if host.role != Role::Store {
        return false;
    }
    host.contact_since.is_some()
        || board.cfg.role == Role::Store
        || (board.voters.1.contains(&host.id) && may_contacts_be_cut_off(board))
}

/// Returns whether a contact of this host may be cut off from a majority of the voters.
fn may_contacts_be_cut_off(board: &Board) -> bool {
    board.hosts.values().any(|host| host.contact_since.is_some() && host.misses_contacts)
}

fn handle_reloaded(board: &mut Board, seeds: &[HostId]) {
    board.cfg.seeds = seeds.to_vec();
    for seed in seeds {
        board.ensure_host(*seed, Role::Store);
    }
    let ids: Vec<u32> = seeds.iter().map(|seed| seed.0).collect();
    board.note(EventKind::Reloaded, "seeds", format!("{ids:?}"));
}

fn handle_message(board: &mut Board, envelope: &Envelope) {
    let from = envelope.from;
    match &envelope.message {
        Message::Gateway(message) => match &**message {
            GatewayMessage::Hello(hello) => handle_hello(board, from, hello),
            GatewayMessage::View(view) => handle_view(board, from, view),
            GatewayMessage::Request { .. }
            | GatewayMessage::Reply { .. }
            | GatewayMessage::Suspects(_)
            | GatewayMessage::LeavesKept { .. }
            | GatewayMessage::QuotaGrant(_)
            | GatewayMessage::Streams(_)
            | GatewayMessage::UsageStarts(_)
            | GatewayMessage::UsageAck(_)
            | GatewayMessage::Clock(_)
            | GatewayMessage::FindStream { .. }
            | GatewayMessage::StreamFound { .. } => {}
            GatewayMessage::Leaves { upstreams, .. } => receive_records(board, from, upstreams),
            GatewayMessage::QuotaRequest(request) => {
                board.pending_limits.extend(request.upstreams.iter().cloned());
            }
        },
        Message::Group(_) => {
            board.ensure_host(from, Role::Store);
        }
        _ => return,
    }
    let Some(host) = board.host_index.get(&from).and_then(|key| board.hosts.get_mut(*key)) else {
        return;
    };
    host.last_seen = Some(board.now.mono);
}

fn handle_hello(board: &mut Board, from: HostId, hello: &Hello) {
    let Some(key) = board.ensure_host(from, hello.role) else { return };
    let (boot_id, now) = (board.cfg.boot_id, board.now.mono);
    let host = &mut board.hosts[key];
    host.subscription = Some((hello.subscription, now));
    host.known_roster = hello.known_roster;
    if !hello.name.is_empty() {
        host.name.clone_from(&hello.name);
        host.zone.clone_from(&hello.zone);
    }
    host.role = hello.role;
    host.incarnation = hello.incarnation;
    host.routing_version = hello.routing_version;
    host.acknowledged_revision =
        if hello.known_revision.0 == boot_id { hello.known_revision.1 } else { 0 };
    host.sent_revision = host.acknowledged_revision;
    for (id, started_at) in &hello.leaving_upstreams {
        board.pending_leaves.push((id.clone(), *started_at, from));
    }
    board.pending_limits.extend(hello.limits.iter().cloned());
    for (at, (id, seq)) in hello.seen_upstreams.iter().enumerate() {
        let Some(key) = board.upstream_index.get(id) else { continue };
        let upstream = &mut board.upstreams[*key];
        let started_at = hello.seen_starts.get(at).copied();
        if started_at.is_some_and(|started_at| started_at != upstream.announced.started_at) {
            continue;
        }
        if *seq >= upstream.announced.seq {
            upstream.newly_seen |= *seq > upstream.announced.seq;
            upstream.announced.seq = *seq;
            upstream.last_seen = now;
        }
    }
}

fn handle_view(board: &mut Board, from: HostId, view: &View) {
    let Some(key) = board.ensure_host(from, Role::Store) else { return };
    let host = &mut board.hosts[key];
    if !view.name.is_empty() {
        host.name.clone_from(&view.name);
        host.zone.clone_from(&view.zone);
    }
    host.role = Role::Store;
    if host.follows_known_revision(view) {
        host.known_revision = view.revision;
    }
    host.holds_directory = view.holds_directory;
    host.misses_contacts = view.misses_contacts;
    host.keeps_leaves = view.keeps_leaves;
    host.relays = view.relays;
    if let Some(roster) = &view.roster {
        let stores = roster.zones.values().flatten().copied().collect();
        host.reported_stores = (roster.digest(), stores);
        learn_roster(board, roster);
    }
    board.leader = board.leader.max(view.leader);
    for store in &view.stores {
        board.ensure_host(*store, Role::Store);
    }
    record_reported(board, key, &view.stores);
    if let Some(routing) = &view.routing {
        board.received_routing = Some(routing.clone());
    }
    receive_records(board, from, &view.upstreams);
}

/// Passes the upstream records of another store host on to the registry and the limits.
fn receive_records(board: &mut Board, from: HostId, records: &[UpstreamRecord]) {
    for record in records {
        let UpstreamRecord { announced, silent, gone, left, said_leaving, limit, .. } = record;
        let departed_at = record.departed_ago.map(|ago| board.now.wall.since(ago));
        if let Some(stated) = *limit {
            let (id, started_at) = (announced.id.clone(), announced.started_at);
            board.pending_limits.push(LimitRecord { id, started_at, stated });
        }
        let source = AnnouncementSource::Registry {
            host: from,
            silent: *silent,
            gone: *gone,
            left: *left,
            said_leaving: *said_leaving,
            departed_at,
        };
        board.pending_announcements.push((announced.clone(), source));
    }
}

/// Learns the store hosts of a roster with their zones, and the voters if they are newer.
fn learn_roster(board: &mut Board, roster: &Roster) {
    for (zone, stores) in &roster.zones {
        for store in stores {
            let Some(key) = board.ensure_host(*store, Role::Store) else { continue };
            let host = &mut board.hosts[key];
            if host.zone.is_empty() {
                host.zone.clone_from(zone);
            }
        }
    }
    if roster.voters.0 > board.voters.0 {
        board.voters.clone_from(&roster.voters);
    }
}

/// Records that a host reports others as live: those of its last roster, or those that it names.
fn record_reported(board: &mut Board, key: HostKey, named: &[HostId]) {
    let now = board.now.mono;
    let stores = std::mem::take(&mut board.hosts[key].reported_stores);
    for store in stores.1.iter().chain(named) {
        let Some(reported) = board.host_index.get(store) else { continue };
        board.hosts[*reported].reported_at = Some(now);
    }
    board.hosts[key].reported_stores = stores;
}

fn report_liveness(board: &mut Board) {
    let now = board.now.mono;
    let mut changed: Vec<(HostKey, bool)> = Vec::new();
    for (key, host) in &board.hosts {
        let live = host.is_live(now);
        if live != host.was_live {
            changed.push((key, live));
        }
    }
    for (key, live) in changed {
        let host = &mut board.hosts[key];
        host.was_live = live;
        let subject = host.name.clone();
        let (id, role) = (host.id.0, host.role);
        let silent = host.last_seen.map_or(0, |seen| now.since(seen).0);
        let kind = if live { EventKind::HostUp } else { EventKind::HostDown };
        board.note(kind, subject, format!("host={id} role={role:?} silent_ms={silent}"));
    }
    expire_hosts(board);
}

/// Removes the hosts, except seeds, from which nothing was received for [`HOST_RETENTION`].
fn expire_hosts(board: &mut Board) {
    let now = board.now.mono;
    let seeds = &board.cfg.seeds;
    let mut expired = Vec::new();
    for host in board.hosts.values() {
        let is_expired = host.last_seen.is_some_and(|seen| now.since(seen) > HOST_RETENTION);
        if is_expired && !seeds.contains(&host.id) {
            expired.push(host.id);
        }
    }
    for id in expired {
        let Some(key) = board.host_index.remove(&id) else { continue };
        board.hosts.remove(key);
    }
}

fn send_hellos(board: &mut Board) {
    let now = board.now.mono;
    let is_due = |host: &Host| gets_hellos(board, host) && host.next_hello <= now;
    if !board.hosts.values().any(is_due) {
        return;
    }
    let in_batch = |host: &Host| {
        let joins = host.contact_since.is_some() && host.next_hello <= now + HELLO_BATCH_WINDOW;
        is_due(host) || (joins && gets_hellos(board, host))
    };
    let batch: Vec<HostKey> =
        board.hosts.iter().filter(|(_, host)| in_batch(host)).map(|(key, _)| key).collect();
    let (seen_upstreams, seen_starts): (Vec<_>, Vec<_>) =
        if board.cfg.role == Role::Store { take_newly_seen(board, &batch) } else { Vec::new() }
            .into_iter()
            .unzip();
    let suspects = board.suspects.digest();
    let leaving_upstreams = leaving_upstreams(board);
    let limits = own_limits(board);
    let slow_upstreams = speeds::slow_upstreams(board);
    for key in batch {
        let routing = board.routing.as_ref().map_or(0, |routing| routing.version);
        let host = &mut board.hosts[key];
        let is_contact = host.contact_since.is_some();
        let interval = match (is_contact, host.is_live(now)) {
            (false, _) if board.cfg.role == Role::Entry => HELLO_INTERVAL,
            (true, true) => HELLO_INTERVAL,
            (true, false) if host.last_seen.is_none() && now < START_HELLO_PERIOD => {
                START_HELLO_INTERVAL
            }
            (true, false) => SILENT_HELLO_INTERVAL,
            (false, _) => DISTANT_HELLO_INTERVAL,
        };
        host.next_hello = now + interval;
        host.last_hello_sent = now;
        // A host of an earlier version sends no roster, and needs the name in each hello.
        let boot_id = host.known_revision.0;
        let is_known = host.reported_stores.0 != 0 && host.introduced_to == boot_id;
        host.introduced_to = boot_id;
        let name = if is_known { Box::default() } else { board.cfg.name.clone() };
        let zone = if is_known { Box::default() } else { board.cfg.zone.clone() };
        let hello = Hello {
            name,
            zone,
            role: board.cfg.role,
            incarnation: board.cfg.incarnation,
            routing_version: routing,
            known_revision: host.known_revision,
            seen_upstreams: if is_contact { seen_upstreams.clone() } else { Vec::new() },
            seen_starts: if is_contact { seen_starts.clone() } else { Vec::new() },
            suspects,
            leaving_upstreams: leaving_upstreams.clone(),
            limits: limits.clone(),
            slow_upstreams: slow_upstreams.clone(),
            subscription: host.subscribes_as,
            known_roster: host.reported_stores.0,
        };
        let id = host.id;
        board.send(id, GatewayMessage::Hello(hello));
    }
}

/// Returns the upstreams that have said to this host that they leave, of which no other host may
/// know, with the start times of their instances.
fn leaving_upstreams(board: &Board) -> Vec<(Box<str>, u64)> {
    let mut leaving = Vec::new();
    for upstream in board.upstreams.values() {
        let said = upstream.said_leaving.map(|said| said.source);
        if said != Some(LeaveSource::Answer) || upstream.announced.leaving || upstream.gone {
            continue;
        }
        leaving.push((upstream.announced.id.clone(), upstream.announced.started_at));
    }
    leaving
}

/// Returns the limits that upstreams have named, or lifted a short time ago, in answers to this host.
fn own_limits(board: &Board) -> Vec<LimitRecord> {
    let mut limits = Vec::new();
    for upstream in board.upstreams.values() {
        let Some(limit) = upstream.limit.filter(|limit| limit.is_own && !upstream.gone) else {
            continue;
        };
        let stated = limit.statement();
        if stated.rate.is_none() && board.now.wall.since(stated.at.wall) > LIFT_REPORT_TIME {
            continue;
        }
        let announced = &upstream.announced;
        let (id, started_at) = (announced.id.clone(), announced.started_at);
        limits.push(LimitRecord { id, started_at, stated });
    }
    limits
}

/// Returns the upstreams of which an announcement became known since the last hellos, with its
/// number, and their start times, and forgets them if the hellos go to a contact.
fn take_newly_seen(board: &mut Board, batch: &[HostKey]) -> Vec<((Box<str>, u64), u64)> {
    if !batch.iter().any(|key| board.hosts[*key].contact_since.is_some()) {
        return Vec::new();
    }
    let mut announced = Vec::new();
    for upstream in board.upstreams.values_mut() {
        if !std::mem::take(&mut upstream.newly_seen) {
            continue;
        }
        let Announcement { id, seq, started_at, .. } = &upstream.announced;
        announced.push(((id.clone(), *seq), *started_at));
    }
    announced
}
