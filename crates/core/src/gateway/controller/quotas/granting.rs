//! Grants of permits, on the leader.

use std::collections::BTreeMap;

use crate::gateway::board::{Board, QuotaClaim};
use crate::gateway::message::{GatewayMessage, QuotaGrant, QuotaRequest};
use crate::key::{HostId, UpstreamKey};
use crate::time::Millis;

/// For how long a host is refused permits that this one can't grant: the time of an election.
const NO_GRANT_DELAY: Millis = Millis(500);

/// Permits by upstream.
type Granted = BTreeMap<UpstreamKey, u32>;

/// Grants a host permits, queues its request for as long as its callers wait, or refuses the rest.
pub(super) fn handle_request(board: &mut Board, from: HostId, request: &QuotaRequest) {
    let (number, service) = (request.number, &request.service);
    board.quota_claims.retain(|claim| claim.host != from || claim.service != *service);
    if !board.grants_permits() {
        send_grant(board, from, (number, service), &Granted::new(), Some(NO_GRANT_DELAY));
        return;
    }
    let now = board.now.mono;
    let mut upstreams = Vec::new();
    for record in &request.upstreams {
        let Some(key) = board.upstream_index.get(&record.id).copied() else { continue };
        if board.upstreams[key].announced.started_at == record.started_at {
            upstreams.push(key);
        }
    }
    let claim = QuotaClaim {
        host: from,
        number,
        service: service.clone(),
        upstreams,
        wanted: request.waiting,
        priority: request.priority,
        until: now + request.patience,
    };
    let (mut granted, mut refused_for) = (Granted::new(), None);
    let is_behind = has_earlier_claim(board, &claim);
    if !is_behind {
        take(board, &claim, &mut granted);
    }
    let missing = claim.wanted - granted.values().sum::<u32>();
    if missing > 0 {
        let wait = time_until(board, &claim, missing);
        if granted.is_empty() && now + wait <= claim.until {
            board.quota_claims.push(claim);
            return;
        }
        refused_for = Some(schedule_returns(board, &claim, missing));
    } else if !is_behind {
        take_ahead(board, &claim, request.ahead, &mut granted);
    }
    send_grant(board, from, (number, service), &granted, refused_for);
}

/// Grants the queued claims for which there are permits, by priority and deadline, and refuses those
/// whose callers wait no longer.
pub(super) fn serve_claims(board: &mut Board) {
    if board.quota_claims.is_empty() {
        return;
    }
    let now = board.now.mono;
    let grants = board.grants_permits();
    let mut claims = std::mem::take(&mut board.quota_claims);
    claims.sort_by_key(|claim| (claim.priority, claim.until, claim.host));
    for claim in claims {
        let mut granted = Granted::new();
        if grants && !has_earlier_claim(board, &claim) {
            take(board, &claim, &mut granted);
        }
        if granted.is_empty() && grants && now < claim.until {
            board.quota_claims.push(claim);
            continue;
        }
        let missing = claim.wanted - granted.values().sum::<u32>();
        let refused_for = (missing > 0).then(|| schedule_returns(board, &claim, missing));
        send_grant(board, claim.host, (claim.number, &claim.service), &granted, refused_for);
    }
}

/// Returns when the next queued claim can be granted or must be refused.
pub(super) fn next_deadline(board: &Board) -> Millis {
    let now = board.now.mono;
    let due = |claim: &QuotaClaim| claim.until.min(now + time_until(board, claim, 1));
    board.quota_claims.iter().map(due).min().unwrap_or(Millis::MAX)
}

/// Returns whether a claim that comes first waits for one of the same upstreams.
fn has_earlier_claim(board: &Board, claim: &QuotaClaim) -> bool {
    let order = |claim: &QuotaClaim| (claim.priority, claim.until);
    board.quota_claims.iter().any(|other| {
        let shares = other.upstreams.iter().any(|key| claim.upstreams.contains(key));
        shares && order(other) <= order(claim)
    })
}

/// Takes permits for a claim, one after the other from the upstream that has the most.
fn take(board: &mut Board, claim: &QuotaClaim, granted: &mut Granted) {
    let now = board.now.mono;
    for _ in 0..claim.wanted {
        let mut best: Option<(u32, UpstreamKey)> = None;
        for key in &claim.upstreams {
            let Some(upstream) = board.upstreams.get(*key) else { continue };
            // Without a limit here, the upstream has lifted it, and the host will learn that.
            let available =
                upstream.rate_limit().map_or(1, |rate| upstream.ledger.available(rate, now));
            best = best.max((available > 0).then_some((available, *key)));
        }
        let Some((_, key)) = best else { return };
        take_one(board, key, granted);
    }
}

/// Takes permits that nobody waits for, where there are enough.
fn take_ahead(board: &mut Board, claim: &QuotaClaim, ahead: u32, granted: &mut Granted) {
    let now = board.now.mono;
    let mut left = ahead;
    for key in &claim.upstreams {
        let Some(upstream) = board.upstreams.get(*key) else { continue };
        let Some(rate) = upstream.rate_limit() else { continue };
        if upstream.ledger.is_reserved(now) {
            continue;
        }
        let spare = upstream.ledger.spare(rate, now).min(left);
        for _ in 0..spare {
            take_one(board, *key, granted);
        }
        left -= spare;
    }
}

fn take_one(board: &mut Board, key: UpstreamKey, granted: &mut Granted) {
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(key) else { return };
    if let Some(rate) = upstream.rate_limit() {
        upstream.ledger.take(1, rate, now);
        upstream.ledger.end_reservation(now);
    }
    board.counters.permits_granted += 1;
    *granted.entry(key).or_default() += 1;
}

/// Returns the time until there are permits for a number of a claim's requests, after those of the
/// claims that wait for the same upstreams.
fn time_until(board: &Board, claim: &QuotaClaim, missing: u32) -> Millis {
    let now = board.now.mono;
    let shares =
        |other: &&QuotaClaim| other.upstreams.iter().any(|key| claim.upstreams.contains(key));
    let is_queued = |other: &QuotaClaim| other.host == claim.host && other.number == claim.number;
    let queued = board.quota_claims.iter().filter(shares);
    let before: u32 = queued.filter(|other| !is_queued(other)).map(|other| other.wanted).sum();
    let upstreams = u32::try_from(claim.upstreams.len().max(1)).unwrap_or(u32::MAX);
    let each = (before + missing).div_ceil(upstreams);
    let time = |key: &UpstreamKey| {
        let upstream = board.upstreams.get(*key)?;
        let rate = upstream.rate_limit()?;
        Some(upstream.ledger.time_until(each, rate, now))
    };
    claim.upstreams.iter().filter_map(time).min().unwrap_or(NO_GRANT_DELAY)
}

/// Returns after which time the first of the refused requests can be served, and keeps a place for it.
fn schedule_returns(board: &mut Board, claim: &QuotaClaim, refused: u32) -> Millis {
    let now = board.now.mono;
    let mut first = Millis::MAX;
    for _ in 0..refused {
        let mut best: Option<(Millis, UpstreamKey)> = None;
        for key in &claim.upstreams {
            let Some(upstream) = board.upstreams.get(*key) else { continue };
            let Some(rate) = upstream.rate_limit() else { continue };
            let at = upstream.ledger.next_return(rate, now);
            best = Some(best.map_or((at, *key), |best| best.min((at, *key))));
        }
        let Some((_, key)) = best else { return NO_GRANT_DELAY };
        let upstream = &mut board.upstreams[key];
        let Some(rate) = upstream.rate_limit() else { return NO_GRANT_DELAY };
        let at = upstream.ledger.schedule_return(rate, now);
        upstream.ledger.reserve_next(rate, now);
        first = first.min(at);
    }
    first.since(now).max(Millis(1))
}

fn send_grant(
    board: &mut Board,
    to: HostId,
    (number, service): (u64, &str),
    granted: &Granted,
    refused_for: Option<Millis>,
) {
    let mut permits = Vec::new();
    for (key, count) in granted {
        let Some(upstream) = board.upstreams.get(*key) else { continue };
        permits.push((upstream.announced.id.clone(), *count));
    }
    let grant = QuotaGrant { number, service: service.into(), permits, refused_for };
    board.send(to, GatewayMessage::QuotaGrant(grant));
}
