//! Rates of requests.

use std::fmt::{Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// A number of requests in a time, in requests per 1,000 seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub u64);

/// The part of one request that a balance counts in.
pub const MICROS_PER_REQUEST: i64 = 1_000_000;

/// The greatest rate, a million requests a second; beyond it a limit binds nobody.
const MAX_PER_SECOND: f64 = 1e6;

impl RequestRate {
    /// Returns the rate with a number of requests a second, rounded down to a thousandth; `None` if
    /// the number is negative or no number.
    #[must_use]
    pub fn per_second(requests: f64) -> Option<Self> {
        const PER_1000_S: f64 = 1_000.0;
        if requests.is_nan() || requests < 0.0 {
            return None;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Some(Self((requests.min(MAX_PER_SECOND) * PER_1000_S) as u64))
    }

    /// Returns how much the rate allows in a time, in millionths of a request.
    #[must_use]
    pub fn micros_in(self, time: Millis) -> i64 {
        i64::try_from(self.0.saturating_mul(time.0)).unwrap_or(i64::MAX)
    }

    /// Returns how long it takes until the rate allows an amount, in millionths of a request.
    #[must_use]
    pub fn time_for(self, micros: i64) -> Millis {
        let micros = u64::try_from(micros).unwrap_or(0);
        micros.checked_div(self.0).map_or(Millis::MAX, |ms| Millis(ms + 1))
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:03}/s", self.0 / 1_000, self.0 % 1_000)
    }
}
