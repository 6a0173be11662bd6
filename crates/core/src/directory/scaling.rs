//! The scaling of a service: its limits and prices, and the intended numbers of its upstreams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// How the number of a service's upstreams may change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ScalingSpec {
    /// The least number of upstreams in an availability zone, of both kinds together.
    pub min: u32,
    /// The greatest number of upstreams in an availability zone, of both kinds together.
    pub max: u32,
    /// How long after its order an upstream serves.
    pub start_time: Millis,
    /// The price of a reclaimable upstream, in thousandths of that of another one.
    pub reclaimable_price: u32,
    /// The price of an upstream in each availability zone, in thousandths of the usual one.
    pub zone_prices: BTreeMap<Box<str>, u32>,
}

impl ScalingSpec {
    /// Returns the price of an upstream in millionths of the usual one.
    #[must_use]
    pub fn price(&self, zone: &str, reclaimable: bool) -> u64 {
        const USUAL: u32 = 1_000;
        let zone = self.zone_prices.get(zone).copied().unwrap_or(USUAL);
        let kind = if reclaimable { self.reclaimable_price } else { USUAL };
        u64::from(zone) * u64::from(kind)
    }
}

/// The intended number of upstreams of one kind, of a service in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamTarget {
    /// The service.
    pub service: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// Whether the provider may reclaim the upstreams at short notice.
    pub reclaimable: bool,
    /// The number without any order, below which no order goes.
    pub baseline: u32,
    /// The intended number.
    pub count: u32,
    /// How often the intended number was changed, each time by an order.
    pub changes: u64,
    /// Whether upstreams are to be removed, and the order for it is not confirmed.
    pub reduces: bool,
}

impl UpstreamTarget {
    /// Returns whether the target is for the same upstreams as another one.
    #[must_use]
    pub fn is_same_pool(&self, other: &Self) -> bool {
        (&self.service, &self.zone, self.reclaimable)
            == (&other.service, &other.zone, other.reclaimable)
    }
}
