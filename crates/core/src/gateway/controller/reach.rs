//! Reach: tracks whether this entry host can open connections to the upstreams over its own links.
//!
//! Reads: the ends of connections, the clock.
//! Writes: `reach`, `upstreams` (unreachable), `actions`.

use super::Controller;
use crate::gateway::board::{Board, LinkState};
use crate::gateway::event::Event;
use crate::key::UpstreamKey;
use crate::timeline::EventKind;

/// Tracks the links to the upstreams.
#[derive(Debug)]
pub(super) struct ReachTracking;

impl Controller for ReachTracking {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::DirectConnection { upstream, opened }) = event {
            record(board, *upstream, *opened);
        }
    }
}

fn record(board: &mut Board, key: UpstreamKey, opened: bool) {
    let now = board.now.mono;
    if let Some(upstream) = board.upstreams.get_mut(key) {
        upstream.unreachable = !opened;
    }
    let failed = board.reach.failed().len();
    let last_opened = board.reach.last_opened();
    let before =
        if opened { board.reach.record_opened(now) } else { board.reach.record_failed(key, now) };
    let name = board.cfg.name.clone();
    match (before, board.reach.state()) {
        (LinkState::Sound | LinkState::Doubted, LinkState::Lost) => {
            let tried: Vec<&str> = board
                .reach
                .failed()
                .iter()
                .filter_map(|key| board.upstreams.get(*key))
                .map(|upstream| &*upstream.announced.id)
                .collect();
            let age = last_opened.map(|at| now.since(at).0);
            let detail = format!("links=lost tried={tried:?} last_opened_ms_ago={age:?}");
            board.note(EventKind::Dependency, name, detail);
        }
        (LinkState::Lost, LinkState::Sound) => {
            let lost_ms = now.since(board.reach.failing_since()).0;
            let detail = format!("links=sound lost_ms={lost_ms} failed_upstreams={failed}");
            board.note(EventKind::Dependency, name, detail);
        }
        _ => {}
    }
}
