//! Queue orders: by class with a guaranteed share, and by arrival as a baseline.

use crate::policy::{QueueHead, QueueOrder};

/// One whole in percent.
const WHOLE: u64 = 100;

/// Serves interactive work first, but gives rollout work its share of the dispatches.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClassShare {
    credit: u64,
}

impl QueueOrder for ClassShare {
    fn rollout_next(
        &mut self,
        interactive: Option<QueueHead>,
        rollout: Option<QueueHead>,
        share: u64,
    ) -> bool {
        match (interactive, rollout) {
            (Some(_), Some(_)) => {}
            (None, Some(_)) => return true,
            _ => return false,
        }
        self.credit += share.min(WHOLE);
        if self.credit < WHOLE {
            return false;
        }
        self.credit -= WHOLE;
        true
    }
}

/// Serves whichever came first.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalOrder;

impl QueueOrder for ArrivalOrder {
    fn rollout_next(
        &mut self,
        interactive: Option<QueueHead>,
        rollout: Option<QueueHead>,
        _share: u64,
    ) -> bool {
        match (interactive, rollout) {
            (Some(interactive), Some(rollout)) => rollout.arrived < interactive.arrived,
            (None, Some(_)) => true,
            _ => false,
        }
    }
}
