//! The trait of queue orders.

use std::fmt::Debug;

use crate::time::Millis;

/// The oldest request of a class that can be dispatched next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueHead {
    /// When it arrived, on the monotonic clock.
    pub arrived: Millis,
}

/// Chooses between interactive and rollout work.
pub trait QueueOrder: Debug + Send {
    /// Returns whether rollout work is dispatched next; `share` is its guaranteed share in percent.
    fn rollout_next(
        &mut self,
        interactive: Option<QueueHead>,
        rollout: Option<QueueHead>,
        share: u64,
    ) -> bool;
}
