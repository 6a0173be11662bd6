//! Capacity: exchanges with other hosts which upstreams are clearly slower than their peers.
//!
//! Reads: hellos and views of other hosts, `hosts` (subscribers), the clock.
//! Writes: `upstreams` (slow reports), `revision`, `registry_changed`, `actions`.
//!
//! Entry hosts report slow upstreams in their hellos; a store host that has several reports says so in
//! its records, and withdraws it when the reports cease. Nothing is sent while no upstream is slow,
//! nor without learned capacity.

use super::Controller;
use super::registry::report_change;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::gateway::message::{GatewayMessage, UpstreamRecord};
use crate::gateway::settings::Role;
use crate::key::HostId;
use crate::message::{Envelope, Message};
use crate::time::Millis;

/// The interval between two checks whether reports have ceased.
const CHECK_INTERVAL: Millis = Millis(250);

/// Exchanges which upstreams are slow.
#[derive(Debug, Default)]
pub(super) struct Capacity {
    check_at: Millis,
    /// Whether reports of an upstream are kept, as of the last check or message; never on an entry host.
    has_reports: bool,
}

impl Controller for Capacity {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if !board.cfg.learned_capacity {
            return;
        }
        if let Some(Event::Received(envelope)) = event
            && handle_message(board, envelope)
        {
            self.has_reports = true;
            self.check_at = board.now.mono;
        }
        if self.has_reports && board.now.mono >= self.check_at {
            self.check_at = board.now.mono + CHECK_INTERVAL;
            self.has_reports = update_statements(board);
        }
    }

    fn next_deadline(&self, _board: &Board) -> Millis {
        if self.has_reports { self.check_at } else { Millis::MAX }
    }
}

/// Records what a message of another host says about slow upstreams, and returns whether it has
/// reports for this store host.
fn handle_message(board: &mut Board, envelope: &Envelope) -> bool {
    let Message::Gateway(message) = &envelope.message else { return false };
    match &**message {
        GatewayMessage::Hello(hello) if board.cfg.role == Role::Store => {
            let now = board.now.mono;
            for (id, started_at) in &hello.slow_upstreams {
                let Some(key) = board.upstream_index.get(id) else { continue };
                let upstream = &mut board.upstreams[*key];
                if upstream.announced.started_at == *started_at {
                    upstream.slow_reports.add(envelope.from, now);
                }
            }
            !hello.slow_upstreams.is_empty()
        }
        GatewayMessage::View(view) => {
            apply_statements(board, envelope.from, &view.upstreams);
            false
        }
        _ => false,
    }
}

fn apply_statements(board: &mut Board, from: HostId, records: &[UpstreamRecord]) {
    let now = board.now.mono;
    for record in records {
        let Some(key) = board.upstream_index.get(&record.announced.id) else { continue };
        let upstream = &mut board.upstreams[*key];
        if upstream.announced.started_at == record.announced.started_at {
            upstream.slow_reports.apply_statement(from, record.slow, now);
        }
    }
}

/// Updates the statements of this store host, and returns whether reports or statements are left.
fn update_statements(board: &mut Board) -> bool {
    let (now, subscribers) = (board.now.mono, board.subscribers().len());
    let mut changed = Vec::new();
    for (key, upstream) in &mut board.upstreams {
        if upstream.slow_reports.is_active() && upstream.slow_reports.update(now, subscribers) {
            changed.push(key);
        }
    }
    for key in changed {
        let slow = board.upstreams[key].slow_reports.is_stated();
        report_change(board, key, if slow { "slow" } else { "no longer slow" }, None);
    }
    board.upstreams.values().any(|upstream| upstream.slow_reports.is_active())
}
