//! The trait of retry policies, and a policy with a retry budget.

use std::fmt::Debug;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::time::Millis;

/// The facts on which a retry policy decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// The attempts made so far.
    pub attempts: u32,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The retries that the budget allows, in percent of first attempts.
    pub retry_percent: u64,
    /// The time left until the request's deadline.
    pub time_left: Millis,
}

/// Decides whether a request whose attempt failed is retried.
///
/// It only decides about requests that may be sent again.
pub trait RetryPolicy: Debug + Send {
    /// Records that a first attempt was made, with the current [`RetryContext::retry_percent`].
    fn record_first_attempt(&mut self, retry_percent: u64);

    /// Returns the delay before the next attempt; `None` if the request must not be retried.
    fn next_delay(&mut self, context: RetryContext, rng: &mut Pcg64Mcg) -> Option<Millis>;
}

/// The cost of one retry in budget units; a first attempt adds `retry_percent` units.
const RETRY_COST: u64 = 100;

/// The most retries that the budget accumulates.
const MAX_SAVED_RETRIES: u64 = 50;

/// The upper limit of the delay before the first retry; it doubles with each further one.
const INITIAL_BACKOFF: Millis = Millis(10);

/// The longest delay before a retry.
const MAX_BACKOFF: Millis = Millis(1_000);

/// Retries within a budget that first attempts fill, after an exponential backoff with jitter.
#[derive(Debug, Clone, Copy)]
pub struct BudgetedRetry {
    budget: u64,
}

impl Default for BudgetedRetry {
    fn default() -> Self {
        const INITIAL_RETRIES: u64 = 10;
        Self { budget: INITIAL_RETRIES * RETRY_COST }
    }
}

impl RetryPolicy for BudgetedRetry {
    fn record_first_attempt(&mut self, retry_percent: u64) {
        self.budget = (self.budget + retry_percent).min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    fn next_delay(&mut self, context: RetryContext, rng: &mut Pcg64Mcg) -> Option<Millis> {
        if context.attempts >= context.max_attempts || self.budget < RETRY_COST {
            return None;
        }
        let doubled = INITIAL_BACKOFF.0 << context.attempts.saturating_sub(1).min(10);
        let ceiling = doubled.min(MAX_BACKOFF.0);
        let delay = Millis(rng.random_range(ceiling / 2..=ceiling));
        if delay >= context.time_left {
            return None;
        }
        self.budget -= RETRY_COST;
        Some(delay)
    }
}
