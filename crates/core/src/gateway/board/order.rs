//! Orders to upstreams to load weights, on the host that gives them.

use std::collections::BTreeMap;

use crate::key::{OrderKey, UpstreamKey};
use crate::time::Millis;

/// An order whose end has not been reported.
#[derive(Debug, Clone)]
pub struct PendingOrder {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The model.
    pub model: Box<str>,
    /// The version.
    pub version: u64,
    /// When it was sent.
    pub sent: Millis,
}

/// The weights of an upstream, as far as this host has ordered them.
#[derive(Debug, Clone, Default)]
pub struct LoadState {
    /// The order whose end has not been reported, with its model.
    pub pending: Option<(OrderKey, Box<str>)>,
    /// The model and version that the upstream is loading, and since when.
    pub loading: Option<(Box<str>, u64, Millis)>,
    /// When the next order may be sent.
    pub retry_at: Millis,
    /// Number of orders that the upstream has accepted; `None` where that is unknown.
    pub orders: Option<u64>,
    confirmed: BTreeMap<Box<str>, u64>,
}

impl LoadState {
    /// Returns the version of a model that this host's orders have loaded, or zero.
    #[must_use]
    pub fn confirmed(&self, model: &str) -> u64 {
        self.confirmed.get(model).copied().unwrap_or_default()
    }

    /// Records that a version is loaded.
    pub fn confirm(&mut self, model: &str, version: u64) {
        let known = self.confirmed.entry(model.into()).or_default();
        *known = (*known).max(version);
    }

    /// Removes the confirmed version of a model, which turned out not to be loaded.
    pub fn invalidate(&mut self, model: &str) {
        self.confirmed.remove(model);
    }

    /// Returns whether requests for a model must wait for an order to end.
    #[must_use]
    pub fn blocks(&self, model: &str) -> bool {
        let pending = self.pending.as_ref().is_some_and(|(_, name)| &**name == model);
        pending || self.loading.as_ref().is_some_and(|(name, ..)| &**name == model)
    }

    /// Returns whether an order is pending or being carried out.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.pending.is_some() || self.loading.is_some()
    }
}
