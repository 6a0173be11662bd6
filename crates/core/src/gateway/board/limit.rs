//! The limits that upstreams name in their answers, as this host knows them.

use serde::{Deserialize, Serialize};

use crate::gateway::rate::RequestRate;
use crate::time::Millis;
use crate::timeline::Stamp;

/// An answer without a limit lifts one only this long after the last answer that named it: answers
/// to several hosts may have crossed on their way.
const LIFT_DELAY: Millis = Millis(1_000);

/// The change of a rate, in percent, from which other hosts are told.
const REPORTED_CHANGE_PERCENT: u64 = 5;

/// What an upstream has said about the requests that it takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StatedLimit {
    /// The most requests; `None` if there is no limit any more.
    pub rate: Option<RequestRate>,
    /// When the head of the answer came that said so.
    pub at: Stamp,
}

/// The limit of an upstream that has named one.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLimit {
    stated: StatedLimit,
    /// When the head of the last answer came that named a limit.
    named_at: Stamp,
    /// Whether an answer to this host said so.
    pub is_own: bool,
}

impl UpstreamLimit {
    /// Creates the limit from the first statement; `None` if that names none.
    #[must_use]
    pub fn new(stated: StatedLimit, is_own: bool) -> Option<Self> {
        stated.rate.map(|_| Self { stated, named_at: stated.at, is_own })
    }

    /// Returns the rate; `None` if the limit has been lifted.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.stated.rate
    }

    /// Returns the statement as other hosts are told it.
    #[must_use]
    pub fn statement(&self) -> StatedLimit {
        let at = if self.stated.rate.is_some() { self.named_at } else { self.stated.at };
        StatedLimit { at, ..self.stated }
    }

    /// Applies a statement, and returns whether it changes the limit.
    pub fn apply(&mut self, stated: StatedLimit, is_own: bool) -> bool {
        if stated.at <= self.statement().at {
            return false;
        }
        let changes = match (self.stated.rate, stated.rate) {
            (None, None) => false,
            (Some(_), None) => stated.at.wall.since(self.named_at.wall) >= LIFT_DELAY,
            (None, Some(_)) => true,
            (Some(old), Some(new)) => old.0.abs_diff(new.0) * 100 > old.0 * REPORTED_CHANGE_PERCENT,
        };
        if stated.rate.is_some() {
            self.named_at = stated.at;
            self.is_own |= is_own;
        }
        if changes {
            self.stated = stated;
            self.is_own = is_own;
        }
        changes
    }
}
