//! The usage windows of the directory: settled counts that the provider has not accepted yet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The number of requests of each workspace that began to run in a window.
pub type UsageCounts = BTreeMap<Box<str>, u64>;

/// The most settled windows that wait for the provider; beyond it the oldest is dropped.
pub const MAX_SETTLED_WINDOWS: usize = 64;

/// The settled windows, and which one is settled next.
///
/// The counts of a window never change once it is settled: whichever host reports it sends the same.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UsageWindows {
    /// The next window to settle; `None` until workspaces have been in force.
    pub next: Option<u64>,
    /// The counts of the settled windows that are not reported.
    pub settled: BTreeMap<u64, UsageCounts>,
}

impl UsageWindows {
    /// Returns whether no window was ever named.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.next.is_none()
    }

    /// Sets the first window, unless there is one.
    pub fn start(&mut self, window: u64) {
        self.next.get_or_insert(window);
    }

    /// Settles a window if it is the next one; the first counts of a window stay.
    pub fn settle(&mut self, window: u64, counts: &UsageCounts) {
        if self.next != Some(window) {
            return;
        }
        self.next = Some(window + 1);
        self.settled.insert(window, counts.clone());
        while self.settled.len() > MAX_SETTLED_WINDOWS {
            self.settled.pop_first();
        }
    }

    /// Drops the counts of the windows up to the given one, which the provider has accepted.
    pub fn remove_reported(&mut self, through: u64) {
        self.settled.retain(|window, _| *window > through);
    }
}
