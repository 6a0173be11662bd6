//! The items whose complete texts wait for their reward calls.

use std::collections::BTreeSet;

use crate::key::ItemKey;
use crate::time::Millis;

/// The queue of items that wait for a reward call, on the host that leads the directory group.
///
/// It holds open items only, whose number is bounded by the memory budget of jobs. An item that was
/// removed, or has another state by now, stays until it is due; the queue does not look at items.
#[derive(Debug, Clone, Default)]
pub struct RewardQueue {
    /// The time from which an item may be called, the due time of its job, and the item.
    items: BTreeSet<(Millis, Millis, ItemKey)>,
}

impl RewardQueue {
    /// Adds an item of a job that is due at `due`, to be called from `from` on.
    pub fn push(&mut self, item: ItemKey, due: Millis, from: Millis) {
        self.items.insert((from, due, item));
    }

    /// Removes and returns the items that may be called now, each with the due time of its job; those
    /// of the job that is due first are in front.
    pub fn take_callable(&mut self, now: Millis) -> Vec<(Millis, ItemKey)> {
        let mut callable = Vec::new();
        while let Some((from, due, item)) = self.items.first().copied() {
            if from > now {
                break;
            }
            self.items.pop_first();
            callable.push((due, item));
        }
        callable.sort_unstable();
        callable
    }

    /// Returns when the next item may be called; `None` if no item waits.
    #[must_use]
    pub fn next_call(&self) -> Option<Millis> {
        self.items.first().map(|(from, _, _)| *from)
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no item waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
