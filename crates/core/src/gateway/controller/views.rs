//! Views: tells the hosts that said hello what they lack.
//!
//! Reads: `hosts`, `upstreams`, `routing`, `leader`. Writes: `hosts` (what was sent), `actions`.

use super::Controller;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::gateway::message::{GatewayMessage, UpstreamRecord, View};
use crate::gateway::settings::Role;
use crate::key::{HostId, HostKey};
use crate::message::Message;
use crate::time::Millis;

/// How long a routing configuration that was sent is not sent again.
const ROUTING_RESEND: Millis = Millis(900);

/// Sends views.
#[derive(Debug)]
pub(super) struct Views;

impl Controller for Views {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        let greeted = greeted_by(event);
        let changed = std::mem::take(&mut board.registry_changed);
        let keys: Vec<HostKey> = board.hosts.keys().collect();
        for key in keys {
            let asked = greeted == Some(board.hosts[key].id);
            if asked || changed || lacks_routing(board, key, asked) {
                send_view(board, key, asked);
            }
        }
    }
}

fn greeted_by(event: Option<&Event>) -> Option<HostId> {
    let Some(Event::Received(envelope)) = event else { return None };
    let Message::Gateway(message) = &envelope.message else { return None };
    matches!(**message, GatewayMessage::Hello(_)).then_some(envelope.from)
}

/// Tells whether a host is to be sent the routing configuration now.
///
/// A change goes at once to the hosts of this zone, and to every host whose hello shows that it
/// still lacks it, so that each host gets one copy and a lost one is made up for.
fn lacks_routing(board: &Board, key: HostKey, asked: bool) -> bool {
    let host = &board.hosts[key];
    let newest = board.routing.as_ref().map_or(0, |routing| routing.version);
    if host.role != Role::Entry || !host.is_live(board.now.mono) || host.routing_version >= newest {
        return false;
    }
    let (sent, at) = host.routing_sent;
    let resend = asked && board.now.mono.since(at) >= ROUTING_RESEND;
    let first = sent < newest && (asked || host.zone == board.cfg.zone);
    first || resend
}

fn send_view(board: &mut Board, key: HostKey, asked: bool) {
    let now = board.now.mono;
    if !board.hosts[key].is_live(now) {
        return;
    }
    let routing = if lacks_routing(board, key, asked) { board.routing.clone() } else { None };
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
