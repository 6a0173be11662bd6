//! Suspects: tells other hosts under which requests upstreams ended, and learns it from them.
//!
//! Reads: messages of other hosts, ended streams, `hosts`, the clock.
//! Writes: `suspects`, `suspects_changed`, `recent_successes`, `upstreams` (ends),
//! `counters`, `actions`.
//!
//! An entry host tells its contacts what it saw itself. A store host passes on what is new to it: to
//! its subscribers, and to a host whose hello shows that its table differs. Hosts that were silent are
//! told everything. Without any store host, a host
//! decides by what it saw itself.

use std::collections::BTreeMap;

use super::Controller;
use crate::gateway::board::{Attempt, Board, CRASH_RETENTION, ENDED_RETENTION, incarnation};
use crate::gateway::event::{Event, ForwardEnd, LateEnd};
use crate::gateway::message::{CrashRecord, GatewayMessage, Hello, SuspectRecord};
use crate::gateway::settings::Role;
use crate::key::{Fingerprint, HostId, RequestKey, UpstreamKey};
use crate::message::Message;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The least time between two messages about changes to the same hosts.
const CHANGE_INTERVAL: Millis = Millis(200);

/// How long a change is sent again, as messages may be lost.
const RESEND_WINDOW: Millis = Millis(5_000);

/// The interval between two sends of what this host saw, within [`RESEND_WINDOW`].
const RESEND_INTERVAL: Millis = Millis(1_000);

/// The interval between two checks for expired crashes.
const SWEEP_INTERVAL: Millis = Millis(10_000);

/// Exchanges the requests under which upstreams ended.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    sent_at: Millis,
    next_change: Millis,
    next_resend: Millis,
    next_sweep: Millis,
    /// When each host was last sent the whole table, and when its last hello or view arrived.
    contacts: BTreeMap<HostId, Contact>,
}

/// The exchange with one host.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    told_all: Option<Millis>,
    heard: Option<Millis>,
}

impl Controller for Suspects {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Gateway(message) = &envelope.message
        {
            match &**message {
                GatewayMessage::Suspects(records) => handle_records(board, records),
                GatewayMessage::Hello(hello) => self.answer_hello(board, envelope.from, hello),
                GatewayMessage::View(_) => self.handle_view(board, envelope.from),
                _ => {}
            }
        }
        if let Some(Event::LateEnd { upstream, fingerprint, end }) = event {
            record_late_end(board, *upstream, *fingerprint, *end);
        }
        let now = board.now.mono;
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            board.suspects.expire(now);
            board.recent_successes.expire(now);
            self.contacts.retain(|id, _| board.host_index.contains_key(id));
        }
        if board.suspects_changed && now >= self.next_change {
            board.suspects_changed = false;
            self.send_changes(board, self.sent_at);
            self.sent_at = now;
            self.next_change = now + CHANGE_INTERVAL;
            self.next_resend = now + RESEND_INTERVAL;
        } else if now >= self.next_resend && now.since(self.sent_at) < RESEND_WINDOW {
            self.next_resend = now + RESEND_INTERVAL;
            if board.cfg.role == Role::Entry {
                self.send_changes(board, now - RESEND_WINDOW);
            }
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.suspects_changed { self.next_change } else { Millis::MAX }
    }
}

impl Suspects {
    /// Sends a host what its hello shows that it may lack: what changed a short time ago, and from
    /// time to time the whole table.
    fn answer_hello(&mut self, board: &mut Board, from: HostId, hello: &Hello) {
        if hello.suspects == board.suspects.digest() {
            return;
        }
        let now = board.now.mono;
        let contact = self.contacts.entry(from).or_default();
        let all_due = contact.told_all.is_none_or(|at| now.since(at) >= RESEND_WINDOW);
        if all_due {
            contact.told_all = Some(now);
        }
        let since = if all_due { Millis(0) } else { now - RESEND_WINDOW };
        let records = board.suspects.changed_since(since, now);
        if !records.is_empty() {
            board.send(from, GatewayMessage::Suspects(records));
        }
    }

    /// Tells a store host that was silent, or is new, all that this host saw itself.
    fn handle_view(&mut self, board: &mut Board, from: HostId) {
        let now = board.now.mono;
        let heard = self.contacts.entry(from).or_default().heard.replace(now);
        if heard.is_some_and(|at| now.since(at) < RESEND_WINDOW) {
            return;
        }
        let records = board.suspects.changed_here_since(Millis(0), now);
        if !records.is_empty() {
            board.send(from, GatewayMessage::Suspects(records));
        }
    }

    fn send_changes(&self, board: &mut Board, since: Millis) {
        let now = board.now.mono;
        let (records, receivers) = if board.cfg.role == Role::Entry {
            (board.suspects.changed_here_since(since, now), board.live_contacts())
        } else {
            (board.suspects.changed_since(since, now), subscribers(board))
        };
        if records.is_empty() {
            return;
        }
        for receiver in receivers {
            board.send(receiver, GatewayMessage::Suspects(records.clone()));
        }
    }
}

/// Returns the hosts that a store host passes changes on to.
fn subscribers(board: &Board) -> Vec<HostId> {
    board.subscribers().into_iter().map(|key| board.hosts[key].id).collect()
}

fn handle_records(board: &mut Board, records: &[SuspectRecord]) {
    let now = board.now.mono;
    let mut ends = BTreeMap::new();
    for record in records {
        let was_quarantined = board.suspects.quarantined_until(record.fingerprint, now).is_some();
        if !board.suspects.merge(record, now) {
            continue;
        }
        if board.cfg.role == Role::Store {
            board.suspects_changed = true;
        }
        ends.extend(recent_ends(record, now));
        clear_if_succeeded(board, record.fingerprint);
        if !was_quarantined {
            report_quarantine(board, record.fingerprint);
        }
    }
    record_ends(board, &ends);
}

/// Returns the incarnations of a record that ended a short time ago, and when.
fn recent_ends(record: &SuspectRecord, now: Millis) -> impl Iterator<Item = (u64, Millis)> {
    let age = |crash: &CrashRecord| CRASH_RETENTION.since(crash.expires_in);
    let recent = record.crashes.iter().filter(move |crash| age(crash) < ENDED_RETENTION);
    recent.map(move |crash| (crash.incarnation, Millis(now.0.saturating_sub(age(crash).0))))
}

/// Records the ends of upstreams that other hosts saw, by incarnation.
fn record_ends(board: &mut Board, ends: &BTreeMap<u64, Millis>) {
    if ends.is_empty() {
        return;
    }
    let now = board.now.mono;
    let mut known = Vec::new();
    for upstream in board.upstreams.values_mut() {
        let number = incarnation(&upstream.announced.id, upstream.announced.started_at);
        let Some(at) = ends.get(&number) else { continue };
        upstream.record_end(*at);
        known.push((upstream.announced.id.clone(), now.since(*at)));
    }
    for (id, age) in known {
        let detail = format!("ended as seen by another host; age_ms={}", age.0);
        board.note(EventKind::UpstreamLeft, id, detail);
    }
}

/// Records what the end of an attempt says about a request that may crash upstreams.
pub(super) fn record_end(board: &mut Board, key: RequestKey, attempt: &Attempt, end: &ForwardEnd) {
    let Some(request) = board.requests.get(key) else { return };
    let fingerprint = request.fingerprint;
    match end {
        ForwardEnd::UpstreamEnded { .. } => {
            record_crash(board, fingerprint, attempt.upstream, attempt.incarnation);
        }
        ForwardEnd::Delivered { .. } => record_success(board, fingerprint),
        _ => {}
    }
}

fn record_late_end(board: &mut Board, key: UpstreamKey, request: Fingerprint, end: LateEnd) {
    match end {
        LateEnd::Complete => record_success(board, request),
        LateEnd::UpstreamEnded => {
            board.counters.upstreams_ended += 1;
            let Some(upstream) = board.upstreams.get_mut(key) else { return };
            upstream.record_end(board.now.mono);
            let announced = &upstream.announced;
            let number = incarnation(&announced.id, announced.started_at);
            record_crash(board, request, key, number);
        }
    }
}

fn record_crash(board: &mut Board, fingerprint: Fingerprint, upstream: UpstreamKey, number: u64) {
    let now = board.now.mono;
    let was_quarantined = board.suspects.quarantined_until(fingerprint, now).is_some();
    if !board.suspects.record_crash(fingerprint, number, now) {
        return;
    }
    board.suspects_changed = true;
    let crashes = board.suspects.crashes(fingerprint, now);
    let upstream = board.upstreams.get(upstream);
    let id = upstream.map_or("restarted", |upstream| &*upstream.announced.id);
    let detail = format!("upstream={id} ended under the request; crashes={crashes}");
    board.note(EventKind::Dependency, fingerprint.to_string(), detail);
    clear_if_succeeded(board, fingerprint);
    if !was_quarantined {
        report_quarantine(board, fingerprint);
    }
}

fn report_quarantine(board: &mut Board, fingerprint: Fingerprint) {
    let now = board.now.mono;
    let Some(until) = board.suspects.quarantined_until(fingerprint, now) else { return };
    let crashes = board.suspects.crashes(fingerprint, now);
    let detail = format!(
        "quarantined crashes={crashes} for_ms={} of_ms={}",
        until.since(now).0,
        CRASH_RETENTION.0
    );
    board.note(EventKind::Dependency, fingerprint.to_string(), detail);
}

fn record_success(board: &mut Board, fingerprint: Fingerprint) {
    board.recent_successes.record(fingerprint, board.now.mono);
    clear(board, fingerprint);
}

/// Clears a request that succeeded here a short time before upstreams ended under it: many callers may
/// send the same request, and upstreams may end together for another reason.
fn clear_if_succeeded(board: &mut Board, fingerprint: Fingerprint) {
    if board.recent_successes.contains(fingerprint, board.now.mono) {
        clear(board, fingerprint);
    }
}

fn clear(board: &mut Board, fingerprint: Fingerprint) {
    if board.suspects.is_empty() || !board.suspects.clear(fingerprint, board.now.mono) {
        return;
    }
    board.suspects_changed = true;
    board.note(EventKind::Dependency, fingerprint.to_string(), "cleared by a success");
}
