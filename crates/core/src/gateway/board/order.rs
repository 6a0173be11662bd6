//! Orders to upstreams to load weights.

use std::collections::BTreeMap;

use crate::key::{OrderKey, UpstreamKey};
use crate::time::Millis;

/// An order that is not answered.
#[derive(Debug, Clone)]
pub struct PendingOrder {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The model.
    pub model: Box<str>,
    /// The version.
    pub version: u64,
    /// When it left.
    pub sent: Millis,
}

/// The weights of an upstream, as far as this host orders them.
#[derive(Debug, Clone, Default)]
pub struct LoadState {
    /// The order that is not answered, with its model.
    pub pending: Option<(OrderKey, Box<str>)>,
    /// What is being loaded, and since when.
    pub loading: Option<(Box<str>, u64, Millis)>,
    /// When it may be ordered again.
    pub retry_at: Millis,
    /// The orders that it has accepted, where that is known.
    pub orders: Option<u64>,
    confirmed: BTreeMap<Box<str>, u64>,
}

impl LoadState {
    /// Returns the version of a model that this host knows to be loaded, or zero.
    #[must_use]
    pub fn confirmed(&self, model: &str) -> u64 {
        self.confirmed.get(model).copied().unwrap_or_default()
    }

    /// Takes in that a version is loaded.
    pub fn confirm(&mut self, model: &str, version: u64) {
        let known = self.confirmed.entry(model.into()).or_default();
        *known = (*known).max(version);
    }

    /// Takes back what was assumed of a model.
    pub fn invalidate(&mut self, model: &str) {
        self.confirmed.remove(model);
    }

    /// Tells whether requests for a model have to wait for an order.
    #[must_use]
    pub fn blocks(&self, model: &str) -> bool {
        let pending = self.pending.as_ref().is_some_and(|(_, name)| &**name == model);
        pending || self.loading.as_ref().is_some_and(|(name, ..)| &**name == model)
    }

    /// Tells whether an order is on its way or being carried out.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.pending.is_some() || self.loading.is_some()
    }
}
