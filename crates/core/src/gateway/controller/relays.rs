//! Relays: decides which connections to upstreams this store host relays for other hosts.
//!
//! Reads: opened calls, callers that are gone, `upstreams`, `draining`.
//! Writes: `relayed`, `counters`, `actions`.

use super::Controller;
use super::calls::not_ready;
use crate::error::{ErrorKind, Problem};
use crate::gateway::action::Answer;
use crate::gateway::board::Board;
use crate::gateway::event::{Call, Event, IncomingCall};

/// The most connections that a host relays at a time.
const MAX_RELAYED_CONNECTIONS: usize = 256;

/// Decides on connections to relay.
#[derive(Debug)]
pub(super) struct Relays;

impl Controller for Relays {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::Opened(opened)) => handle_opened(board, opened),
            Some(Event::CallerGone { tag }) => {
                board.relayed.remove(tag);
            }
            _ => {}
        }
    }
}

fn handle_opened(board: &mut Board, opened: &IncomingCall) {
    let Call::Relay { upstream } = &opened.call else { return };
    match relay_address(board, upstream) {
        Ok(address) => {
            board.relayed.insert(opened.tag);
            board.answer(opened.tag, Answer::RelayTo { address });
        }
        Err(problem) => {
            board.counters.relays_refused += 1;
            board.reject(opened.tag, &opened.trace, problem);
        }
    }
}

/// Returns the address of an upstream to which a connection may be relayed now.
///
/// Only known upstreams have one, so that a relay leads nowhere else. Whether an upstream that leaves
/// may be used is for the host that asks to decide.
fn relay_address(board: &Board, upstream: &str) -> Result<Box<str>, Problem> {
    if board.draining.is_some() {
        return Err(not_ready("the host stops"));
    }
    if board.relayed.len() >= MAX_RELAYED_CONNECTIONS {
        let detail = "the host relays too many connections";
        return Err(Problem::not_run(ErrorKind::Overloaded, detail));
    }
    let key = board.upstream_index.get(upstream);
    let upstream = key.and_then(|key| board.upstreams.get(*key)).filter(|upstream| !upstream.gone);
    let unknown = || Problem::not_run(ErrorKind::NotFound, "the upstream is not known");
    upstream.map(|upstream| upstream.announced.address.clone()).ok_or_else(unknown)
}
