//! Upstreams on the board.

use serde::{Deserialize, Serialize};

use crate::event::UpstreamSpec;
use crate::key::{OrderKey, ServiceKey};
use crate::time::Millis;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// It does.
    Up,
    /// It said that it leaves.
    Leaving,
    /// It stopped announcing itself.
    Silent,
}

/// One upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Upstream {
    /// What it said of itself last.
    pub spec: UpstreamSpec,
    /// Its service.
    pub service: ServiceKey,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// When it was last heard from.
    #[serde(rename = "heard")]
    pub last_seen: Millis,
    /// This host's requests in flight there.
    pub in_flight: u32,
    /// The most that this host keeps in flight there.
    pub limit: u32,
    /// The waiting requests that it reported, and when.
    pub waiting: (u32, Millis),
    /// The smoothed time of a request there, in milliseconds.
    #[serde(rename = "pace_ms")]
    pub latency_ms: u32,
    /// The order that it has not answered.
    pub order: Option<OrderKey>,
    /// Loads that failed one after the other.
    pub failed_loads: u32,
    /// No order before this time.
    pub order_after: Millis,
    /// No new work before this time, after it could not be reached.
    #[serde(rename = "rest_until")]
    pub cooldown_until: Millis,
}

impl Upstream {
    /// Makes an upstream that has just announced itself.
    #[must_use]
    pub fn new(spec: UpstreamSpec, service: ServiceKey, now: Millis) -> Self {
        Self {
            spec,
            service,
            state: UpstreamState::Up,
            last_seen: now,
            in_flight: 0,
            limit: 1,
            waiting: (0, Millis(0)),
            latency_ms: 0,
            order: None,
            failed_loads: 0,
            order_after: Millis(0),
            cooldown_until: Millis(0),
        }
    }

    /// Tells whether this host may give it one more request.
    #[must_use]
    pub fn has_capacity(&self, now: Millis) -> bool {
        self.state == UpstreamState::Up && self.in_flight < self.limit && now >= self.cooldown_until
    }

    /// Takes in how long a request took there.
    pub fn record_latency(&mut self, took: Millis) {
        const WEIGHT: u64 = 8;
        let took = u32::try_from(took.0).unwrap_or(u32::MAX);
        if self.latency_ms == 0 {
            self.latency_ms = took.max(1);
            return;
        }
        let smoothed = (u64::from(self.latency_ms) * (WEIGHT - 1) + u64::from(took)) / WEIGHT;
        self.latency_ms = u32::try_from(smoothed).unwrap_or(u32::MAX).max(1);
    }
}
