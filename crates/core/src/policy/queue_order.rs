//! The border of queue order.

use std::fmt::Debug;

use crate::time::Millis;

/// The oldest request of a class that could go next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueHead {
    /// When it arrived.
    pub arrived: Millis,
}

/// Chooses between interactive and rollout work.
pub trait QueueOrder: Debug + Send {
    /// Returns whether rollout work goes next; `share` is its guaranteed share in percent.
    fn rollout_next(
        &mut self,
        interactive: Option<QueueHead>,
        rollout: Option<QueueHead>,
        share: u64,
    ) -> bool;
}
