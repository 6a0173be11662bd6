//! The path of a request's connection: this host's own links, or a store host that relays it.

use rand::Rng;

use crate::gateway::action::UpstreamPath;
use crate::gateway::board::{Attempt, Board, Host, LinkState, Request};
use crate::key::HostId;
use crate::time::Millis;

/// The most hosts that are asked to relay one connection.
const MAX_RELAYS: usize = 2;

/// Returns the path of the next attempt of a request.
pub(super) fn path(board: &mut Board, unsent: bool) -> UpstreamPath {
    UpstreamPath { direct: !is_relayed(board, unsent), relays: relays(board) }
}

/// Returns whether the next attempt of a request is relayed: while connections over own links fail, or
/// where one of the request's did.
pub(super) fn is_relayed(board: &Board, unsent: bool) -> bool {
    (unsent || board.reach.state() != LinkState::Sound) && has_relays(board)
}

/// Returns the contacts to ask for a relay, the nearest first and those of one distance in random order.
fn relays(board: &mut Board) -> Vec<HostId> {
    let now = board.now.mono;
    let mut ranked = Vec::new();
    for host in board.hosts.values().filter(|host| can_relay(host, now)) {
        ranked.push((board.cfg.distance(&host.zone), board.rng.random::<u32>(), host.id));
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(.., id)| id).take(MAX_RELAYS).collect()
}

fn can_relay(host: &Host, now: Millis) -> bool {
    host.relays && host.contact_since.is_some() && host.is_live(now)
}

/// Returns whether an attempt waits on links of this host that are lost.
pub(super) fn is_stranded(board: &Board, attempt: &Attempt) -> bool {
    board.reach.state() == LinkState::Lost && !attempt.relayed
}

/// Records that no connection could be opened for an attempt of a request.
///
/// The first one over own links doesn't count as one of the request's attempts if a relay can follow.
pub(super) fn record_unsent(request: &mut Request, attempt: &Attempt, can_be_relayed: bool) {
    if can_be_relayed && !attempt.relayed && !request.unsent {
        request.attempts = request.attempts.saturating_sub(1);
    }
    request.unsent = true;
}

/// Returns whether another host can relay connections.
pub(super) fn has_relays(board: &Board) -> bool {
    board.hosts.values().any(|host| can_relay(host, board.now.mono))
}
