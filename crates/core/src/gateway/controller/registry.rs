//! Registry: upstreams as they announce themselves, here or at other store hosts.
//!
//! Reads: announcements, leaves, the clock. Writes: `upstreams`, `revision`, `registry_changed`.
//!
//! Announcements of one name are ordered by the start of its life and then by their number, so that
//! a delayed one changes nothing. An upstream may send one announcement to two hosts, and change in
//! between; then the same one of the two holds at every host. An upstream that falls silent is not taken for gone: it may be
//! cut off from the store hosts only, so requests prefer others and no more.

use super::Controller;
use crate::gateway::action::Answer;
use crate::gateway::board::{AnnouncementSource, Board, Upstream};
use crate::gateway::event::{Announcement, Call, Event, IncomingCall};
use crate::gateway::settings::Role;
use crate::key::{HostId, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// How many announcements an upstream may miss before it counts as silent.
const MISSED_ANNOUNCEMENTS: u64 = 4;

/// How long a silent or departed upstream is kept, so that late announcements find it.
const KEPT: Millis = Millis(60_000);

/// How long after a leave newer announcements of the same life are taken for late ones.
const LEAVE_SETTLES: Millis = Millis(3_000);

/// The time between two looks for silent upstreams.
const SWEEP_EVERY: Millis = Millis(500);

/// Keeps the registry.
#[derive(Debug, Default)]
pub(super) struct Registry {
    sweep_at: Millis,
}

impl Controller for Registry {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        take_calls(board);
        for (announced, source) in std::mem::take(&mut board.pending_announcements) {
            take(board, announced, source);
        }
        if board.now.mono >= self.sweep_at {
            self.sweep_at = board.now.mono + SWEEP_EVERY;
            sweep(board);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.upstreams.is_empty() || board.cfg.role == Role::Entry {
            return Millis::MAX;
        }
        self.sweep_at
    }
}

fn take_calls(board: &mut Board) {
    let mut left = std::collections::VecDeque::new();
    for IncomingCall { tag, trace, wait_limit, call } in std::mem::take(&mut board.pending_calls) {
        match call {
            Call::Announce(announced) => {
                take(board, announced, AnnouncementSource::Upstream);
                board.answer(tag, Answer::Done);
            }
            Call::Leave { id } => {
                leave(board, &id);
                board.answer(tag, Answer::Done);
            }
            call => left.push_back(IncomingCall { tag, trace, wait_limit, call }),
        }
    }
    board.pending_calls = left;
}

fn leave(board: &mut Board, id: &str) {
    let now = board.now.mono;
    let Some(key) = board.upstream_index.get(id).copied() else { return };
    let upstream = &mut board.upstreams[key];
    if !upstream.announced.leaving {
        upstream.left = Some((now, upstream.announced.seq));
        upstream.announced.leaving = true;
        changed(board, key, "left without notice");
        return;
    }
    if upstream.gone {
        return;
    }
    upstream.gone = true;
    changed(board, key, "gone");
}

/// Takes an announcement in, unless a newer one is known.
fn take(board: &mut Board, announced: Announcement, source: AnnouncementSource) {
    let now = board.now.mono;
    let Some(key) = board.upstream_index.get(&announced.id).copied() else {
        if matches!(source, AnnouncementSource::Registry { gone: true, .. }) {
            return;
        }
        let id = announced.id.clone();
        let key = board.upstreams.insert(Upstream::new(announced, now));
        board.upstream_index.insert(id, key);
        changed(board, key, "joined");
        heard(board, key, source);
        return;
    };
    let upstream = &mut board.upstreams[key];
    let old = (upstream.announced.started_at, upstream.announced.seq);
    let new = (announced.started_at, announced.seq);
    let late_after_leave = upstream.left.is_some_and(|(at, seq)| {
        let settles = announced.seq <= seq + 1 || now.since(at) < LEAVE_SETTLES;
        new.0 == old.0 && !announced.leaving && settles
    });
    if new < old || late_after_leave {
        return;
    }
    let reborn = new.0 > old.0;
    if reborn {
        board.upstreams.remove(key);
        board.upstream_index.remove(&announced.id);
        take(board, announced, source);
        return;
    }
    let holds = if new == old && announced.content() < upstream.announced.content() {
        upstream.announced.clone()
    } else {
        announced.clone()
    };
    // A registry's record of a leave bears the number of the last announcement before it.
    let leaving = announced.leaving || (new == old && upstream.announced.leaving);
    let differs =
        upstream.announced.leaving != leaving || upstream.announced.content() != holds.content();
    let detail = if leaving { "leaving" } else { "changed" };
    upstream.announced = Announcement { leaving, ..holds };
    if !leaving {
        upstream.left = None;
    }
    if let AnnouncementSource::Registry { gone: true, .. } = source
        && !upstream.gone
    {
        upstream.gone = true;
        changed(board, key, "gone");
    } else if differs {
        changed(board, key, detail);
    }
    heard(board, key, source);
}

/// Takes in that an upstream was heard, by itself or through another store host.
fn heard(board: &mut Board, key: UpstreamKey, source: AnnouncementSource) {
    let now = board.now.mono;
    let upstream = &mut board.upstreams[key];
    match source {
        AnnouncementSource::Upstream => {
            upstream.last_seen = now;
            upstream.seen_directly = true;
            if std::mem::take(&mut upstream.silent) {
                changed(board, key, "heard again");
            }
        }
        AnnouncementSource::Registry { host, silent: true, .. } => {
            upstream.silent_by.insert(host);
        }
        AnnouncementSource::Registry { host, .. } => {
            upstream.silent_by.remove(&host);
            upstream.last_seen = now;
        }
    }
}

fn changed(board: &mut Board, key: UpstreamKey, what: &str) {
    board.revision += 1;
    board.registry_changed = true;
    board.another_round = true;
    let upstream = &mut board.upstreams[key];
    upstream.revision = board.revision;
    let announced = &upstream.announced;
    let detail = format!(
        "{what} service={} address={} zone={} born={} seq={} versions={:?}",
        announced.service,
        announced.address,
        announced.zone,
        announced.started_at,
        announced.seq,
        announced.versions
    );
    let (id, leaves) = (announced.id.clone(), !upstream.accepts_requests());
    let kind = if leaves { EventKind::UpstreamLeft } else { EventKind::UpstreamJoined };
    board.note(kind, id, detail);
}

fn sweep(board: &mut Board) {
    let now = board.now.mono;
    let silent_after = Millis(board.cfg.times.announce_interval.0 * MISSED_ANNOUNCEMENTS);
    let (mut silent, mut lost, mut forgotten) = (Vec::new(), Vec::new(), Vec::new());
    for (key, upstream) in &board.upstreams {
        let quiet = now.since(upstream.last_seen);
        if board.cfg.role == Role::Store && !upstream.silent && quiet > silent_after {
            silent.push(key);
        }
        let idle = upstream.in_flight == 0;
        if quiet > KEPT && idle && !upstream.gone && board.cfg.role == Role::Store {
            lost.push(key);
        }
        if quiet > KEPT + KEPT && idle && upstream.gone {
            forgotten.push(key);
        }
    }
    for key in silent {
        board.upstreams[key].silent = true;
        changed(board, key, "silent");
    }
    for key in lost {
        board.upstreams[key].gone = true;
        changed(board, key, "gone after a long silence");
    }
    for key in forgotten {
        let Some(upstream) = board.upstreams.remove(key) else { continue };
        board.upstream_index.remove(&upstream.announced.id);
    }
}

/// Tells whether every store host that is heard from has lost sight of an upstream.
#[must_use]
pub(super) fn is_silent(board: &Board, upstream: &Upstream) -> bool {
    if board.cfg.role == Role::Store {
        return upstream.silent;
    }
    let stores: Vec<HostId> = board.live_stores();
    !stores.is_empty() && stores.iter().all(|store| upstream.silent_by.contains(store))
}
