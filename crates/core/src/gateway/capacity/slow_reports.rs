//! Reports between hosts of upstreams that are clearly slower than their peers.
//!
//! An entry host sees only its own few requests, so it reports a slow upstream to its stores. A store
//! that has reports of several hosts says so in the record of the upstream, until the reports cease.

use std::collections::BTreeMap;

use crate::key::HostId;
use crate::time::Millis;

/// How long a report counts. Hosts send hellos every second.
pub const REPORT_VALIDITY: Millis = Millis(4_000);

/// How long a store's statement counts that is not withdrawn, as the store may have failed. Slow
/// periods last 8 s.
const STATEMENT_VALIDITY: Millis = Millis(10_000);

/// A store says that an upstream is slow once at least one in this many of its subscribers, and at
/// least [`MIN_REPORTERS`], have reported it.
const SUBSCRIBERS_PER_REPORTER: usize = 32;

/// The fewest hosts whose reports count: a single request may be slow by itself.
const MIN_REPORTERS: usize = 2;

/// The most hosts whose reports are kept for one upstream.
const MAX_REPORTERS: usize = 64;

/// The most upstreams that a host reports at a time.
pub const MAX_SLOW_UPSTREAMS: usize = 16;

/// The slowness of an upstream as hosts report it to stores, and stores to hosts.
#[derive(Debug, Clone, Default)]
pub struct SlowReports {
    /// When this host last saw the upstream slow; `None` if it never did.
    seen: Option<Millis>,
    /// On a store host: the hosts that have reported it, and when.
    reporters: BTreeMap<HostId, Millis>,
    /// On a store host: whether its record says that the upstream is slow.
    stated: bool,
    /// The store hosts whose records say so, and when they last did.
    stated_by: BTreeMap<HostId, Millis>,
}

impl SlowReports {
    /// Records that this host saw the upstream slow.
    pub fn record_seen(&mut self, now: Millis) {
        self.seen = Some(now);
    }

    /// Returns whether this host saw it slow a short time ago, so that its hellos report it.
    #[must_use]
    pub fn is_reported(&self, now: Millis) -> bool {
        self.seen.is_some_and(|seen| now.since(seen) < REPORT_VALIDITY)
    }

    /// Records the report of another host.
    pub fn add(&mut self, from: HostId, now: Millis) {
        if self.reporters.len() < MAX_REPORTERS || self.reporters.contains_key(&from) {
            self.reporters.insert(from, now);
        }
    }

    /// Updates the statement of this store host, which has the given number of subscribers, and
    /// returns whether it changes.
    pub fn update(&mut self, now: Millis, subscribers: usize) -> bool {
        self.reporters.retain(|_, at| now.since(*at) < REPORT_VALIDITY);
        let required = subscribers.div_ceil(SUBSCRIBERS_PER_REPORTER).max(MIN_REPORTERS);
        let slow =
            if self.stated { !self.reporters.is_empty() } else { self.reporters.len() >= required };
        std::mem::replace(&mut self.stated, slow) != slow
    }

    /// Returns whether reports are kept, so that [`SlowReports::update`] has to be called again.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.stated || !self.reporters.is_empty()
    }

    /// Returns whether the record of this store host says that the upstream is slow.
    #[must_use]
    pub fn is_stated(&self) -> bool {
        self.stated
    }

    /// Applies the statement in a record of another store host.
    pub fn apply_statement(&mut self, from: HostId, slow: bool, now: Millis) {
        if slow {
            self.stated_by.insert(from, now);
        } else {
            self.stated_by.remove(&from);
        }
    }

    /// Returns whether a store host, this one or another, says that the upstream is slow.
    #[must_use]
    pub fn is_stated_by_any(&self, now: Millis) -> bool {
        self.stated || self.stated_by.values().any(|at| now.since(*at) < STATEMENT_VALIDITY)
    }
}
