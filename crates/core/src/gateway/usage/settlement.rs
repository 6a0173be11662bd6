//! Settlement: counts usage by window on the leader, has the counts settled, and reports them.
//!
//! Reads: messages of other hosts, `group` (leadership, usage windows), `holder_lease`, `hosts`, ends of
//! provider calls, `cfg`, the clock.
//! Writes: `provider`, `proposals`, `counters`, `actions`.
//!
//! The counts of a window are sent only once they are in the directory, so that every holder sends the
//! same. A new leader has no counts of its own yet and settles nothing until the entry hosts have had
//! the time to send it their recent records.

use std::collections::{BTreeMap, BTreeSet};

use crate::directory::{DirectoryCommand, MAX_SETTLED_WINDOWS, UsageWindows};
use crate::gateway::board::Board;
use crate::gateway::controller::Controller;
use crate::gateway::event::Event;
use crate::gateway::message::GatewayMessage;
use crate::gateway::provider::{ProviderCallEnd, ProviderRequest, UsageReport};
use crate::gateway::usage::tally::Tally;
use crate::gateway::usage::true_time::{StoreClocks, signed};
use crate::gateway::usage::{ClockReading, UsageAck};
use crate::key::HostId;
use crate::message::Message;
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long after its end a window is settled. A start is recorded within 2 s and sent within 250 ms,
/// which leaves time for lost messages.
const SETTLE_DELAY: i64 = 4_000;

/// How long a new leader waits before it settles a window: entry hosts learn of it within two hellos,
/// and send what they have. It is shorter than the time until a new holder may report.
const NEW_LEADER_DELAY: Millis = Millis(2_500);

/// The most windows whose reports are in the provider's queue at a time.
const MAX_QUEUED_REPORTS: usize = 4;

/// What a leader knows under one fencing token.
#[derive(Debug, Default)]
struct Term {
    fence: u64,
    since: Millis,
    clocks: StoreClocks,
    tally: Tally,
    /// When this host first saw workspaces in force that no window was counted for.
    seen_workspaces: Option<Millis>,
    /// The window that is proposed as the first one or to be settled.
    proposed: Option<(u64, bool)>,
    /// The windows whose reports are in the provider's queue.
    queued: BTreeSet<u64>,
    /// The number of failed reports of a window.
    failures: BTreeMap<u64, u32>,
    /// The windows that the provider has accepted and the directory still holds.
    accepted: BTreeSet<u64>,
    /// The last window that was proposed as reported.
    proposed_reported: Option<u64>,
}

/// Settles and reports usage windows.
#[derive(Debug, Default)]
pub struct Settlement {
    term: Option<Term>,
}

impl Controller for Settlement {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        self.follow_leadership(board);
        let leads = board.leads();
        if let Some(Event::Received(envelope)) = event
            && let Message::Gateway(message) = &envelope.message
        {
            self.handle_message(board, envelope.from, message);
        }
        let ended = take_ended_reports(board);
        let Some(term) = &mut self.term else { return };
        for (window, end) in ended {
            term.handle_report_end(board, window, &end);
        }
        if !leads {
            return;
        }
        term.read_clocks(board);
        term.settle(board);
        term.report(board);
        term.propose_reported(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        // A term is kept while the lease has lapsed, but nothing is done until the lease is back.
        let term = self.term.as_ref().filter(|_| board.leads());
        term.map_or(Millis::MAX, |term| term.next_deadline(board))
    }
}

/// Returns the length of a usage window, in milliseconds; `None` if usage is not reported.
fn window_length(board: &Board) -> Option<i64> {
    let length = board.cfg.provider.as_ref()?.usage_window?;
    Some(signed(length)).filter(|length| *length > 0)
}

fn windows(board: &Board) -> Option<&UsageWindows> {
    board.group.as_ref().map(|group| &group.directory.usage)
}

/// Returns whether windows are counted, or workspaces are in force so that they should be.
fn is_counted(board: &Board) -> bool {
    let Some(group) = &board.group else { return false };
    let routing = group.directory.routing.as_ref();
    let has_workspaces = routing.is_some_and(|routing| !routing.workspaces.is_empty());
    window_length(board).is_some() && (has_workspaces || !group.directory.usage.is_unused())
}

/// Removes the ends of usage reports from the provider's queue and returns them.
fn take_ended_reports(board: &mut Board) -> Vec<(u64, ProviderCallEnd)> {
    let mut reports = Vec::new();
    let is_report = |(request, _): &mut (ProviderRequest, _)| {
        matches!(request, ProviderRequest::ReportUsage(_))
    };
    for (request, end) in board.provider.ended.extract_if(.., is_report) {
        let ProviderRequest::ReportUsage(report) = request else { continue };
        reports.push((report.window, end));
    }
    reports
}

impl Settlement {
    /// Begins a term when this host begins to lead, and drops it with its fencing token.
    ///
    /// A leader whose lease lapses for a moment keeps the term: entry hosts do not send again what it
    /// has acknowledged under the token.
    fn follow_leadership(&mut self, board: &Board) {
        let fence = board.group.as_ref().map_or(0, |group| group.replica.fencing_token());
        self.term.take_if(|term| term.fence != fence);
        if self.term.is_none() && board.leads() && is_counted(board) {
            let since = board.group.as_ref().and_then(|group| group.replica.leader_since());
            let since = since.unwrap_or(board.now.mono);
            self.term = Some(Term { fence, since, ..Term::default() });
        }
    }

    fn handle_message(&mut self, board: &mut Board, from: HostId, message: &GatewayMessage) {
        match message {
            GatewayMessage::Clock(ClockReading { number, wall: None }) => {
                let reading = ClockReading { number: *number, wall: Some(board.now.wall) };
                board.send(from, GatewayMessage::Clock(reading));
            }
            GatewayMessage::Clock(ClockReading { number, wall: Some(wall) }) => {
                let Some(term) = &mut self.term else { return };
                term.clocks.handle_reply(board.now.mono, from, *number, *wall);
            }
            GatewayMessage::UsageStarts(starts) => {
                let Some(term) = self.term.as_mut().filter(|_| board.leads()) else { return };
                // Records that were numbered for an earlier token say nothing about which ones the
                // sender still has to send.
                let is_current_fence = starts.fence == term.fence;
                let next_seq =
                    if is_current_fence { term.tally.add(board.now.mono, from, starts) } else { 0 };
                board.counters.usage_late_starts = term.tally.late;
                let ack = UsageAck {
                    fence: term.fence,
                    boot_id: starts.boot_id,
                    number: starts.number,
                    next_seq,
                };
                board.send(from, GatewayMessage::UsageAck(ack));
            }
            _ => {}
        }
    }
}

impl Term {
    fn next_deadline(&self, board: &Board) -> Millis {
        let Some(length) = window_length(board) else { return Millis::MAX };
        let next = self.clocks.next_question();
        let Some(window) = windows(board).and_then(|windows| windows.next) else { return next };
        if self.proposed.is_some() {
            return next;
        }
        let due = end_of(window, length) + SETTLE_DELAY - self.clocks.base(board.now);
        let due = Millis(u64::try_from(due).unwrap_or(0));
        next.min(due.max(self.since + NEW_LEADER_DELAY))
    }

    fn read_clocks(&mut self, board: &mut Board) {
        let now = board.now.mono;
        if now < self.clocks.next_question() {
            return;
        }
        let (number, stores) = self.clocks.ask(board.now, board.live_stores());
        for store in stores {
            let question = ClockReading { number, wall: None };
            board.send(*store, GatewayMessage::Clock(question));
        }
    }

    /// Proposes the first window, or the counts of the next one, if that is due.
    fn settle(&mut self, board: &mut Board) {
        let Some(length) = window_length(board) else { return };
        let Some(next) = windows(board).map(|windows| windows.next) else { return };
        let now = board.now.mono;
        if self.seen_workspaces.is_none() {
            self.seen_workspaces = Some(now);
        }
        let base = self.clocks.base(board.now);
        let Some(window) = next else {
            let seen_at = signed(self.seen_workspaces.unwrap_or(now)) + base;
            let first = u64::try_from(seen_at.div_euclid(length)).unwrap_or(0);
            if self.clocks.are_read(now) && self.proposed.is_none() {
                self.proposed = Some((first, false));
                propose(board, DirectoryCommand::StartUsage { window: first });
            }
            return;
        };
        match self.proposed {
            Some((proposed, true)) if proposed >= window => return,
            _ => self.proposed = None,
        }
        let end = end_of(window, length) - base;
        let is_due = signed(now) >= end + SETTLE_DELAY;
        let knows_starts = now >= self.since + NEW_LEADER_DELAY && self.clocks.are_read(now);
        if !is_due || !knows_starts {
            return;
        }
        let counts = self.tally.take_window(end - length, end);
        let starts: u64 = counts.values().sum();
        let detail = format!(
            "settled starts={starts} workspaces={} late_starts={} clock_offset_ms={}",
            counts.len(),
            self.tally.late,
            base - (signed(board.now.wall) - signed(now))
        );
        board.note(EventKind::Usage, window.to_string(), detail);
        board.counters.usage_settled += 1;
        self.note_dropped(board);
        self.proposed = Some((window, true));
        propose(board, DirectoryCommand::SettleUsage { window, counts });
    }

    /// Logs and counts the window that the next one displaces, if too many are not reported.
    fn note_dropped(&self, board: &mut Board) {
        let Some(settled) = windows(board).map(|windows| &windows.settled) else { return };
        let Some((oldest, _)) = settled.first_key_value() else { return };
        if settled.len() < MAX_SETTLED_WINDOWS {
            return;
        }
        let subject = oldest.to_string();
        board.counters.usage_dropped += 1;
        board.note(EventKind::Usage, subject, "dropped: too many windows are not reported");
    }

    /// Puts reports of settled windows into the provider's queue: those that failed least often first,
    /// so that one which the provider rejects holds up no other, and of these the oldest.
    fn report(&mut self, board: &mut Board) {
        if board.holder_lease.is_none() {
            return;
        }
        let Some(windows) = windows(board) else { return };
        let is_due =
            |window: &u64| !self.queued.contains(window) && !self.accepted.contains(window);
        let mut due: Vec<u64> = windows.settled.keys().copied().filter(is_due).collect();
        due.sort_by_key(|window| self.failures.get(window));
        due.truncate(MAX_QUEUED_REPORTS.saturating_sub(self.queued.len()));
        let report = |window| UsageReport { window, counts: windows.settled[&window].clone() };
        let reports: Vec<UsageReport> = due.into_iter().map(report).collect();
        for report in reports {
            self.queued.insert(report.window);
            board.provider.waiting.push(ProviderRequest::ReportUsage(report));
        }
    }

    fn handle_report_end(&mut self, board: &mut Board, window: u64, end: &ProviderCallEnd) {
        self.queued.remove(&window);
        if *end != ProviderCallEnd::Accepted {
            *self.failures.entry(window).or_default() += 1;
            return;
        }
        self.failures.remove(&window);
        self.accepted.insert(window);
        board.counters.usage_reported += 1;
        board.counters.usage_last_window = board.counters.usage_last_window.max(window);
        let (Some(length), Some(settings)) = (window_length(board), &board.cfg.provider) else {
            return;
        };
        let now = signed(board.now.mono) + self.clocks.base(board.now);
        let since_end = now - end_of(window, length);
        let is_late = since_end > signed(settings.usage_due);
        board.counters.usage_late += u64::from(is_late);
        let detail = format!("reported since_end_ms={since_end} late={is_late}");
        board.note(EventKind::Usage, window.to_string(), detail);
    }

    /// Proposes that the oldest windows are dropped from the directory once the provider has them.
    fn propose_reported(&mut self, board: &mut Board) {
        let Some(windows) = windows(board) else { return };
        let unreported = windows.settled.keys().find(|window| !self.accepted.contains(window));
        let end = unreported.copied().or(windows.next).unwrap_or(0);
        let first = windows.settled.keys().next().copied().unwrap_or(end);
        self.accepted.retain(|window| *window >= first);
        self.failures.retain(|window, _| *window >= first);
        let Some(through) = end.checked_sub(1).filter(|through| *through >= first) else { return };
        if self.proposed_reported.is_none_or(|proposed| proposed < through) {
            self.proposed_reported = Some(through);
            propose(board, DirectoryCommand::UsageReported { through });
        }
    }
}

/// Returns the end of a window in true time, in milliseconds.
fn end_of(window: u64, length: i64) -> i64 {
    i64::try_from(window + 1).unwrap_or(i64::MAX).saturating_mul(length)
}

fn propose(board: &mut Board, command: DirectoryCommand) {
    board.proposals.push((command, None));
    board.another_round = true;
}
