//! Reach: tracks whether this entry host can open connections to the upstreams over its own links, and
//! probes them while it can't.
//!
//! Reads: the ends of connections, `upstreams`, the clock.
//! Writes: `reach`, `upstreams` (unreachable, failures of links), `actions`.

use rand::Rng;

use super::Controller;
use super::candidates::{self, CONNECT_TIMEOUT};
use crate::gateway::action::Action;
use crate::gateway::board::{Board, LinkState};
use crate::gateway::event::Event;
use crate::key::UpstreamKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The interval between two connections that are opened without a request while the links are not sound.
const PROBE_INTERVAL: Millis = Millis(500);

/// Tracks and probes the links to the upstreams.
#[derive(Debug)]
pub(super) struct ReachTracking;

impl Controller for ReachTracking {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::DirectConnection { upstream, opened }) = event {
            record(board, *upstream, *opened);
        }
        if board.reach.state() != LinkState::Sound && board.now.mono >= board.reach.next_probe {
            board.reach.next_probe = board.now.mono + PROBE_INTERVAL;
            probe(board);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        match board.reach.state() {
            LinkState::Sound => Millis::MAX,
            LinkState::Doubted | LinkState::Lost => board.reach.next_probe,
        }
    }
}

fn record(board: &mut Board, key: UpstreamKey, opened: bool) {
    let now = board.now.mono;
    if let Some(upstream) = board.upstreams.get_mut(key) {
        upstream.unreachable = !opened;
        if opened {
            upstream.link_health.record_answer();
        } else {
            board.reach.failed_service.clone_from(&upstream.announced.service);
        }
    }
    let last_opened = board.reach.last_opened();
    let before =
        if opened { board.reach.record_opened(now) } else { board.reach.record_failed(key, now) };
    match (before, board.reach.state()) {
        (LinkState::Sound | LinkState::Doubted, LinkState::Lost) => {
            report_lost(board, last_opened);
        }
        (LinkState::Lost, LinkState::Sound) => {
            let lost_ms = now.since(board.reach.failing_since()).0;
            let name = board.cfg.name.clone();
            board.note(EventKind::Dependency, name, format!("links=sound lost_ms={lost_ms}"));
        }
        _ => {}
    }
}

fn report_lost(board: &mut Board, last_opened: Option<Millis>) {
    let failed = board.reach.failed().iter().filter_map(|key| board.upstreams.get(*key));
    let tried: Vec<&str> = failed.map(|upstream| &*upstream.announced.id).collect();
    let age = last_opened.map(|at| board.now.mono.since(at).0);
    let detail = format!("links=lost tried={tried:?} last_opened_ms_ago={age:?}");
    let name = board.cfg.name.clone();
    board.note(EventKind::Dependency, name, detail);
}

/// Opens a connection to an upstream of the service that failed, if possible to one that did not.
fn probe(board: &mut Board) {
    let usable = candidates::usable(board, &board.reach.failed_service).map(|(key, _)| key);
    let (failed, others): (Vec<UpstreamKey>, Vec<UpstreamKey>) =
        usable.partition(|key| board.reach.failed().contains(key));
    let targets = if others.is_empty() { failed } else { others };
    if targets.is_empty() {
        return;
    }
    let key = targets[board.rng.random_range(0..targets.len())];
    let upstream = board.upstreams[key].address(key);
    board.actions.push(Action::Probe { upstream, connect: CONNECT_TIMEOUT });
}
