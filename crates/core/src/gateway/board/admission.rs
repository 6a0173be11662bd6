//! Admissions: the one way to send a request to an upstream, which counts it against the limit.

use super::{Board, PERMIT_VALIDITY};
use crate::gateway::settings::Role;
use crate::key::UpstreamKey;

/// Permission to send one request to an upstream, from [`Board::admit`].
#[derive(Debug)]
pub struct Admission {
    /// The upstream.
    upstream: UpstreamKey,
}

impl Admission {
    /// Creates an admission to an upstream.
    fn new(upstream: UpstreamKey) -> Self {
        Self { upstream }
    }

    /// Uses the admission for one request to its upstream.
    pub(super) fn redeem(self) -> UpstreamKey {
        self.upstream
    }
}

impl Board {
    /// Returns whether a request may be sent to an upstream within its limit.
    #[must_use]
    pub fn may_send(&self, key: UpstreamKey) -> bool {
        let Some(upstream) = self.upstreams.get(key) else { return false };
        let Some(rate) = upstream.rate_limit() else { return true };
        let now = self.now.mono;
        if self.cfg.role == Role::Entry {
            return upstream.permits.available(now) > 0;
        }
        let is_claimed = self.quota_claims.iter().any(|claim| claim.upstreams.contains(&key));
        self.grants_permits()
            && !is_claimed
            && !upstream.ledger.is_reserved(now)
            && upstream.ledger.available(rate, now) > 0
    }

    /// Admits one request to an upstream and counts it against its limit; `None` if the limit is
    /// reached.
    ///
    /// Each send to an upstream needs an admission: requests of callers and their retries, runs of
    /// items, reward calls, and with [`Board::admit_order`] orders.
    pub fn admit(&mut self, key: UpstreamKey) -> Option<Admission> {
        if !self.may_send(key) {
            return None;
        }
        let now = self.now.mono;
        let upstream = &mut self.upstreams[key];
        match upstream.rate_limit() {
            Some(_) if self.cfg.role == Role::Entry => {
                upstream.permits.take(now);
            }
            Some(rate) => {
                upstream.ledger.take(1, rate, now);
                self.counters.permits_granted += 1;
            }
            None => {}
        }
        Some(Admission::new(key))
    }

    /// Admits an order to an upstream, with the request for the report before it.
    ///
    /// Items leave the upstream to the order until it is admitted.
    pub fn admit_order(&mut self, key: UpstreamKey) -> Option<Admission> {
        const SENDS: u32 = 2;
        let (now, grants) = (self.now.mono, self.grants_permits());
        let upstream = self.upstreams.get_mut(key)?;
        let Some(rate) = upstream.rate_limit() else { return Some(Admission::new(key)) };
        if !grants || upstream.ledger.available(rate, now) == 0 {
            upstream.ledger.reserve_next(rate, now);
            return None;
        }
        upstream.ledger.take(SENDS, rate, now);
        upstream.ledger.end_reservation(now);
        self.counters.permits_granted += u64::from(SENDS);
        Some(Admission::new(key))
    }

    /// Returns whether this host grants the permits for upstreams with a limit: it leads, and the
    /// permits of the leader before it have expired.
    #[must_use]
    pub fn grants_permits(&self) -> bool {
        let since = self.group.as_ref().and_then(|group| group.replica.leader_since());
        self.leads() && since.is_some_and(|since| self.now.mono.since(since) >= PERMIT_VALIDITY)
    }
}
