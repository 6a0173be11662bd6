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

/// Sends views to other hosts.
#[derive(Debug)]
pub(super) struct Views;

impl Controller for Views {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        let hello_from = hello_sender(event);
        let changed = std::mem::take(&mut board.registry_changed);
        let keys: Vec<HostKey> = board.hosts.keys().collect();
        for key in keys {
            let sent_hello = hello_from == Some(board.hosts[key].id);
            if sent_hello || changed || lacks_routing(board, key, sent_hello) {
                send_view(board, key, sent_hello);
            }
        }
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
fn lacks_routing(board: &Board, key: HostKey, sent_hello: bool) -> bool {
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
    let routing = if lacks_routing(board, key, sent_hello) { board.routing.clone() } else { None };
    let sent = board.hosts[key].sent_revision;
    let mut upstreams = Vec::new();
    for upstream in board.upstreams.values() {
        if upstream.revision <= sent {
            continue;
        }
        let (announced, silent, gone) =
            (upstream.announced.clone(), upstream.silent, upstream.gone);
        upstreams.push(UpstreamRecord { announced, silent, gone });
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
