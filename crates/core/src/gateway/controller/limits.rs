//! Limits: what upstreams say in their answers about the requests that they take.
//!
//! Reads: answers to this host, `pending_limits`, the clocks.
//! Writes: `upstreams` (limits), `has_limits`, `revision`, `registry_changed`, `hosts` (the next
//! hello), `actions`.
//!
//! A limit holds until an answer names none, or until another instance starts. Hosts tell the stores
//! with their hellos, and the stores all others with the registry.

use super::Controller;
use super::registry::{hasten_hellos, report_change};
use crate::gateway::board::{Board, StatedLimit};
use crate::gateway::event::Event;
use crate::gateway::message::LimitRecord;
use crate::key::{HostId, UpstreamKey};

/// Tracks the limits of upstreams.
#[derive(Debug)]
pub(super) struct Limits;

impl Controller for Limits {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::UpstreamLimit { upstream, rate, answer }) = event {
            let stated = StatedLimit { rate: *rate, at: board.clock.next(board.now.wall) };
            apply(board, *upstream, stated, None, answer);
        }
        let from = match event {
            Some(Event::Received(envelope)) => envelope.from,
            _ => board.cfg.id,
        };
        for LimitRecord { id, started_at, stated } in std::mem::take(&mut board.pending_limits) {
            let Some(key) = board.upstream_index.get(&id).copied() else { continue };
            if board.upstreams[key].announced.started_at == started_at {
                apply(board, key, stated, Some(from), "to another host");
            }
        }
    }
}

/// Applies a statement of an upstream, which `from` has passed on if it was not made to this host.
fn apply(
    board: &mut Board,
    key: UpstreamKey,
    stated: StatedLimit,
    from: Option<HostId>,
    answer: &str,
) {
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    if !upstream.apply_limit(stated, from.is_none()) {
        return;
    }
    board.has_limits = board.upstreams.values().any(|upstream| upstream.rate_limit().is_some());
    let source = from.map_or_else(|| "this host".into(), |from| format!("host {}", from.0));
    let change = match stated.rate {
        Some(rate) => format!("named a limit rate={rate} from={source}: {answer}"),
        None => format!("lifted its limit from={source}: {answer}"),
    };
    report_change(board, key, &change, from);
    if from.is_none() {
        hasten_hellos(board);
    }
}
