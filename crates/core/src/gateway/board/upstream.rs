//! An upstream, as this host knows it.

use std::collections::BTreeSet;

use crate::gateway::board::LoadState;
use crate::gateway::event::Announcement;
use crate::key::HostId;
use crate::time::Millis;

/// How long an upstream is avoided after its first failure in a row, in milliseconds.
const AVOID_FIRST_MS: u64 = 250;

/// How many times the time may double with further failures in a row.
const MOST_DOUBLINGS: u32 = 4;

/// The share of a new answering time in its moving average, in percent.
const ANSWER_SHARE_PERCENT: u64 = 20;

/// The share of a new time between events in its moving average, in percent: each running item adds
/// one four times a second.
const EVENT_SHARE_PERCENT: u64 = 4;

/// The recent behaviour of an upstream towards this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamHealth {
    /// Failures since the last success.
    pub failures: u32,
    /// Until when it is avoided.
    pub avoid_until: Millis,
    /// The moving average of its answering time, in microseconds; zero where nothing is known.
    pub response_time_us: u64,
    /// The moving average of the time between two events of an item, in microseconds; zero where
    /// nothing is known.
    pub event_interval_us: u64,
}

/// One upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its latest announcement.
    pub announced: Announcement,
    /// Whether it is gone for good.
    pub gone: bool,
    /// When it took its leave without a word of draining before, and the number of its last
    /// announcement then.
    pub left: Option<(Millis, u64)>,
    /// When it or news of it was last heard.
    pub last_seen: Millis,
    /// Whether this host has heard it since its last hello to other store hosts.
    pub seen_directly: bool,
    /// Whether this store host counts it as silent.
    pub silent: bool,
    /// The store hosts that count it as silent.
    pub silent_by: BTreeSet<HostId>,
    /// The revision of this host's registry at its last change.
    pub revision: u64,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// Tokens that those requests reserve.
    pub tokens: u64,
    /// Its recent behaviour.
    pub health: UpstreamHealth,
    /// Its weights, as far as this host orders them.
    pub load: LoadState,
}

impl Upstream {
    /// Makes an upstream of its first announcement.
    #[must_use]
    pub fn new(announced: Announcement, now: Millis) -> Self {
        Self {
            announced,
            gone: false,
            left: None,
            last_seen: now,
            seen_directly: false,
            silent: false,
            silent_by: BTreeSet::new(),
            revision: 0,
            in_flight: 0,
            tokens: 0,
            health: UpstreamHealth::default(),
            load: LoadState::default(),
        }
    }

    /// Tells whether the upstream may be given new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        !self.gone && !self.announced.leaving
    }

    /// Tells whether it is avoided at the moment.
    #[must_use]
    pub fn is_avoided(&self, now: Millis) -> bool {
        now < self.health.avoid_until
    }

    /// Returns the weight version of a model that it is known to run, or zero.
    #[must_use]
    pub fn version_of(&self, model: &str) -> u64 {
        let announced = self.announced.versions.iter().find(|(name, _)| &**name == model);
        let announced = announced.map_or(0, |(_, version)| *version);
        announced.max(self.load.confirmed(model))
    }
}

impl UpstreamHealth {
    /// Takes in an answer.
    pub fn record_success(&mut self, took: Millis) {
        self.failures = 0;
        self.avoid_until = Millis(0);
        self.response_time_us = moving(self.response_time_us, took.0 * 1_000, ANSWER_SHARE_PERCENT);
    }

    /// Takes in a failure: the upstream is avoided, longer with each failure in a row.
    ///
    /// Requests that were under way together often fail together; they count as one failure.
    pub fn record_failure(&mut self, now: Millis) {
        if now < self.avoid_until {
            return;
        }
        let doublings = self.failures.min(MOST_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = now + Millis(AVOID_FIRST_MS << doublings);
    }

    /// Takes in that `events` events of an item came within a time.
    pub fn record_events(&mut self, events: u32, took: Millis) {
        if events == 0 {
            return;
        }
        self.event_interval_us =
            moving(self.event_interval_us, took.0 * 1_000 / u64::from(events), EVENT_SHARE_PERCENT);
    }
}

fn moving(old: u64, new: u64, share_percent: u64) -> u64 {
    if old == 0 {
        return new.max(1);
    }
    ((old * (100 - share_percent) + new * share_percent) / 100).max(1)
}
