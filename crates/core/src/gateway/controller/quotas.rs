//! Quotas: keeps what all hosts send to an upstream with a limit within that limit.
//!
//! Reads: requests for permits, grants, `upstreams` (limits), `leader`, the clock.
//! Writes: `quota_waits`, `quota_claims`, `upstreams` (permits and ledgers), `counters`, `actions`.
//!
//! The leader of the directory group grants permits from one ledger for each upstream, so that no two
//! hosts count the same part of a limit. An entry host asks for permits when requests wait for them,
//! and in advance for as many as it has sent lately. A host without a permit sends nothing, also
//! while no host leads: another leader grants nothing before the permits of the one before it
//! have expired. Requests that wait are served by priority and then by deadline; items and reward
//! calls, which the leader sends itself, come after them. Nothing is sent or counted while no upstream
//! has a limit.

mod asking;
mod granting;

use super::Controller;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::gateway::message::GatewayMessage;
use crate::gateway::settings::Role;
use crate::message::Message;
use crate::time::Millis;

/// Asks for permits on an entry host, and grants them on the leader.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    /// The number of the last request for permits.
    last_number: u64,
}

impl Controller for Quotas {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Gateway(message) = &envelope.message
        {
            match &**message {
                GatewayMessage::QuotaRequest(request) => {
                    granting::handle_request(board, envelope.from, request);
                }
                GatewayMessage::QuotaGrant(grant) => asking::handle_grant(board, grant),
                _ => {}
            }
        }
        match board.cfg.role {
            Role::Entry => asking::ask(board, &mut self.last_number),
            Role::Store => granting::serve_claims(board),
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        granting::next_deadline(board)
    }
}
