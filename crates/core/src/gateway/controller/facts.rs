//! Facts: writes what must outlast all processes to the disk, and restores it.
//!
//! Reads: restored facts, synced batches, `facts` (what changed), the clock.
//! Writes: `facts`, `upstreams` and `upstream_index` (restored departures), `unheard`, `stream_origins`,
//! `revision`, `registry_changed`, `actions`.
//!
//! An instance that left is restored to the registry, so that announcements which are late don't bring
//! it back. One that had not left gets no work before it announces itself, but it may leave.

use std::collections::BTreeMap;

use super::Controller;
use super::registry::report_change;
use crate::gateway::board::{Board, DEPARTURE_RETENTION, LeaveSource, SaidLeaving, Upstream};
use crate::gateway::event::Event;
use crate::gateway::facts::{Fact, FactBatch};
use crate::gateway::message::UpstreamRecord;
use crate::time::{Millis, Now};
use crate::timeline::EventKind;

/// The most facts on upstreams that are kept on the disk. Beyond it, instances that have not left are
/// dropped first, then the ones that changed first.
const MAX_UPSTREAM_FACTS: usize = 16_384;

/// The number of facts on the disk from which they are replaced by those that still matter, in addition
/// to twice the number of those.
const MIN_REPLACED: usize = 512;

/// How long after the start of the process an instance may announce itself that was known before.
const UNHEARD_RETENTION: Millis = Millis(120_000);

/// Keeps facts on the disk.
#[derive(Debug, Default)]
pub(super) struct Facts {
    /// The number of facts on the disk.
    written: usize,
    /// The number of facts on the disk from which they are replaced.
    replace_at: usize,
}

impl Controller for Facts {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::RestoredFacts(facts)) => self.restore(board, facts),
            Some(Event::Synced(token)) => board.facts.mark_synced(*token),
            _ => {}
        }
        if board.now.mono > UNHEARD_RETENTION {
            board.unheard.clear();
        }
        let Some(changed) = board.facts.take_changed() else { return };
        let mut facts = Vec::new();
        for key in changed.upstreams {
            let Some(upstream) = board.upstreams.get(key) else { continue };
            facts.push(fact(upstream, board.now));
        }
        let at = board.now.wall;
        facts.extend(changed.streams.into_iter().map(|record| Fact::Stream { at, record }));
        self.written += facts.len();
        let batch = if !facts.is_empty() && self.written >= self.replace_at {
            self.replace(board)
        } else {
            FactBatch { facts, replaces: false }
        };
        board.facts.send(batch);
    }
}

impl Facts {
    /// Restores the state that the facts on the disk tell of.
    fn restore(&mut self, board: &mut Board, facts: &[Fact]) {
        let mut newest: BTreeMap<&str, (Millis, &UpstreamRecord)> = BTreeMap::new();
        for fact in facts {
            let (at, record) = match fact {
                Fact::Upstream { at, record } => (*at, record),
                Fact::Stream { at, record } => {
                    board.stream_origins.insert(record.clone(), *at, board.now.wall);
                    continue;
                }
            };
            let known = newest.entry(&record.announced.id).or_insert((at, record));
            if record.announced.order() >= known.1.announced.order() {
                *known = (at, record);
            }
        }
        let streams = board.stream_origins.iter().count();
        self.written = facts.len();
        self.replace_at = 2 * (newest.len() + streams) + MIN_REPLACED;
        let mut departed = 0;
        for (id, (at, record)) in newest {
            if board.upstream_index.contains_key(id) {
                continue;
            }
            if !record.departs() {
                board.unheard.insert(id.into(), record.announced.clone());
            } else if board.now.wall.since(at) <= DEPARTURE_RETENTION {
                restore_departure(board, at, record);
                departed += 1;
            }
        }
        let unheard = board.unheard.len();
        let read = facts.len();
        let detail =
            format!("facts={read} departed={departed} unheard={unheard} streams={streams}");
        board.note(EventKind::Started, "facts restored", detail);
    }

    /// Returns the facts that still matter, which replace those on the disk.
    fn replace(&mut self, board: &mut Board) -> FactBatch {
        let mut known = Vec::new();
        for upstream in board.upstreams.values() {
            if !upstream.is_departure_over(board.now.wall) {
                known.push((!upstream.accepts_requests(), upstream.revision, upstream));
            }
        }
        known.sort_unstable_by_key(|(departs, revision, _)| (*departs, *revision));
        let dropped = known.len().saturating_sub(MAX_UPSTREAM_FACTS);
        let kept = known.into_iter().skip(dropped);
        let mut facts: Vec<Fact> = kept.map(|(_, _, upstream)| fact(upstream, board.now)).collect();
        let room = MAX_UPSTREAM_FACTS - facts.len();
        for announced in board.unheard.values().take(room) {
            let upstream = Upstream::new(announced.clone(), board.now.mono);
            facts.push(fact(&upstream, board.now));
        }
        let streams = board.stream_origins.iter();
        facts.extend(streams.map(|(at, record)| Fact::Stream { at, record: record.clone() }));
        let detail = format!("written={} kept={} dropped={dropped}", self.written, facts.len());
        board.note(EventKind::Dependency, "facts replaced", detail);
        self.written = facts.len();
        self.replace_at = 2 * facts.len() + MIN_REPLACED;
        FactBatch { facts, replaces: true }
    }
}

fn fact(upstream: &Upstream, now: Now) -> Fact {
    let at = upstream.departed_at.unwrap_or(now.wall);
    Fact::Upstream { at, record: upstream.record(now) }
}

/// Adds an upstream that had left to the registry.
fn restore_departure(board: &mut Board, at: Millis, record: &UpstreamRecord) {
    let now = board.now.mono;
    let mut upstream = Upstream::new(record.announced.clone(), now);
    (upstream.gone, upstream.left) = (record.gone, record.left);
    if record.said_leaving {
        upstream.said_leaving =
            Some(SaidLeaving { at: now, source: LeaveSource::Host(board.cfg.id) });
    }
    (upstream.saved_departure, upstream.departed_at) = (Some(upstream.departure()), Some(at));
    let id = record.announced.id.clone();
    let key = board.upstreams.insert(upstream);
    board.upstream_index.insert(id, key);
    report_change(board, key, "restored", None);
}
