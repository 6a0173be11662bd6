//! Membership: finds the store hosts from the seeds on, and keeps in touch with them.
//!
//! Reads: messages of hosts, reloaded seeds, the clock.
//! Writes: `hosts`, `leader`, `routing_offered`, `announced`, `actions`.

use super::Controller;
use crate::gateway::board::{AnnouncementSource, Board};
use crate::gateway::event::Event;
use crate::gateway::message::{GatewayMessage, Hello, UpstreamRecord, View};
use crate::gateway::settings::Role;
use crate::key::{HostId, HostKey};
use crate::message::{Envelope, Message};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The time between two hellos to a host; a lost change is made up for within it.
const HELLO_EVERY: Millis = Millis(1_000);

/// The time between two hellos to a host that does not answer.
const HELLO_SILENT_EVERY: Millis = Millis(2_000);

/// How long a host that never answers again is kept, unless it is a seed.
const FORGET_AFTER: Millis = Millis(120_000);

/// Finds hosts.
#[derive(Debug)]
pub(super) struct Membership;

impl Controller for Membership {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::Received(envelope)) => receive(board, envelope),
            Some(Event::Reloaded { seeds }) => take_seeds(board, seeds),
            _ => {}
        }
        note_liveness(board);
        say_hello(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let hellos = board.hosts.values().filter(|host| host.role == Role::Store);
        hellos.map(|host| host.next_hello).min().unwrap_or(Millis::MAX)
    }
}

fn take_seeds(board: &mut Board, seeds: &[HostId]) {
    board.cfg.seeds = seeds.to_vec();
    for seed in seeds {
        board.ensure_host(*seed, Role::Store);
    }
    let names: Vec<u32> = seeds.iter().map(|seed| seed.0).collect();
    board.note(EventKind::Reloaded, "seeds", format!("{names:?}"));
}

fn receive(board: &mut Board, envelope: &Envelope) {
    let from = envelope.from;
    match &envelope.message {
        Message::Gateway(message) => match &**message {
            GatewayMessage::Hello(hello) => take_hello(board, from, hello),
            GatewayMessage::View(view) => take_view(board, from, view),
            GatewayMessage::Request { .. } | GatewayMessage::Reply { .. } => {}
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

fn take_hello(board: &mut Board, from: HostId, hello: &Hello) {
    let Some(key) = board.ensure_host(from, hello.role) else { return };
    let life = board.cfg.boot_id;
    let host = &mut board.hosts[key];
    host.name.clone_from(&hello.name);
    host.zone.clone_from(&hello.zone);
    host.role = hello.role;
    host.incarnation = hello.incarnation;
    host.routing_version = hello.routing_version;
    host.acknowledged_revision =
        if hello.known_revision.0 == life { hello.known_revision.1 } else { 0 };
    host.sent_revision = host.acknowledged_revision;
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

fn take_view(board: &mut Board, from: HostId, view: &View) {
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
        let UpstreamRecord { announced, silent, gone } = record;
        let source = AnnouncementSource::Registry { host: from, silent: *silent, gone: *gone };
        board.pending_announcements.push((announced.clone(), source));
    }
}

fn note_liveness(board: &mut Board) {
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
        let silent = host.last_seen.map_or(0, |heard| now.since(heard).0);
        let kind = if live { EventKind::HostUp } else { EventKind::HostDown };
        board.note(kind, subject, format!("host={id} role={role:?} silent_ms={silent}"));
    }
    forget_silent(board);
}

/// Forgets hosts that have been silent for long, and entry hosts that no longer say hello.
fn forget_silent(board: &mut Board) {
    let now = board.now.mono;
    let seeds = &board.cfg.seeds;
    let mut forgotten = Vec::new();
    for host in board.hosts.values() {
        let long = host.last_seen.is_some_and(|heard| now.since(heard) > FORGET_AFTER);
        if long && !seeds.contains(&host.id) {
            forgotten.push(host.id);
        }
    }
    for id in forgotten {
        let Some(key) = board.host_index.remove(&id) else { continue };
        board.hosts.remove(key);
    }
}

fn say_hello(board: &mut Board) {
    let now = board.now.mono;
    let due =
        |host: &&crate::gateway::board::Host| host.role == Role::Store && host.next_hello <= now;
    let due: Vec<HostId> = board.hosts.values().filter(due).map(|host| host.id).collect();
    if due.is_empty() {
        return;
    }
    let heard = if board.cfg.role == Role::Store { take_heard(board) } else { Vec::new() };
    for id in due {
        let Some(key) = board.host_index.get(&id).copied() else { continue };
        let routing = board.routing.as_ref().map_or(0, |routing| routing.version);
        let host = &mut board.hosts[key];
        let every = if host.is_live(now) { HELLO_EVERY } else { HELLO_SILENT_EVERY };
        host.next_hello = now + every;
        let hello = Hello {
            name: board.cfg.name.clone(),
            zone: board.cfg.zone.clone(),
            role: board.cfg.role,
            incarnation: board.cfg.incarnation,
            routing_version: routing,
            known_revision: host.known_revision,
            seen_upstreams: heard.clone(),
        };
        board.send(id, GatewayMessage::Hello(hello));
    }
}

/// Returns the upstreams that this host heard itself since it last told the others.
fn take_heard(board: &mut Board) -> Vec<(Box<str>, u64)> {
    let mut heard = Vec::new();
    for upstream in board.upstreams.values_mut() {
        if !std::mem::take(&mut upstream.seen_directly) {
            continue;
        }
        heard.push((upstream.announced.id.clone(), upstream.announced.seq));
    }
    heard
}
