//! Policies: behaviour that varies, as trait objects at the border of the controllers.

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
    /// Chooses the upstream of a request.
    pub placement: Box<dyn Placement>,
    /// Chooses whether interactive or rollout work goes next.
    pub queue_order: Box<dyn QueueOrder>,
    /// Decides whether a failed request is tried again, and when.
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
