//! Registry: tracks the upstreams that announce themselves, to this host or to another store host.
//!
//! Reads: `pending_calls` (announcements and leaves), `pending_announcements`, `pending_leaves`, `unheard`,
//! upstreams that said in an answer that they leave, the clock.
//! Writes: `pending_calls`, `upstreams`, `upstream_index`, `unheard`, `upgraded_upstreams`,
//! `last_departure`, `unconfirmed_leaves`, `facts`, `revision`, `registry_changed`, `hosts` (the next
//! hello), `actions`.
//!
//! Announcements under one name are ordered by the start time of the upstream's process and then by
//! their number, so that a delayed one changes nothing. An upstream may send one announcement to
//! two hosts and change in between. Two announcements with different content then have the same
//! number, and every host keeps the same one of them. A leave has no number: it ends the instance,
//! whatever its announcements say that arrive later, here or at another host. A silent upstream is
//! not yet gone: it may be cut off from the store hosts only, so requests merely prefer other
//! upstreams. A store host that has restarted waits for the views of the others before it takes an
//! unknown instance for a new one.

use super::Controller;
use crate::error::{ErrorKind, Problem};
use crate::gateway::action::{Action, Answer};
use crate::gateway::board::{
    AnnouncementSource, Board, DEPARTURE_RETENTION, Departure, Host, LeaveNotice, LeaveSource,
    SaidLeaving, Upstream,
};
use crate::gateway::event::{Announcement, Call, Event, IncomingCall};
use crate::gateway::settings::Role;
use crate::key::{HostId, RequestTag, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// How many announcements an upstream may miss before it counts as silent.
const MAX_MISSED_ANNOUNCEMENTS: u64 = 4;

/// How long an upstream with no request in flight may be silent before it counts as gone. After
/// twice this time it is removed; until then late announcements are matched to it.
const UPSTREAM_RETENTION: Millis = Millis(60_000);

/// How long after an upstream's statement that it leaves this host tells the store hosts.
const LEAVE_REPORT_DELAY: Millis = Millis(200);

/// How long after its start a store host waits for the views of the others before it trusts the first
/// announcement of an upstream, which waits one second for an answer.
const FIRST_VIEWS_TIMEOUT: Millis = Millis(600);

/// The most announcements that wait for these views; beyond it, they are handled at once.
const MAX_EARLY: usize = 8_192;

/// The interval between two checks for silent upstreams.
const SWEEP_INTERVAL: Millis = Millis(500);

/// Maintains the registry of upstreams.
#[derive(Debug, Default)]
pub(super) struct Registry {
    sweep_at: Millis,
    /// Announcements of unknown upstreams that came before the views of other store hosts.
    early: Vec<IncomingCall>,
}

impl Controller for Registry {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::UpstreamLeaving { upstream, answer }) = event {
            mark_leaving(board, *upstream, LeaveSource::Answer, answer);
        }
        self.hold_early_announcements(board);
        handle_calls(board);
        for (announced, source) in std::mem::take(&mut board.pending_announcements) {
            if let AnnouncementSource::Registry { host, said_leaving: true, .. } = source {
                board.pending_leaves.push((announced.id.clone(), announced.started_at, host));
            }
            handle_announcement(board, announced, source);
        }
        handle_reported_leaves(board);
        if board.now.mono >= self.sweep_at {
            self.sweep_at = board.now.mono + SWEEP_INTERVAL;
            sweep(board);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let views_due = if self.early.is_empty() { Millis::MAX } else { FIRST_VIEWS_TIMEOUT };
        if board.upstreams.is_empty() || board.cfg.role == Role::Entry {
            return views_due;
        }
        self.sweep_at.min(views_due)
    }
}

impl Registry {
    /// Returns whether a call is the announcement of an upstream of which views that have not come yet
    /// may say that it has left.
    fn is_early(&self, board: &Board, call: &Call) -> bool {
        let Call::Announce(announced) = call else { return false };
        !board.upstream_index.contains_key(&announced.id)
            && self.early.len() < MAX_EARLY
            && awaits_first_views(board)
    }

    /// Takes such announcements out of the calls, and puts them back once the views have come.
    fn hold_early_announcements(&mut self, board: &mut Board) {
        if !self.early.is_empty() && !awaits_first_views(board) {
            board.pending_calls.extend(self.early.drain(..));
        }
        for call in std::mem::take(&mut board.pending_calls) {
            if self.is_early(board, &call.call) {
                self.early.push(call);
                continue;
            }
            board.pending_calls.push_back(call);
        }
    }
}

/// Returns whether another store host has not told this one, which has restarted, what it knows.
fn awaits_first_views(board: &Board) -> bool {
    if board.cfg.role == Role::Entry || board.cfg.first_start {
        return false;
    }
    let is_missing = |host: &Host| {
        host.role == Role::Store && host.contact_since.is_some() && host.known_revision == (0, 0)
    };
    board.now.mono < FIRST_VIEWS_TIMEOUT && board.hosts.values().any(is_missing)
}

fn handle_calls(board: &mut Board) {
    let mut remaining = std::collections::VecDeque::new();
    for IncomingCall { tag, trace, wait_limit, call } in std::mem::take(&mut board.pending_calls) {
        match call {
            Call::Announce(announced) => {
                let id = announced.id.clone();
                handle_announcement(board, announced, AnnouncementSource::Upstream);
                acknowledge(board, tag, &id);
            }
            Call::Leave { id } if is_known(board, &id) => {
                handle_leave(board, &id);
                acknowledge(board, tag, &id);
            }
            Call::Leave { id } => {
                let detail = "this host does not know the upstream; another one may";
                board.reject(tag, &id, Problem::not_run(ErrorKind::NotReady, detail));
            }
            call => remaining.push_back(IncomingCall { tag, trace, wait_limit, call }),
        }
    }
    board.pending_calls = remaining;
}

/// Returns whether this host knows an upstream. One that has not announced itself since this process
/// started is added to the registry.
fn is_known(board: &mut Board, id: &str) -> bool {
    if let Some((id, announced)) = board.unheard.remove_entry(id) {
        let key = board.upstreams.insert(Upstream::new(announced, board.now.mono));
        board.upstream_index.insert(id, key);
    }
    board.upstream_index.contains_key(id)
}

/// Answers an upstream. One that leaves gets its answer once other store hosts know it.
fn acknowledge(board: &mut Board, tag: RequestTag, id: &str) {
    let key = board.upstream_index.get(id).copied();
    let leaving = key.filter(|key| {
        let upstream = &board.upstreams[*key];
        upstream.announced.leaving && !upstream.leave_kept
    });
    match leaving {
        Some(key) => board.unconfirmed_leaves.push((key, tag)),
        None => board.answer(tag, Answer::Done),
    }
}

/// Handles the reports of other hosts that upstreams have said that they leave; a report on another
/// instance than the known one is dropped.
fn handle_reported_leaves(board: &mut Board) {
    for (id, started_at, host) in std::mem::take(&mut board.pending_leaves) {
        let Some(key) = board.upstream_index.get(&id).copied() else { continue };
        if board.upstreams[key].announced.started_at == started_at {
            let answer = format!("to host {}", host.0);
            mark_leaving(board, key, LeaveSource::Host(host), &answer);
        }
    }
}

/// Records that an upstream has said that it leaves. Only another instance ends this state: neither
/// an announcement of the same instance nor its silence does.
fn mark_leaving(board: &mut Board, key: UpstreamKey, source: LeaveSource, answer: &str) {
    let at = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    if upstream.said_leaving.is_some() {
        return;
    }
    upstream.said_leaving = Some(SaidLeaving { at, source });
    let upstream = upstream.address(key);
    board.actions.push(Action::CloseUpstream { upstream });
    let from = if let LeaveSource::Host(host) = source { Some(host) } else { None };
    report_change(board, key, &format!("said that it leaves: {answer}"), from);
    if source == LeaveSource::Answer {
        hasten_hellos(board);
    }
}

/// Lets the next hellos, which name what upstreams have said in answers, go out soon; statements that come close
/// together share one.
pub(super) fn hasten_hellos(board: &mut Board) {
    let latest = board.now.mono + LEAVE_REPORT_DELAY;
    for host in board.hosts.values_mut() {
        if host.contact_since.is_some() {
            host.next_hello = host.next_hello.min(latest);
        }
    }
}

fn handle_leave(board: &mut Board, id: &str) {
    let Some(key) = board.upstream_index.get(id).copied() else { return };
    let upstream = &mut board.upstreams[key];
    if !upstream.announced.leaving {
        record_left(board, key, None);
        return;
    }
    if upstream.gone {
        return;
    }
    (upstream.gone, upstream.left) = (true, true);
    report_change(board, key, "gone", None);
}

/// Records that an instance has told this store host, or the given one, that it leaves.
fn record_left(board: &mut Board, key: UpstreamKey, learned_from: Option<HostId>) {
    let upstream = &mut board.upstreams[key];
    if std::mem::replace(&mut upstream.left, true) {
        return;
    }
    upstream.announced.leaving = true;
    report_change(board, key, "left", learned_from);
}

/// Applies an announcement, unless a newer one has been applied.
fn handle_announcement(board: &mut Board, announced: Announcement, source: AnnouncementSource) {
    let now = board.now.mono;
    let Some(key) = board.upstream_index.get(&announced.id).copied() else {
        let is_gone = matches!(source, AnnouncementSource::Registry { gone: true, .. });
        let departed_at = source.departed_at();
        let age = departed_at.map_or(Millis(0), |at| board.now.wall.since(at));
        let restored = board.unheard.get(&announced.id).map(|restored| restored.started_at);
        if restored.is_some_and(|started_at| announced.started_at < started_at) {
            return;
        }
        board.unheard.remove(&announced.id);
        // A store host keeps one that is gone, to recognise announcements that are late.
        if (is_gone && board.cfg.role == Role::Entry) || age > DEPARTURE_RETENTION {
            return;
        }
        let id = announced.id.clone();
        let mut upstream = Upstream::new(announced, now);
        (upstream.gone, upstream.departed_at) = (is_gone, departed_at);
        if let AnnouncementSource::Registry { left, .. } = source {
            upstream.left = left;
        }
        record_departure(board, upstream.leave_notice);
        let key = board.upstreams.insert(upstream);
        board.upstream_index.insert(id, key);
        report_change(board, key, "joined", source.host());
        record_contact(board, key, source);
        return;
    };
    let old = board.upstreams[key].announced.order();
    let new = announced.order();
    if let AnnouncementSource::Registry { host, left: true, .. } = source
        && new.0 == old.0
    {
        record_left(board, key, Some(host));
    }
    if new < old {
        return;
    }
    let upstream = &mut board.upstreams[key];
    let restarted = new.0 > old.0;
    if restarted {
        if announced.software != upstream.announced.software {
            board.upgraded_upstreams.push(key);
        }
        board.upstreams.remove(key);
        board.upstream_index.remove(&announced.id);
        handle_announcement(board, announced, source);
        return;
    }
    let kept = if new == old && announced.content() < upstream.announced.content() {
        upstream.announced.clone()
    } else {
        announced.clone()
    };
    // A store host of an earlier version passes announcements on without the software version.
    let software = if kept.software.is_empty() {
        upstream.announced.software.clone()
    } else {
        kept.software.clone()
    };
    // The same holds for the kind.
    let reclaimable = kept.reclaimable || upstream.announced.reclaimable;
    let kept = Announcement { software, reclaimable, ..kept };
    // A registry's record of a leave carries the number of the last announcement before it.
    let leaving = announced.leaving || upstream.left || (new == old && upstream.announced.leaving);
    let differs =
        upstream.announced.leaving != leaving || upstream.announced.content() != kept.content();
    let detail = if leaving { "leaving" } else { "changed" };
    upstream.announced = Announcement { leaving, ..kept };
    let had_notice = upstream.leave_notice.is_some();
    upstream.record_notice(now);
    let notice = upstream.leave_notice;
    let differs = differs || (!had_notice && notice.is_some());
    record_departure(board, notice);
    let upstream = &mut board.upstreams[key];
    if let AnnouncementSource::Registry { gone: true, .. } = source
        && !upstream.gone
    {
        upstream.gone = true;
        report_change(board, key, "gone", source.host());
    } else if differs {
        report_change(board, key, detail, source.host());
    }
    record_contact(board, key, source);
}

/// Records when an upstream is gone that has announced its departure.
fn record_departure(board: &mut Board, notice: Option<LeaveNotice>) {
    let until = notice.map_or(Millis(0), |notice| notice.until);
    board.last_departure = board.last_departure.max(until);
}

/// Records that an upstream was heard from, or that another store host reports it as silent.
fn record_contact(board: &mut Board, key: UpstreamKey, source: AnnouncementSource) {
    let now = board.now.mono;
    let upstream = &mut board.upstreams[key];
    match source {
        AnnouncementSource::Upstream => {
            upstream.last_seen = now;
            upstream.newly_seen = true;
            if std::mem::take(&mut upstream.silent) {
                report_change(board, key, "announced again", None);
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

pub(super) fn report_change(
    board: &mut Board,
    key: UpstreamKey,
    change: &str,
    learned_from: Option<HostId>,
) {
    board.revision += 1;
    board.registry_changed = true;
    board.another_round = true;
    let now = board.now.mono;
    let upstream = &mut board.upstreams[key];
    upstream.revision = board.revision;
    upstream.learned_from = learned_from;
    let departure = upstream.departure();
    if departure != Departure::default() && upstream.departed_at.is_none() {
        upstream.departed_at = Some(board.now.wall);
    }
    if Some(departure) != upstream.saved_departure && board.cfg.role == Role::Store {
        upstream.saved_departure = Some(departure);
        board.facts.mark_upstream(key);
    }
    let announced = &upstream.announced;
    let mut detail = format!(
        "{change} service={} address={} zone={} born={} seq={} versions={:?} software={}",
        announced.service,
        announced.address,
        announced.zone,
        announced.started_at,
        announced.seq,
        announced.versions,
        announced.software
    );
    if announced.reclaimable {
        detail.push_str(" reclaimable=true");
    }
    if let Some(notice) = upstream.leave_notice {
        detail.push_str(&format!(" gone_in_ms={}", notice.until.since(now).0));
    }
    let (id, has_left) = (announced.id.clone(), !upstream.accepts_requests());
    let kind = if has_left { EventKind::UpstreamLeft } else { EventKind::UpstreamJoined };
    board.note(kind, id, detail);
}

fn sweep(board: &mut Board) {
    let now = board.now.mono;
    let silent_after = Millis(board.cfg.times.announce_interval.0 * MAX_MISSED_ANNOUNCEMENTS);
    let (mut silent, mut gone, mut expired) = (Vec::new(), Vec::new(), Vec::new());
    for (key, upstream) in &board.upstreams {
        let silence = now.since(upstream.last_seen);
        if board.cfg.role == Role::Store && !upstream.silent && silence > silent_after {
            silent.push(key);
        }
        let idle = upstream.in_flight == 0;
        if silence > UPSTREAM_RETENTION && idle && !upstream.gone && board.cfg.role == Role::Store {
            gone.push(key);
        }
        if silence > UPSTREAM_RETENTION + UPSTREAM_RETENTION && idle && upstream.gone {
            expired.push(key);
        }
    }
    for key in silent {
        board.upstreams[key].silent = true;
        report_change(board, key, "silent", None);
    }
    for key in gone {
        board.upstreams[key].gone = true;
        report_change(board, key, "gone after prolonged silence", None);
    }
    for key in expired {
        let Some(upstream) = board.upstreams.remove(key) else { continue };
        board.upstream_index.remove(&upstream.announced.id);
    }
}

/// Returns whether an upstream counts as silent: a store host uses its own record, an entry host
/// those of its live contacts.
#[must_use]
pub(super) fn is_silent(board: &Board, contacts: &[HostId], upstream: &Upstream) -> bool {
    if board.cfg.role == Role::Store {
        return upstream.silent;
    }
    !contacts.is_empty() && contacts.iter().all(|store| upstream.silent_by.contains(store))
}
