//! The requests that hosts may send to upstreams that have named a limit.
//!
//! The leader of the directory group keeps a [`Ledger`] for each such upstream and grants permits from
//! it. What has been granted within [`PERMIT_VALIDITY`] and the time that counts for a limit is all that
//! can reach the upstream, whichever hosts send it.

use crate::gateway::rate::{MICROS_PER_REQUEST, RequestRate};
use crate::key::{HostId, UpstreamKey};
use crate::time::Millis;

/// How long a host may use a permit, from its request for it.
pub const PERMIT_VALIDITY: Millis = Millis(1_000);

/// The least rate at which an upstream is sent requests: without any answer, no host would learn that
/// its limit has ended.
const MIN_RATE: RequestRate = RequestRate(250);

/// The most permits that a ledger holds, as the time in which the rate allows them.
const BURST_TIME: Millis = Millis(500);

/// The permits that a ledger holds at least when it is full.
const MIN_BURST: i64 = 2;

/// How long a reserved request is kept, from when it can be sent.
const RESERVATION_MARGIN: Millis = Millis(250);

/// The latest time at which callers are told to come back; they do not wait for longer.
pub const MAX_RETURN_TIME: Millis = Millis(5_000);

/// The permits of this host for one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Permits {
    count: u32,
    expires_at: Millis,
}

impl Permits {
    /// Returns the number of valid permits.
    #[must_use]
    pub fn available(&self, now: Millis) -> u32 {
        if now < self.expires_at { self.count } else { 0 }
    }

    /// Adds permits that are valid until a time; those that it has expire at the earlier one.
    pub fn add(&mut self, count: u32, expires_at: Millis, now: Millis) {
        let available = self.available(now);
        self.expires_at = if available > 0 { self.expires_at.min(expires_at) } else { expires_at };
        self.count = available + count;
    }

    /// Uses a permit, and returns whether there was one.
    pub fn take(&mut self, now: Millis) -> bool {
        let available = self.available(now);
        self.count = available.saturating_sub(1);
        available > 0
    }
}

/// The requests that an upstream may still get, on the host that grants all permits for it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ledger {
    /// In millionths of a request; negative if more was taken than there was.
    balance: i64,
    refilled_at: Option<Millis>,
    /// Until when items and reward calls leave the balance to others.
    reserved_until: Millis,
    /// When the last caller that was told to come back can be served.
    next_return: Millis,
}

impl Ledger {
    fn burst(rate: RequestRate) -> i64 {
        rate.micros_in(BURST_TIME).max(MIN_BURST * MICROS_PER_REQUEST)
    }

    /// Returns the balance at a time, in millionths of a request. A new ledger holds one request.
    fn balance(&self, rate: RequestRate, now: Millis) -> i64 {
        let Some(refilled_at) = self.refilled_at else { return MICROS_PER_REQUEST };
        let added = rate.max(MIN_RATE).micros_in(now.since(refilled_at));
        self.balance.saturating_add(added).min(Self::burst(rate))
    }

    /// Returns the number of permits that can be granted at a time.
    #[must_use]
    pub fn available(&self, rate: RequestRate, now: Millis) -> u32 {
        u32::try_from(self.balance(rate, now) / MICROS_PER_REQUEST).unwrap_or(0)
    }

    /// Returns the number of permits that can be granted before there are requests for them: half of what
    /// a full ledger holds beyond its least size is kept for requests that wait.
    #[must_use]
    pub fn spare(&self, rate: RequestRate, now: Millis) -> u32 {
        let kept = (Self::burst(rate) - MIN_BURST * MICROS_PER_REQUEST) / 2;
        let spare = self.balance(rate, now) - kept;
        u32::try_from(spare / MICROS_PER_REQUEST).unwrap_or(0)
    }

    /// Takes permits, also more than there are.
    pub fn take(&mut self, count: u32, rate: RequestRate, now: Millis) {
        self.balance = self.balance(rate, now) - i64::from(count) * MICROS_PER_REQUEST;
        self.refilled_at = Some(now);
    }

    /// Returns the time until a number of permits can be granted.
    #[must_use]
    pub fn time_until(&self, count: u32, rate: RequestRate, now: Millis) -> Millis {
        let missing = i64::from(count) * MICROS_PER_REQUEST - self.balance(rate, now);
        if missing <= 0 { Millis(0) } else { rate.max(MIN_RATE).time_for(missing) }
    }

    /// Returns whether the balance is left to others than items and reward calls.
    #[must_use]
    pub fn is_reserved(&self, now: Millis) -> bool {
        now < self.reserved_until
    }

    /// Leaves the next request to others than items and reward calls, unless they had no turn since the
    /// last time.
    pub fn reserve_next(&mut self, rate: RequestRate, now: Millis) {
        let turn = rate.max(MIN_RATE).time_for(MICROS_PER_REQUEST);
        if now >= self.reserved_until + turn {
            self.reserved_until = now + self.time_until(1, rate, now) + RESERVATION_MARGIN;
        }
    }

    /// Ends a reservation for which permits were taken.
    pub fn end_reservation(&mut self, now: Millis) {
        self.reserved_until = self.reserved_until.min(now);
    }

    /// Returns when one more caller that comes back can be served, and counts it.
    pub fn schedule_return(&mut self, rate: RequestRate, now: Millis) -> Millis {
        let soonest = now + self.time_until(1, rate, now);
        let next = self.next_return + rate.max(MIN_RATE).time_for(MICROS_PER_REQUEST);
        self.next_return = soonest.max(next).min(now + MAX_RETURN_TIME);
        self.next_return
    }

    /// Returns when the next caller that comes back could be served.
    #[must_use]
    pub fn next_return(&self, rate: RequestRate, now: Millis) -> Millis {
        let mut ledger = *self;
        ledger.schedule_return(rate, now)
    }
}

/// Permits that a host waits for, on the host that grants them.
#[derive(Debug, Clone)]
pub struct QuotaClaim {
    /// The host.
    pub host: HostId,
    /// The number of its request for permits.
    pub number: u64,
    /// The service whose requests wait.
    pub service: Box<str>,
    /// The upstreams that can run them.
    pub upstreams: Vec<UpstreamKey>,
    /// The number of permits.
    pub wanted: u32,
    /// The highest priority of the requests; zero is the highest.
    pub priority: u32,
    /// Until when the requests wait.
    pub until: Millis,
}

/// The requests of a service that this host may send only with permits.
#[derive(Debug, Clone, Copy, Default)]
pub struct QuotaWait {
    /// Requests that wait for a permit, as counted in the current round.
    pub waiting: u32,
    /// Their highest priority; zero is the highest.
    pub priority: u32,
    /// Until when the last of them waits.
    pub until: Millis,
    /// The number of the last request for permits and when it was sent.
    pub asked: (u64, Millis),
    /// Until when its reply is awaited.
    pub reply_until: Millis,
    /// Until when no permits can be had.
    pub refused_until: Millis,
    /// When the last caller that was told to come back can be served.
    pub next_return: Millis,
    /// The requests sent to upstreams since the last request for permits in advance.
    pub placed: u32,
    /// When permits may be asked for in advance again.
    pub next_ahead: Millis,
    /// The interval between two such requests.
    pub ahead_interval: Millis,
}
