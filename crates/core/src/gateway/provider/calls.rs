//! Provider calls: sends the requests that wait, within the provider's rate, and returns their ends.
//!
//! Reads: ended calls, `holder_lease`, `group` (leadership), `cfg`, the clock.
//! Writes: `provider`, `counters`, `actions`.
//!
//! Each request gets one end. A request whose call failed comes back to the controller that made it,
//! which puts it into the queue again with the same content; until its subject's backoff has passed, it
//! waits there. While a call under an earlier fencing token has not ended, nothing is sent, so that the
//! provider receives no token after a higher one. For the same reason a leader sends nothing until what
//! an earlier process of its host may have sent can no longer arrive.

use std::collections::BTreeMap;

use super::{ProviderCall, ProviderCallEnd, ProviderRequest, RunningCall, Subject};
use crate::gateway::action::Action;
use crate::gateway::board::Board;
use crate::gateway::controller::Controller;
use crate::gateway::event::Event;
use crate::gateway::lease::HolderLease;
use crate::gateway::lease::holder::calls_from;
use crate::key::ProviderCallKey;
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long an answer is awaited at first. The provider answers within milliseconds when it is healthy,
/// and within about a second when it is 50 times as slow.
const MIN_TIMEOUT: Millis = Millis(2_000);

/// The longest time that an answer is awaited.
const MAX_TIMEOUT: Millis = Millis(8_000);

/// How much longer than a call's time-out the shell's report is awaited.
const REPORT_MARGIN: Millis = Millis(1_500);

/// The delay after the first failed call of a subject; it doubles with each further one.
const MIN_BACKOFF: Millis = Millis(200);

/// The longest delay after a failed call.
const MAX_BACKOFF: Millis = Millis(3_000);

/// How long no call is sent after the provider has said that it receives too many.
const RATE_PAUSE: Millis = Millis(1_000);

/// The most subjects whose failures are remembered; those of the past are dropped first.
const MAX_BACKOFFS: usize = 1_024;

/// The failed calls of a subject since its last success.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
    until: Millis,
}

/// Limits the rate of calls, and delays subjects whose calls failed.
#[derive(Debug)]
pub struct ProviderCalls {
    /// When the next call may be sent.
    next_send: Millis,
    /// How long an answer is awaited.
    timeout: Millis,
    backoffs: BTreeMap<Subject, Backoff>,
}

impl Default for ProviderCalls {
    fn default() -> Self {
        Self { next_send: Millis(0), timeout: MIN_TIMEOUT, backoffs: BTreeMap::new() }
    }
}

impl Controller for ProviderCalls {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::ProviderCallEnded { call, end }) = event {
            self.handle_ended(board, *call, end.clone());
        }
        self.end_unreported(board);
        let Some(lease) = board.holder_lease else {
            for request in std::mem::take(&mut board.provider.waiting) {
                board.provider.ended.push((request, ProviderCallEnd::Expired));
                board.another_round = true;
            }
            return;
        };
        self.send_waiting(board, lease);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let running = board.provider.running.values();
        let reports = running.map(|call| call.sent + call.timeout + REPORT_MARGIN);
        let next = reports.min().unwrap_or(Millis::MAX);
        if board.holder_lease.is_none_or(|lease| has_superseded(board, lease)) {
            return next;
        }
        let starts = board.provider.waiting.iter().filter_map(|request| {
            let subject = request.subject();
            (!board.provider.is_running(&subject)).then(|| self.may_send_at(board, &subject))
        });
        next.min(starts.min().unwrap_or(Millis::MAX))
    }
}

impl ProviderCalls {
    fn may_send_at(&self, board: &Board, subject: &Subject) -> Millis {
        let backoff = self.backoffs.get(subject).copied().unwrap_or_default();
        let from = calls_from(board).unwrap_or_default();
        backoff.until.max(self.next_send).max(from)
    }

    fn send_waiting(&mut self, board: &mut Board, lease: HolderLease) {
        if has_superseded(board, lease) {
            return;
        }
        let now = board.now.mono;
        let mut at = 0;
        while at < board.provider.waiting.len() && now >= self.next_send {
            let subject = board.provider.waiting[at].subject();
            if board.provider.is_running(&subject) || now < self.may_send_at(board, &subject) {
                at += 1;
                continue;
            }
            let request = board.provider.waiting.remove(at);
            self.send(board, lease, request);
        }
    }

    fn send(&mut self, board: &mut Board, lease: HolderLease, request: ProviderRequest) {
        let now = board.now.mono;
        let Some(settings) = &board.cfg.provider else { return };
        // Calls at equal intervals, each a little longer than the rate asks for, stay within the rate
        // although some of them travel faster than others.
        self.next_send = now + Millis(1_000 / u64::from(settings.calls_per_second.max(1)) + 1);
        let HolderLease { fence, valid_until } = lease;
        let timeout = self.timeout;
        let running = RunningCall { request: request.clone(), fence, sent: now, timeout };
        let call = board.provider.running.insert(running);
        let holder = board.cfg.name.clone();
        board.counters.provider_calls += 1;
        let detail = format!(
            "fence={fence} lease_left_ms={} timeout_ms={}",
            valid_until.since(now).0,
            timeout.0
        );
        board.note(EventKind::ProviderCalled, request.subject().to_string(), detail);
        let call = ProviderCall { call, holder, fence, valid_until, timeout, request };
        board.actions.push(Action::CallProvider(call));
    }

    fn handle_ended(&mut self, board: &mut Board, key: ProviderCallKey, end: ProviderCallEnd) {
        let Some(call) = board.provider.running.remove(key) else { return };
        let now = board.now.mono;
        let took = now.since(call.sent);
        let subject = call.request.subject();
        let is_answered =
            !matches!(end, ProviderCallEnd::Expired | ProviderCallEnd::Unknown { .. });
        if is_answered {
            self.timeout = Millis(took.0 * 2).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        } else if took >= call.timeout {
            self.timeout = Millis(call.timeout.0 * 2).clamp(self.timeout, MAX_TIMEOUT);
        }
        if end == ProviderCallEnd::RateLimited {
            self.next_send = self.next_send.max(now + RATE_PAUSE);
        }
        if end.is_failure() {
            board.counters.provider_failures += 1;
            let backoff = self.backoffs.entry(subject.clone()).or_default();
            backoff.until = now + delay_after(backoff.failures);
            backoff.failures += 1;
        } else {
            self.backoffs.remove(&subject);
        }
        if self.backoffs.len() > MAX_BACKOFFS {
            self.backoffs.retain(|_, backoff| backoff.until > now);
        }
        let detail = format!("fence={} took_ms={} end={end:?}", call.fence, took.0);
        board.note(EventKind::ProviderAnswered, subject.to_string(), detail);
        board.provider.ended.push((call.request, end));
        board.another_round = true;
    }

    /// Ends the calls of whose end the shell has reported nothing in time.
    fn end_unreported(&mut self, board: &mut Board) {
        let now = board.now.mono;
        let is_overdue = |call: &RunningCall| now >= call.sent + call.timeout + REPORT_MARGIN;
        let running = board.provider.running.iter();
        let overdue: Vec<ProviderCallKey> =
            running.filter(|(_, call)| is_overdue(call)).map(|(key, _)| key).collect();
        for key in overdue {
            let detail = "no report from the shell in time".into();
            self.handle_ended(board, key, ProviderCallEnd::Unknown { detail });
        }
    }
}

/// Returns whether a call under another fencing token has not ended.
fn has_superseded(board: &Board, lease: HolderLease) -> bool {
    board.provider.running.values().any(|call| call.fence != lease.fence)
}

/// Returns the delay after a failed call, by the number of failures before it.
fn delay_after(failures: u32) -> Millis {
    let factor = 1_u64.checked_shl(failures).unwrap_or(u64::MAX);
    Millis(MIN_BACKOFF.0.saturating_mul(factor)).min(MAX_BACKOFF)
}
