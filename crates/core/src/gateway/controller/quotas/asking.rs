//! Requests for permits, on an entry host.

use crate::gateway::board::{Board, PERMIT_VALIDITY, QuotaWait};
use crate::gateway::controller::candidates::usable;
use crate::gateway::message::{GatewayMessage, LimitRecord, QuotaGrant, QuotaRequest};
use crate::time::Millis;

/// How long a reply is awaited in addition to the time for which requests may wait.
const REPLY_TIMEOUT: Millis = Millis(300);

/// For how long requests are refused that need permits, while no host can grant them.
const NO_LEADER_DELAY: Millis = Millis(500);

/// The most permits that are asked for at once.
const MAX_PERMITS: u32 = 256;

/// The longest interval between two requests for permits in advance; it doubles from
/// [`PERMIT_VALIDITY`] on while none are granted.
const MAX_AHEAD_INTERVAL: Millis = Millis(4_000);

/// Asks for the permits that requests wait for, and for those that will be needed soon.
pub(super) fn ask(board: &mut Board, last_number: &mut u64) {
    if !board.has_limits {
        board.quota_waits.clear();
        return;
    }
    let now = board.now.mono;
    let mut due = Vec::new();
    for (service, wait) in &mut board.quota_waits {
        let waiting = std::mem::take(&mut wait.waiting);
        let is_unanswered = wait.asked.0 > 0 && wait.reply_until < Millis::MAX;
        if is_unanswered && now < wait.reply_until {
            continue;
        }
        if is_unanswered {
            wait.reply_until = Millis::MAX;
            wait.refused_until = now + NO_LEADER_DELAY;
        }
        let waiting = if now < wait.refused_until { 0 } else { waiting };
        let is_ahead_due = wait.placed > 0 && now >= wait.next_ahead;
        if waiting > 0 || is_ahead_due {
            due.push((service.clone(), waiting));
        }
    }
    for (service, waiting) in due {
        send_request(board, &service, waiting, last_number);
    }
}

fn send_request(board: &mut Board, service: &str, waiting: u32, last_number: &mut u64) {
    let now = board.now.mono;
    let (mut upstreams, mut available) = (Vec::new(), 0);
    for (_, upstream) in usable(board, service) {
        let Some(limit) = upstream.limit.filter(|limit| limit.rate().is_some()) else { continue };
        available += upstream.permits.available(now);
        let announced = &upstream.announced;
        let (id, started_at) = (announced.id.clone(), announced.started_at);
        upstreams.push(LimitRecord { id, started_at, stated: limit.statement() });
    }
    let leader = board.leader.map(|(_, leader)| leader);
    let Some(wait) = board.quota_waits.get_mut(service) else { return };
    let ahead = wait.placed.saturating_sub(available).min(MAX_PERMITS);
    wait.placed = 0;
    wait.ahead_interval = wait.ahead_interval.max(PERMIT_VALIDITY);
    wait.next_ahead = now + wait.ahead_interval;
    if upstreams.is_empty() || (waiting == 0 && ahead == 0) {
        return;
    }
    let Some(leader) = leader else {
        wait.refused_until = now + NO_LEADER_DELAY;
        return;
    };
    *last_number += 1;
    let patience = wait.until.since(now);
    wait.asked = (*last_number, now);
    wait.reply_until = now + patience + REPLY_TIMEOUT;
    let request = QuotaRequest {
        number: *last_number,
        service: service.into(),
        upstreams,
        waiting: waiting.min(MAX_PERMITS),
        ahead,
        priority: wait.priority,
        patience,
    };
    board.counters.quota_requests += 1;
    board.send(leader, GatewayMessage::QuotaRequest(request));
}

/// Takes over the permits of a grant; those of an earlier request than the last one are dropped.
pub(super) fn handle_grant(board: &mut Board, grant: &QuotaGrant) {
    let now = board.now.mono;
    let Some(wait) = board.quota_waits.get_mut(&grant.service) else { return };
    let (number, asked_at) = wait.asked;
    if number != grant.number {
        return;
    }
    wait.reply_until = Millis::MAX;
    if let Some(refused_for) = grant.refused_for {
        wait.refused_until = now + refused_for;
    }
    extend_interval(wait, grant.permits.is_empty());
    for (id, count) in &grant.permits {
        let Some(key) = board.upstream_index.get(id) else { continue };
        board.upstreams[*key].permits.add(*count, asked_at + PERMIT_VALIDITY, now);
    }
    board.another_round = true;
}

fn extend_interval(wait: &mut QuotaWait, is_empty: bool) {
    let doubled = Millis(wait.ahead_interval.0 * 2).min(MAX_AHEAD_INTERVAL);
    let interval = if is_empty { doubled } else { PERMIT_VALIDITY };
    wait.next_ahead = wait.next_ahead.max(wait.asked.1 + interval);
    wait.ahead_interval = interval;
}
