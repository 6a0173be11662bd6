//! Reminders: tells a store host that has restarted which upstreams leave, as far as it doesn't say so.
//!
//! Reads: views of store hosts, `upstreams`, the clock.
//! Writes: `actions`.
//!
//! A store host restores from its disk what it has written down. It lacks what it never learned, what
//! was on a lost disk, and what an earlier version kept in memory only. Entry hosts may have run on.

use std::collections::{BTreeMap, BTreeSet};

use super::Controller;
use crate::gateway::board::{Board, Upstream};
use crate::gateway::event::Event;
use crate::gateway::message::{GatewayMessage, UpstreamRecord, View};
use crate::key::HostId;
use crate::message::Message;

/// The most upstreams of which a store host is told at once; the ones that changed last are chosen.
const MAX_REMINDED: usize = 512;

/// Reminds store hosts of upstreams that leave.
#[derive(Debug, Default)]
pub(super) struct Reminders {
    /// The boot id of the process of each store host that was last reminded.
    reminded: BTreeMap<HostId, u64>,
}

impl Controller for Reminders {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        let Some(Event::Received(envelope)) = event else { return };
        let Message::Gateway(message) = &envelope.message else { return };
        let GatewayMessage::View(view) = &**message else { return };
        let (boot_id, _) = view.revision;
        let lists_all = matches!(view.since, None | Some(0));
        if !lists_all || self.reminded.insert(envelope.from, boot_id) == Some(boot_id) {
            return;
        }
        self.reminded.retain(|host, _| board.host_index.contains_key(host));
        let upstreams = missing_departures(board, view);
        if !upstreams.is_empty() {
            board.send(envelope.from, GatewayMessage::Leaves { number: 0, upstreams });
        }
    }
}

/// Returns the upstreams that leave, and of which a view that lists all upstreams does not say so.
fn missing_departures(board: &Board, view: &View) -> Vec<UpstreamRecord> {
    let instance =
        |record: &UpstreamRecord| (record.announced.id.clone(), record.announced.started_at);
    let listed: BTreeSet<_> =
        view.upstreams.iter().filter(|record| record.departs()).map(instance).collect();
    let mut missing: Vec<&Upstream> = Vec::new();
    for upstream in board.upstreams.values() {
        let announced = &upstream.announced;
        let is_listed = listed.contains(&(announced.id.clone(), announced.started_at));
        let is_over = upstream.is_departure_over(board.now.wall);
        if !upstream.accepts_requests() && !is_over && !is_listed {
            missing.push(upstream);
        }
    }
    missing.sort_unstable_by_key(|upstream| std::cmp::Reverse(upstream.revision));
    missing.truncate(MAX_REMINDED);
    missing.into_iter().map(|upstream| upstream.record(board.now)).collect()
}
