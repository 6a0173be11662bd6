//! Lifecycle: says when the host takes requests, and ends it without cutting any.
//!
//! Reads: `routing`, `upstreams`, `requests`, `asks`, `group`. Writes: `ready`, `draining`,
//! `actions`.

use super::Controller;
use crate::gateway::action::Action;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::gateway::settings::Role;
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long a stopping entry host goes on taking requests: balancers notice after two misses, a
/// second apart.
const ENTRY_NOTICE: Millis = Millis(3_000);

/// How long a stopping store host goes on: others elect a leader meanwhile.
const STORE_NOTICE: Millis = Millis(700);

/// The share of the time allowed for stopping after which the host ends whatever it holds, in
/// percent.
const GRACE_PERCENT: u64 = 85;

/// The time between two looks while the host stops.
const LOOK_AGAIN: Millis = Millis(50);

/// Starts and ends.
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
            Some(Event::Stop) => begin(board),
            _ => {}
        }
        let ready = can_serve(board);
        if ready != board.ready {
            board.ready = ready;
            let name = board.cfg.name.clone();
            let detail = format!("ready={ready} upstreams={}", board.upstreams.len());
            board.note(EventKind::Dependency, name, detail);
        }
        finish(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.draining.is_some() { board.now.mono + LOOK_AGAIN } else { Millis::MAX }
    }
}

fn can_serve(board: &Board) -> bool {
    board.draining.is_none() && board.routing.is_some() && !board.upstreams.is_empty()
}

fn begin(board: &mut Board) {
    if board.draining.is_some() {
        return;
    }
    board.draining = Some(board.now.mono);
    if let Some(group) = &mut board.group {
        group.replica.transfer_leadership(&mut group.outbox);
    }
    let name = board.cfg.name.clone();
    let (requests, asks) = (board.requests.len(), board.store_requests.len());
    board.note(EventKind::Draining, name, format!("requests={requests} asks={asks}"));
    board.actions.push(Action::Drain);
}

fn finish(board: &mut Board) {
    let Some(since) = board.draining else { return };
    let passed = board.now.mono.since(since);
    let notice = match board.cfg.role {
        Role::Entry => ENTRY_NOTICE,
        Role::Store => STORE_NOTICE,
    };
    if passed < notice {
        return;
    }
    board.actions.push(Action::CloseIdle);
    let holds = !board.requests.is_empty()
        || !board.store_requests.is_empty()
        || board.group.as_ref().is_some_and(|group| !group.pending_syncs.is_empty());
    let late = passed.0 * 100 >= board.cfg.times.stop_timeout.0 * GRACE_PERCENT;
    if !holds || late {
        board.actions.push(Action::Exit);
    }
}
