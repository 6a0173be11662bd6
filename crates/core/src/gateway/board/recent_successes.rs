//! The requests that succeeded a short time ago.

use std::collections::BTreeMap;

use crate::key::Fingerprint;
use crate::time::Millis;

/// How long a success speaks for a request.
const SUCCESS_RETENTION: Millis = Millis(10_000);

/// The maximum number of requests that are remembered; beyond it, new ones are left out.
const MAX_REQUESTS: usize = 4_096;

/// The requests that succeeded a short time ago, with the time of the last success.
#[derive(Debug, Clone, Default)]
pub struct RecentSuccesses {
    succeeded_at: BTreeMap<Fingerprint, Millis>,
}

impl RecentSuccesses {
    /// Records a success.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Millis) {
        if let Some(at) = self.succeeded_at.get_mut(&fingerprint) {
            *at = now;
            return;
        }
        if self.succeeded_at.len() < MAX_REQUESTS {
            self.succeeded_at.insert(fingerprint, now);
        }
    }

    /// Returns whether a request succeeded a short time ago.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let at = self.succeeded_at.get(&fingerprint);
        at.is_some_and(|at| now.since(*at) < SUCCESS_RETENTION)
    }

    /// Removes the successes that are too old.
    pub fn expire(&mut self, now: Millis) {
        self.succeeded_at.retain(|_, at| now.since(*at) < SUCCESS_RETENTION);
    }
}
