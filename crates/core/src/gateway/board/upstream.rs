//! The upstreams, as this host sees them.

use std::collections::BTreeSet;

use crate::gateway::action::{UpstreamAddress, UpstreamPath};
use crate::gateway::board::{
    Attempt, Ledger, LoadState, Permits, Purpose, StatedLimit, UpstreamLimit,
};
use crate::gateway::capacity::{CapacityEstimate, Observation, SlowReports};
use crate::gateway::event::Announcement;
use crate::gateway::message::UpstreamRecord;
use crate::gateway::rate::RequestRate;
use crate::key::{HostId, UpstreamKey};
use crate::time::{Millis, Now};

/// How long an upstream is avoided after the first failure in a row, in milliseconds.
const INITIAL_AVOID_MS: u64 = 250;

/// How long an instance counts as ended; its announcements do not shorten it, as they may be delayed.
pub const ENDED_RETENTION: Millis = Millis(5_000);

/// How long after its departure an instance is kept in mind at most; no announcement is that late.
pub const DEPARTURE_RETENTION: Millis = Millis(600_000);

/// Maximum number of times that further failures in a row double the avoidance time.
const MAX_AVOID_DOUBLINGS: u32 = 4;

/// The interval between two events of an item where none is measured, in microseconds.
pub const DEFAULT_EVENT_INTERVAL_US: u64 = 50_000;

/// Weight of a new response time in its moving average, in percent.
const RESPONSE_TIME_WEIGHT_PERCENT: u64 = 20;

/// Weight of a new event interval in its moving average, in percent; it is low since each running
/// item adds four intervals a second.
const EVENT_INTERVAL_WEIGHT_PERCENT: u64 = 4;

/// The recent performance of an upstream for this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamHealth {
    /// Number of failures since the last success.
    pub failures: u32,
    /// Until when it is avoided.
    pub avoid_until: Millis,
    /// Moving average of its response time, in microseconds; zero before the first response.
    pub response_time_us: u64,
    /// Moving average of the interval between two events of an item, in microseconds; zero before
    /// the first events.
    pub event_interval_us: u64,
}

/// The source from which a host knows that an upstream leaves, other than its announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveSource {
    /// An answer of the upstream to this host.
    Answer,
    /// Another host, directly or through a store host.
    Host(HostId),
}

/// A statement of an upstream that it leaves; an instance never takes it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SaidLeaving {
    /// When this host learned of it.
    pub at: Millis,
    /// From where.
    pub source: LeaveSource,
}

/// The announced departure of an upstream at a fixed time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaveNotice {
    /// When this host learned of it.
    pub since: Millis,
    /// When the upstream is gone.
    pub until: Millis,
}

/// What is known of the departure of an upstream, which outlasts the processes that know it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Departure {
    /// Whether its announcements, or a call of its own, say that it leaves.
    pub leaving: bool,
    /// Whether it has told a store host by a call that is no announcement.
    pub left: bool,
    /// Whether it has said so in an answer.
    pub said_leaving: bool,
    /// Whether it has left for good.
    pub gone: bool,
    /// Whether it has announced when it is gone.
    pub has_notice: bool,
}

/// An upstream, as this host sees it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its latest announcement.
    pub announced: Announcement,
    /// Whether it has left for good.
    pub gone: bool,
    /// Whether it has told a store host that it leaves, by a call that is no announcement. Only another
    /// instance ends this, since announcements of this one may be delayed.
    pub left: bool,
    /// Whether enough store hosts have written down that it leaves.
    pub leave_kept: bool,
    /// What this store host has written down, or is writing down, of its departure; `None` if nothing is
    /// written down of this instance.
    pub saved_departure: Option<Departure>,
    /// The wall time at which its departure became known; `None` before.
    pub departed_at: Option<Millis>,
    /// Its statement in an answer that it leaves; `None` before the first one.
    pub said_leaving: Option<SaidLeaving>,
    /// Its announced departure at a fixed time; `None` before the announcement.
    pub leave_notice: Option<LeaveNotice>,
    /// Whether this host's last connection to it failed.
    pub unreachable: bool,
    /// The limit that it has named in an answer; `None` before the first one.
    pub limit: Option<UpstreamLimit>,
    /// The permits of this host to send it requests while it has a limit.
    pub permits: Permits,
    /// The requests that it may still get from all hosts, if this one grants the permits.
    pub ledger: Ledger,
    /// When this instance was last known to have ended without a word; `None` if it was not.
    pub ended_at: Option<Millis>,
    /// When its last announcement arrived, directly or through another host.
    pub last_seen: Millis,
    /// Whether an announcement of it became known since this host's last hellos to other store hosts,
    /// from the upstream itself or from another store host.
    pub newly_seen: bool,
    /// The host from which this one learned of its last change; `None` if this host found it.
    pub learned_from: Option<HostId>,
    /// Whether this store host counts it as silent.
    pub silent: bool,
    /// The store hosts that count it as silent.
    pub silent_by: BTreeSet<HostId>,
    /// The revision of this host's registry at its last change.
    pub revision: u64,
    /// Number of this host's attempts in flight there.
    pub in_flight: u32,
    /// Number of tokens that those attempts reserve in its memory.
    pub tokens: u64,
    /// Its recent performance.
    pub health: UpstreamHealth,
    /// The recent failures of connections to it over this host's own links.
    pub link_health: UpstreamHealth,
    /// What it does with requests, as this host observes it.
    pub request_capacity: CapacityEstimate,
    /// What it does with items, as this host observes it.
    pub item_capacity: CapacityEstimate,
    /// Whether it is slow, as hosts tell each other.
    pub slow_reports: SlowReports,
    /// Its weights, as far as this host has ordered them.
    pub load: LoadState,
}

impl Upstream {
    /// Creates an upstream from its first announcement.
    #[must_use]
    pub fn new(announced: Announcement, now: Millis) -> Self {
        let mut upstream = Self {
            announced,
            gone: false,
            left: false,
            leave_kept: false,
            saved_departure: None,
            departed_at: None,
            said_leaving: None,
            leave_notice: None,
            unreachable: false,
            limit: None,
            permits: Permits::default(),
            ledger: Ledger::default(),
            ended_at: None,
            last_seen: now,
            newly_seen: false,
            learned_from: None,
            silent: false,
            silent_by: BTreeSet::new(),
            revision: 0,
            in_flight: 0,
            tokens: 0,
            health: UpstreamHealth::default(),
            link_health: UpstreamHealth::default(),
            request_capacity: CapacityEstimate::default(),
            item_capacity: CapacityEstimate::default(),
            slow_reports: SlowReports::default(),
            load: LoadState::default(),
        };
        upstream.record_notice(now);
        upstream
    }

    /// Counts an attempt that begins, and reserves `tokens` tokens for it.
    pub fn begin_attempt(&mut self, purpose: Purpose, tokens: u64, now: Millis) {
        self.in_flight += 1;
        self.tokens += tokens;
        self.capacity(purpose).begin(now);
    }

    /// Releases what an attempt that has ended held.
    pub fn end_attempt(&mut self, attempt: &Attempt) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(attempt.tokens);
        self.capacity(attempt.purpose).finish();
    }

    fn capacity(&mut self, purpose: Purpose) -> &mut CapacityEstimate {
        match purpose {
            Purpose::Request(_) | Purpose::Reward(_) => &mut self.request_capacity,
            Purpose::Item(_) => &mut self.item_capacity,
        }
    }

    /// Returns how many requests the upstream is given at a time.
    ///
    /// This is at least half of its slots: a host sees only its own requests, and must not refuse any
    /// while an upstream may have room.
    #[must_use]
    pub fn request_slots(&self, learned: bool, now: Millis) -> u32 {
        let slots = self.announced.slots.max(1);
        if learned { self.request_capacity.limit(now, slots).max(slots.div_ceil(2)) } else { slots }
    }

    /// Returns how many items the upstream is given at a time.
    #[must_use]
    pub fn item_slots(&self, learned: bool, now: Millis) -> u32 {
        let slots = self.announced.slots.max(1);
        if learned { self.item_capacity.limit(now, slots) } else { slots }
    }

    /// Returns the time between two events of an item there, in microseconds; zero where unknown.
    #[must_use]
    pub fn event_interval_us(&self, learned: bool, now: Millis) -> u64 {
        if learned { self.item_capacity.unit_time_us(now) } else { self.health.event_interval_us }
    }

    /// Records that a request took the given time: until its answer, or at least this long without one.
    pub fn record_response(&mut self, now: Millis, took: Millis) {
        let slots = self.announced.slots;
        self.request_capacity.observe(now, Observation { slots, units: 1, took });
    }

    /// Records that `events` events of an item arrived within the time `took`.
    pub fn record_events(&mut self, now: Millis, events: u32, took: Millis) {
        self.health.record_events(events, took);
        let slots = self.announced.slots;
        self.item_capacity.observe(now, Observation { slots, units: events, took });
    }

    /// Returns the address of the upstream, whose key on the board is `key`.
    #[must_use]
    pub fn address(&self, key: UpstreamKey) -> UpstreamAddress {
        let (id, address) = (self.announced.id.clone(), self.announced.address.clone());
        UpstreamAddress {
            key,
            id,
            address,
            limited: self.rate_limit().is_some(),
            path: UpstreamPath::default(),
        }
    }

    /// Takes over the time at which the upstream is gone from its latest announcement.
    ///
    /// Copies of one announcement arrive with different delays, so the earliest time is kept.
    pub fn record_notice(&mut self, now: Millis) {
        if !self.announced.leaving {
            self.leave_notice = None;
        }
        let Some(leaves_in) = self.announced.leaves_in else { return };
        let until = now + leaves_in;
        match &mut self.leave_notice {
            Some(notice) => notice.until = notice.until.min(until),
            None => self.leave_notice = Some(LeaveNotice { since: now, until }),
        }
    }

    /// Returns whether it departed too long ago to be kept in mind, at a wall time.
    #[must_use]
    pub fn is_departure_over(&self, wall: Millis) -> bool {
        self.departed_at.is_some_and(|at| wall.since(at) > DEPARTURE_RETENTION)
    }

    /// Returns what is known of its departure.
    #[must_use]
    pub fn departure(&self) -> Departure {
        Departure {
            leaving: self.announced.leaving,
            left: self.left,
            said_leaving: self.said_leaving.is_some(),
            gone: self.gone,
            has_notice: self.leave_notice.is_some(),
        }
    }

    /// Returns the record of the upstream for other hosts.
    #[must_use]
    pub fn record(&self, now: Now) -> UpstreamRecord {
        let mut announced = self.announced.clone();
        announced.leaves_in = self.leave_notice.map(|notice| notice.until.since(now.mono));
        UpstreamRecord {
            announced,
            silent: self.silent,
            gone: self.gone,
            left: self.left,
            said_leaving: self.said_leaving.is_some(),
            limit: self.limit.map(|limit| limit.statement()),
            slow: self.slow_reports.is_stated(),
            departed_ago: self.departed_at.map(|at| now.wall.since(at)),
        }
    }

    /// Returns how many requests the upstream takes from all hosts together; `None` without a limit.
    #[must_use]
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.limit.as_ref().and_then(UpstreamLimit::rate)
    }

    /// Applies a statement of the upstream about its limit, and returns whether it changes the limit.
    pub fn apply_limit(&mut self, stated: StatedLimit, is_own: bool) -> bool {
        if let Some(limit) = &mut self.limit {
            return limit.apply(stated, is_own);
        }
        self.limit = UpstreamLimit::new(stated, is_own);
        self.limit.is_some()
    }

    /// Returns whether the upstream may be sent new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        !self.gone && !self.left && !self.announced.leaving && self.said_leaving.is_none()
    }

    /// Records that this instance had ended at the given time.
    pub fn record_end(&mut self, at: Millis) {
        self.ended_at = self.ended_at.max(Some(at));
    }

    /// Returns until when the upstream counts as ended, or `None` if it does not.
    #[must_use]
    pub fn ended_until(&self, now: Millis) -> Option<Millis> {
        let until = self.ended_at? + ENDED_RETENTION;
        (until > now).then_some(until)
    }

    /// Returns whether the upstream is avoided at the given time.
    #[must_use]
    pub fn is_avoided(&self, now: Millis) -> bool {
        now < self.link_health.avoid_until || self.is_avoided_over_relays(now)
    }

    /// Returns whether the upstream is avoided at the given time by relayed connections too.
    #[must_use]
    pub fn is_avoided_over_relays(&self, now: Millis) -> bool {
        now < self.health.avoid_until
    }

    /// Returns the weight version of a model that the upstream is known to run, or zero.
    #[must_use]
    pub fn version_of(&self, model: &str) -> u64 {
        self.announced.version_of(model).max(self.load.confirmed(model))
    }

    /// Records that the upstream refuses items. If it does since it is loading weights, it counts as that
    /// until it announces them, or until the given time, and the start of the load is returned.
    pub fn refuse_while_loading(&mut self, until: Millis) -> Option<Millis> {
        let announced = &self.announced;
        self.load.refuse(|model| announced.version_of(model), until)
    }
}

impl UpstreamHealth {
    /// Records a delivered answer, after which the upstream is no longer avoided.
    pub fn record_success(&mut self, took: Millis) {
        self.record_answer();
        self.record_response_time(took);
    }

    /// Records the time until an answer, or for which there was none.
    pub fn record_response_time(&mut self, took: Millis) {
        self.response_time_us =
            moving_average(self.response_time_us, took.0 * 1_000, RESPONSE_TIME_WEIGHT_PERCENT);
    }

    /// Records a delivered answer that says nothing about the speed.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.avoid_until = Millis(0);
    }

    /// Records a failure; the upstream is avoided for longer with each failure in a row.
    ///
    /// Failures while it is avoided don't count, since requests in flight at the same time often fail
    /// together.
    pub fn record_failure(&mut self, now: Millis) {
        if now < self.avoid_until {
            return;
        }
        let doublings = self.failures.min(MAX_AVOID_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = now + Millis(INITIAL_AVOID_MS << doublings);
    }

    /// Records that `events` events of an item arrived within the time `took`.
    pub fn record_events(&mut self, events: u32, took: Millis) {
        if events == 0 {
            return;
        }
        self.event_interval_us = moving_average(
            self.event_interval_us,
            took.0 * 1_000 / u64::from(events),
            EVENT_INTERVAL_WEIGHT_PERCENT,
        );
    }
}

fn moving_average(old: u64, new: u64, weight_percent: u64) -> u64 {
    if old == 0 {
        return new.max(1);
    }
    ((old * (100 - weight_percent) + new * weight_percent) / 100).max(1)
}
