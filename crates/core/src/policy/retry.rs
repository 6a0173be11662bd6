//! Retries: the border, and a policy with a budget.

use std::fmt::Debug;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::time::Millis;

/// What a retry policy is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Attempts made so far.
    pub attempts: u32,
    /// The most attempts.
    pub max_attempts: u32,
    /// Retries as a share of first attempts, in percent.
    pub retry_percent: u64,
    /// The time left to the request.
    pub time_left: Millis,
}

/// Decides whether a request whose attempt failed is tried again.
///
/// It is only asked about requests that may be sent again.
pub trait RetryPolicy: Debug + Send {
    /// Takes in that a first attempt was made.
    fn record_first_attempt(&mut self, percent: u64);

    /// Returns how long to wait before the next attempt, or none where there is to be none.
    fn next_delay(&mut self, question: RetryContext, rng: &mut Pcg64Mcg) -> Option<Millis>;
}

/// The cost of one retry in the budget's units.
const RETRY_COST: u64 = 100;

/// The most retries that the budget saves up.
const SAVED_RETRIES: u64 = 50;

/// The wait before the first retry; it doubles with each further one.
const FIRST_BACKOFF: Millis = Millis(10);

/// The longest wait before a retry.
const LONGEST_BACKOFF: Millis = Millis(1_000);

/// Retries within a budget that first attempts fill, after a jittered backoff.
#[derive(Debug, Clone, Copy)]
pub struct BudgetedRetry {
    budget: u64,
}

impl Default for BudgetedRetry {
    fn default() -> Self {
        const AT_START: u64 = 10;
        Self { budget: AT_START * RETRY_COST }
    }
}

impl RetryPolicy for BudgetedRetry {
    fn record_first_attempt(&mut self, percent: u64) {
        self.budget = (self.budget + percent).min(SAVED_RETRIES * RETRY_COST);
    }

    fn next_delay(&mut self, question: RetryContext, rng: &mut Pcg64Mcg) -> Option<Millis> {
        if question.attempts >= question.max_attempts || self.budget < RETRY_COST {
            return None;
        }
        let doubled = FIRST_BACKOFF.0 << question.attempts.saturating_sub(1).min(10);
        let ceiling = doubled.min(LONGEST_BACKOFF.0);
        let wait = Millis(rng.random_range(ceiling / 2..=ceiling));
        if wait >= question.time_left {
            return None;
        }
        self.budget -= RETRY_COST;
        Some(wait)
    }
}
