//! Routing: puts the newest routing configuration that was found in force, never an older one.
//!
//! Reads: `routing_offered`. Writes: `routing`.

use super::Controller;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::timeline::EventKind;

/// Puts configurations in force.
#[derive(Debug)]
pub(super) struct RoutingInForce;

impl Controller for RoutingInForce {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        let Some(offered) = board.received_routing.take() else { return };
        let old = board.routing.as_ref().map_or(0, |routing| routing.version);
        if offered.version <= old {
            return;
        }
        let (routes, services) = (offered.routes.len(), offered.services.len());
        let detail = format!("before={old} routes={routes} services={services}");
        board.note(EventKind::SettingsInForce, format!("routing-{}", offered.version), detail);
        board.routing = Some(offered);
        board.another_round = true;
    }
}
