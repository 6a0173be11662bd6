//! Lifecycle: decides when the host is ready for requests, and stops it once they have ended.
//!
//! Reads: restored records, the stop event, `routing`, `upstreams`, `requests`, `store_requests`,
//! `group`, the clock.
//! Writes: `ready`, `draining`, `requests` (time limits), `group` (transfers leadership), `actions`.

use super::Controller;
use crate::gateway::action::Action;
use crate::gateway::board::{Board, Upstream};
use crate::gateway::event::Event;
use crate::gateway::settings::Role;
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long a stopping entry host still accepts requests: load balancers notice after two missed
/// checks, one second apart.
pub(super) const ENTRY_DRAIN_TIME: Millis = Millis(3_000);

/// How long a stopping store host continues; the others elect a leader in the meantime.
const STORE_DRAIN_TIME: Millis = Millis(700);

/// The share of the time allowed for stopping after which the host exits even with work in
/// progress, in percent.
const GRACE_PERCENT: u64 = 85;

/// How long before its exit a stopping host has answered all requests.
const EXIT_MARGIN: Millis = Millis(300);

/// The interval between two checks while the host stops.
const DRAIN_POLL_INTERVAL: Millis = Millis(50);

/// Reports the start and the readiness of the host, and stops it.
#[derive(Debug)]
pub(super) struct Lifecycle;

impl Controller for Lifecycle {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::Restored(records)) => {
                let detail = format!(
                    "role={:?} zone={} records={} incarnation={} first_start={}",
                    board.cfg.role,
                    board.cfg.zone,
                    records.len(),
                    board.cfg.incarnation,
                    board.cfg.first_start
                );
                let name = board.cfg.name.clone();
                board.note(EventKind::Started, name, detail);
            }
            Some(Event::Stop) => begin_drain(board),
            _ => {}
        }
        let ready = is_ready(board);
        if ready != board.ready {
            board.ready = ready;
            let name = board.cfg.name.clone();
            let detail = format!("ready={ready} upstreams={}", board.upstreams.len());
            board.note(EventKind::Dependency, name, detail);
        }
        finish_drain(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.draining.is_some() { board.now.mono + DRAIN_POLL_INTERVAL } else { Millis::MAX }
    }
}

fn is_ready(board: &Board) -> bool {
    // A restarted store host tells of upstreams that had left before the others have announced themselves.
    let has_upstreams = || {
        let mut upstreams = board.upstreams.values();
        if board.ready { upstreams.len() > 0 } else { upstreams.any(Upstream::accepts_requests) }
    };
    board.draining.is_none() && board.routing.is_some() && has_upstreams()
}

fn begin_drain(board: &mut Board) {
    if board.draining.is_some() {
        return;
    }
    board.draining = Some(board.now.mono);
    let exit = latest_exit(board).unwrap_or(Millis::MAX);
    for request in board.requests.values_mut() {
        request.until = request.until.min(answer_by(exit));
    }
    if let Some(group) = &mut board.group {
        group.replica.transfer_leadership(&mut group.outbox);
    }
    let name = board.cfg.name.clone();
    let (requests, store_requests) = (board.requests.len(), board.store_requests.len());
    board.note(EventKind::Draining, name, format!("requests={requests} asks={store_requests}"));
    board.actions.push(Action::Drain);
}

/// Returns the time by which a host that exits at `exit` has answered all requests.
pub(super) fn answer_by(exit: Millis) -> Millis {
    Millis(exit.0.saturating_sub(EXIT_MARGIN.0))
}

/// Returns when a stopping host exits at the latest; `None` if it does not stop.
pub(super) fn latest_exit(board: &Board) -> Option<Millis> {
    board.draining.map(|since| since + stop_time(board))
}

/// Returns how long after the stop event the host exits at the latest.
fn stop_time(board: &Board) -> Millis {
    Millis(board.cfg.times.stop_timeout.0 * GRACE_PERCENT / 100)
}

fn finish_drain(board: &mut Board) {
    let Some(since) = board.draining else { return };
    let elapsed = board.now.mono.since(since);
    let drain_time = match board.cfg.role {
        Role::Entry => ENTRY_DRAIN_TIME,
        Role::Store => STORE_DRAIN_TIME,
    };
    if elapsed < drain_time {
        return;
    }
    board.actions.push(Action::CloseIdle);
    let has_work = !board.requests.is_empty()
        || !board.store_requests.is_empty()
        || board.group.as_ref().is_some_and(|group| !group.pending_syncs.is_empty());
    let stop_time = stop_time(board);
    if !has_work || elapsed >= stop_time {
        board.actions.push(Action::Exit { stream_timeout: stop_time.since(elapsed) });
    }
}
