//! Upstreams of the zone.

use serde::{Deserialize, Serialize};

use crate::event::UpstreamSpec;
use crate::key::{OrderKey, ServiceKey};
use crate::time::Millis;

/// Whether an upstream accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// It accepts new work.
    Up,
    /// It announced that it leaves.
    Leaving,
    /// It stopped announcing itself.
    Silent,
}

/// One upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Upstream {
    /// Its latest announcement.
    pub spec: UpstreamSpec,
    /// Its service.
    pub service: ServiceKey,
    /// Whether it accepts new work.
    pub state: UpstreamState,
    /// When it last announced itself, on the monotonic clock.
    #[serde(rename = "heard")]
    pub last_seen: Millis,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// The most that this host keeps in flight there.
    pub limit: u32,
    /// The number of waiting requests that it last reported, and when, on the monotonic clock.
    pub waiting: (u32, Millis),
    /// The moving average of a request's duration there, in milliseconds; 0 before the first.
    #[serde(rename = "pace_ms")]
    pub latency_ms: u32,
    /// The order that awaits its answer.
    pub order: Option<OrderKey>,
    /// Consecutive failed orders, for weights or others.
    pub failed_loads: u32,
    /// No weight version is ordered before this time, on the monotonic clock; set after a failed
    /// order.
    pub order_after: Millis,
    /// No request is sent before this time, on the monotonic clock; set when it was unreachable.
    #[serde(rename = "rest_until")]
    pub cooldown_until: Millis,
}

impl Upstream {
    /// Creates an upstream that has just announced itself.
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

    /// Returns whether this host may send it one more request.
    #[must_use]
    pub fn has_capacity(&self, now: Millis) -> bool {
        self.state == UpstreamState::Up && self.in_flight < self.limit && now >= self.cooldown_until
    }

    /// Updates the average latency with the duration of a request.
    pub fn record_latency(&mut self, took: Millis) {
        const WEIGHT: u64 = 8;
        let took_ms = u32::try_from(took.0).unwrap_or(u32::MAX);
        if self.latency_ms == 0 {
            self.latency_ms = took_ms.max(1);
            return;
        }
        let smoothed = (u64::from(self.latency_ms) * (WEIGHT - 1) + u64::from(took_ms)) / WEIGHT;
        self.latency_ms = u32::try_from(smoothed).unwrap_or(u32::MAX).max(1);
    }
}
