//! Views: sends other hosts the upstream records and the routing configuration that they lack.
//!
//! Reads: hellos of other hosts, `hosts`, `upstreams`, `revision`, `registry_changed`, `routing`,
//! `leader`, the clock.
//! Writes: `hosts` (what was sent), `registry_changed`, `actions`.

use super::Controller;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::gateway::message::{GatewayMessage, UpstreamRecord, View};
use crate::gateway::settings::Role;
use crate::key::{HostId, HostKey};
use crate::message::Message;
use crate::time::Millis;

/// The minimum delay before a host is sent a routing configuration again.
const ROUTING_RESEND_DELAY: Millis = Millis(900);

/// The least time between two rounds of views for changes of the registry. Each round goes to every
/// host, so changes that come close together share one.
const CHANGE_INTERVAL: Millis = Millis(200);

/// Sends views to other hosts.
#[derive(Debug, Default)]
pub(super) struct Views {
    next_change: Millis,
}

impl Controller for Views {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        let hello_from = hello_sender(event);
        let now = board.now.mono;
        let changed = board.registry_changed && now >= self.next_change;
        if changed {
            board.registry_changed = false;
            self.next_change = now + CHANGE_INTERVAL;
        }
        let keys: Vec<HostKey> = board.hosts.keys().collect();
        for key in keys {
            let sent_hello = hello_from == Some(board.hosts[key].id);
            if sent_hello || changed || is_routing_due(board, key, sent_hello) {
                send_view(board, key, sent_hello);
            }
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.registry_changed { self.next_change } else { Millis::MAX }
    }
}

fn hello_sender(event: Option<&Event>) -> Option<HostId> {
    let Some(Event::Received(envelope)) = event else { return None };
    let Message::Gateway(message) = &envelope.message else { return None };
    matches!(**message, GatewayMessage::Hello(_)).then_some(envelope.from)
}

/// Returns whether a host is to be sent the routing configuration now.
///
/// A change is sent at once to the entry hosts of this zone, and to an entry host elsewhere when
/// its hello shows that it still lacks the change. Each host thus gets one copy, and another one if
/// the first is lost.
fn is_routing_due(board: &Board, key: HostKey, sent_hello: bool) -> bool {
    let host = &board.hosts[key];
    let newest = board.routing.as_ref().map_or(0, |routing| routing.version);
    if host.role != Role::Entry || !host.is_live(board.now.mono) || host.routing_version >= newest {
        return false;
    }
    let (sent, at) = host.routing_sent;
    let resend = sent_hello && board.now.mono.since(at) >= ROUTING_RESEND_DELAY;
    let first = sent < newest && (sent_hello || host.zone == board.cfg.zone);
    first || resend
}

fn send_view(board: &mut Board, key: HostKey, sent_hello: bool) {
    let now = board.now.mono;
    if !board.hosts[key].is_live(now) {
        return;
    }
    let routing = if is_routing_due(board, key, sent_hello) { board.routing.clone() } else { None };
    let sent = board.hosts[key].sent_revision;
    let mut upstreams = Vec::new();
    for upstream in board.upstreams.values() {
        if upstream.revision <= sent {
            continue;
        }
        upstreams.push(UpstreamRecord {
            announced: upstream.announced.clone(),
            silent: upstream.silent,
            gone: upstream.gone,
            said_leaving: upstream.said_leaving.is_some(),
        });
    }
    let view = View {
        name: board.cfg.name.clone(),
        zone: board.cfg.zone.clone(),
        leader: board.leader,
        stores: board.live_stores(),
        routing,
        revision: (board.cfg.boot_id, board.revision),
        upstreams,
    };
    let revision = board.revision;
    let host = &mut board.hosts[key];
    host.sent_revision = revision;
    if let Some(routing) = &view.routing {
        host.routing_sent = (routing.version, now);
    }
    let to = host.id;
    board.send(to, GatewayMessage::View(view));
}
