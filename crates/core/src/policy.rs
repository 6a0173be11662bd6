//! Policies: the exchangeable behaviour of the controllers, as trait objects.

mod class_share;
mod placement;
mod power_of_two;
mod queue_order;
mod retry;
mod round_robin;

pub use class_share::{ArrivalOrder, ClassShare};
pub use placement::{Candidate, Placement};
pub use power_of_two::PowerOfTwo;
pub use queue_order::{QueueHead, QueueOrder};
pub use retry::{BudgetedRetry, RetryContext, RetryPolicy};
pub use round_robin::RoundRobin;

/// The policies of one core.
#[derive(Debug)]
pub struct Policies {
    /// Chooses the upstream for a request.
    pub placement: Box<dyn Placement>,
    /// Chooses whether interactive or rollout work is dispatched next.
    pub queue_order: Box<dyn QueueOrder>,
    /// Decides whether and when a failed request is retried.
    pub retry: Box<dyn RetryPolicy>,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            placement: Box::new(PowerOfTwo),
            queue_order: Box::new(ClassShare::default()),
            retry: Box::new(BudgetedRetry::default()),
        }
    }
}
