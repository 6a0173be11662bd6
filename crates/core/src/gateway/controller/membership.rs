//! Membership: discovers the store hosts, starting from the seeds, and exchanges state with them.
//!
//! Reads: messages of other hosts, reloaded seeds, `routing`, `suspects`, `upstreams`, the clock.
//! Writes: `hosts`, `leader`, `received_routing`, `pending_announcements`, `pending_leaves`,
//! `upstreams` (time and number of the last announcement), `actions`.

use super::Controller;
use crate::gateway::board::{AnnouncementSource, Board, LeaveSource};
use crate::gateway::event::Event;
use crate::gateway::message::{GatewayMessage, Hello, UpstreamRecord, View};
use crate::gateway::settings::Role;
use crate::key::{HostId, HostKey};
use crate::message::{Envelope, Message};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The interval between two hellos to a live host; a lost update is sent again within it.
const HELLO_INTERVAL: Millis = Millis(1_000);

/// The interval between two hellos to a host that does not answer.
const SILENT_HELLO_INTERVAL: Millis = Millis(2_000);

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
        let hellos = board.hosts.values().filter(|host| host.role == Role::Store);
        hellos.map(|host| host.next_hello).min().unwrap_or(Millis::MAX)
    }
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
            | GatewayMessage::Suspects(_) => {}
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
    let boot_id = board.cfg.boot_id;
    let host = &mut board.hosts[key];
    host.name.clone_from(&hello.name);
    host.zone.clone_from(&hello.zone);
    host.role = hello.role;
    host.incarnation = hello.incarnation;
    host.routing_version = hello.routing_version;
    host.acknowledged_revision =
        if hello.known_revision.0 == boot_id { hello.known_revision.1 } else { 0 };
    host.sent_revision = host.acknowledged_revision;
    for (id, started_at) in &hello.leaving_upstreams {
        board.pending_leaves.push((id.clone(), *started_at, from));
    }
    let now = board.now.mono;
    for (id, seq) in &hello.seen_upstreams {
        let Some(key) = board.upstream_index.get(id) else { continue };
        let upstream = &mut board.upstreams[*key];
        if *seq >= upstream.announced.seq {
            upstream.announced.seq = *seq;
            upstream.last_seen = now;
        }
    }
}

fn handle_view(board: &mut Board, from: HostId, view: &View) {
    let Some(key) = board.ensure_host(from, Role::Store) else { return };
    let host = &mut board.hosts[key];
    host.name.clone_from(&view.name);
    host.zone.clone_from(&view.zone);
    host.role = Role::Store;
    host.known_revision = view.revision;
    board.leader = board.leader.max(view.leader);
    for store in &view.stores {
        board.ensure_host(*store, Role::Store);
    }
    if let Some(routing) = &view.routing {
        board.received_routing = Some(routing.clone());
    }
    for record in &view.upstreams {
        let UpstreamRecord { announced, silent, gone, said_leaving } = record;
        let source = AnnouncementSource::Registry {
            host: from,
            silent: *silent,
            gone: *gone,
            said_leaving: *said_leaving,
        };
        board.pending_announcements.push((announced.clone(), source));
    }
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
    let due =
        |host: &&crate::gateway::board::Host| host.role == Role::Store && host.next_hello <= now;
    let due: Vec<HostId> = board.hosts.values().filter(due).map(|host| host.id).collect();
    if due.is_empty() {
        return;
    }
    let seen_upstreams =
        if board.cfg.role == Role::Store { take_direct_announcements(board) } else { Vec::new() };
    let suspects = board.suspects.digest();
    let leaving_upstreams = leaving_upstreams(board);
    for id in due {
        let Some(key) = board.host_index.get(&id).copied() else { continue };
        let routing = board.routing.as_ref().map_or(0, |routing| routing.version);
        let host = &mut board.hosts[key];
        let interval = if host.is_live(now) { HELLO_INTERVAL } else { SILENT_HELLO_INTERVAL };
        host.next_hello = now + interval;
        let hello = Hello {
            name: board.cfg.name.clone(),
            zone: board.cfg.zone.clone(),
            role: board.cfg.role,
            incarnation: board.cfg.incarnation,
            routing_version: routing,
            known_revision: host.known_revision,
            seen_upstreams: seen_upstreams.clone(),
            suspects,
            leaving_upstreams: leaving_upstreams.clone(),
        };
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

/// Removes and returns the upstreams that announced themselves to this host since its last hello,
/// with the number of their last announcement.
fn take_direct_announcements(board: &mut Board) -> Vec<(Box<str>, u64)> {
    let mut announced = Vec::new();
    for upstream in board.upstreams.values_mut() {
        if !std::mem::take(&mut upstream.seen_directly) {
            continue;
        }
        announced.push((upstream.announced.id.clone(), upstream.announced.seq));
    }
    announced
}
