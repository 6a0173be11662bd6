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

/// The shortest time after which a load counts as finished that is not announced.
const MIN_LOAD_TIME: Millis = Millis(1_000);

/// The longest such time.
const MAX_LOAD_TIME: Millis = Millis(6_000);

/// By how much the time is longer than that after which an upstream was still loading.
const LOAD_TIME_STEP: Millis = Millis(300);

/// A load that an upstream carries out.
#[derive(Debug, Clone)]
pub struct WeightLoad {
    /// The model.
    pub model: Box<str>,
    /// The version.
    pub version: u64,
    /// When it began.
    pub since: Millis,
    /// Until when it counts as unfinished without an announcement of the version.
    pub until: Millis,
    /// Whether it counted as finished and was not.
    pub is_late: bool,
}

/// The time that upstreams take to load weights, as this host observes it.
///
/// They share what the weight store sends, so it grows with the number that load at a time.
#[derive(Debug, Clone, Copy)]
pub struct LoadTime(Millis);

impl Default for LoadTime {
    fn default() -> Self {
        Self(MIN_LOAD_TIME)
    }
}

impl LoadTime {
    /// Returns after which time a load that is not announced counts as finished.
    #[must_use]
    pub fn get(self) -> Millis {
        self.0
    }

    /// Records that a load was unfinished after the given time.
    pub fn record_unfinished(&mut self, after: Millis) {
        self.0 = self.0.max(after + LOAD_TIME_STEP).min(MAX_LOAD_TIME);
    }

    /// Records that a load was announced as finished after the given time, which an announcement that
    /// comes some time later overstates. Later ones correct that.
    pub fn record_finished(&mut self, after: Millis, is_late: bool) {
        let time = if is_late { self.0.max(after) } else { self.0.min(after) };
        self.0 = time.clamp(MIN_LOAD_TIME, MAX_LOAD_TIME);
    }
}

/// The weights of an upstream, as far as this host has ordered them.
#[derive(Debug, Clone, Default)]
pub struct LoadState {
    /// The order whose end has not been reported, with its model.
    pub pending: Option<(OrderKey, Box<str>)>,
    /// The load that the upstream is carrying out.
    pub loading: Option<WeightLoad>,
    /// The load that counts as finished although the upstream has not announced the version.
    pub unannounced: Option<WeightLoad>,
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

    /// Removes the confirmed version of a model after it was found not to be loaded.
    pub fn invalidate(&mut self, model: &str) {
        self.confirmed.remove(model);
    }

    /// Records that the load is done: it was announced, or its time has passed.
    pub fn finish(&mut self, is_announced: bool) {
        let Some(load) = self.loading.take() else { return };
        self.confirm(&load.model, load.version);
        self.unannounced = Some(load).filter(|_| !is_announced);
    }

    /// Records that the upstream, which announces `announced` of a model, refuses requests. If it is still
    /// loading, it counts as that until the given time, and the start of the load is returned.
    pub fn refuse(&mut self, announced: impl Fn(&str) -> u64, until: Millis) -> Option<Millis> {
        if let Some(load) = &self.loading {
            return Some(load.since);
        }
        let load = self.unannounced.take()?;
        if announced(&load.model) >= load.version {
            return None;
        }
        let since = load.since;
        self.invalidate(&load.model);
        self.loading = Some(WeightLoad { until, is_late: true, ..load });
        Some(since)
    }

    /// Returns whether requests for a model must wait for an order to end.
    #[must_use]
    pub fn blocks(&self, model: &str) -> bool {
        let pending = self.pending.as_ref().is_some_and(|(_, name)| &**name == model);
        pending || self.loading.as_ref().is_some_and(|load| &*load.model == model)
    }

    /// Returns whether an order is pending or being carried out.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.pending.is_some() || self.loading.is_some()
    }
}
