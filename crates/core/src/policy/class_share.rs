//! Queue orders: by class with a guaranteed share, and by arrival time as a baseline.

use crate::policy::{QueueHead, QueueOrder};

/// The credit that one rollout dispatch costs.
const DISPATCH_COST: u64 = 100;

/// Dispatches interactive work first, but guarantees rollout work its share of the dispatches.
///
/// Whenever both classes have a request waiting, the share in percent is added to a credit, and a
/// rollout dispatch costs 100.
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
        self.credit += share.min(DISPATCH_COST);
        if self.credit < DISPATCH_COST {
            return false;
        }
        self.credit -= DISPATCH_COST;
        true
    }
}

/// Dispatches whichever request arrived first.
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
