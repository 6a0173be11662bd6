//! Routing: puts a received routing configuration in force if it is newer than the current one.
//!
//! Reads: `received_routing`, `routing`. Writes: `routing`, `actions`.

use super::Controller;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::timeline::EventKind;

/// Puts routing configurations in force.
#[derive(Debug)]
pub(super) struct RoutingInForce;

impl Controller for RoutingInForce {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        let Some(received) = board.received_routing.take() else { return };
        let old = board.routing.as_ref().map_or(0, |routing| routing.version);
        if received.version <= old {
            return;
        }
        let (routes, services) = (received.routes.len(), received.services.len());
        let detail = format!("before={old} routes={routes} services={services}");
        board.note(EventKind::SettingsInForce, format!("routing-{}", received.version), detail);
        board.routing = Some(received);
        board.another_round = true;
    }
}
