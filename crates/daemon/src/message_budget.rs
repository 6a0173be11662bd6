//! Budgets for the messages that wait in a queue, in bytes.

use crate::byte_budget::{ByteBudget, ByteReservation};

/// The size in bytes up to which a message counts as small: heartbeats, votes and replies without
/// contents are smaller.
pub const SMALL_MESSAGE_BYTES: usize = 16 * 1024;

/// The share of a budget, in percent, that is left to small messages, so that they pass while larger
/// ones are refused.
const SMALL_PERCENT: usize = 25;

/// The share of the bytes for large messages, in percent, from which a message counts as huge.
const HUGE_PERCENT: usize = 25;

/// The size of a budget in a process without a memory limit, in bytes.
const DEFAULT_BYTES: usize = 64 * 1024 * 1024;

/// A maximum number of bytes that the messages of one or several queues may hold. Clones share it.
#[derive(Debug, Clone)]
pub struct MessageBudget {
    small: ByteBudget,
    large: ByteBudget,
    /// One huge message in addition to the large ones, which would else wait until they are few.
    huge: ByteBudget,
}

impl MessageBudget {
    /// Creates a budget of a share of the memory limit: `percent` of `memory_limit` bytes, or 64 MiB
    /// without a limit.
    #[must_use]
    pub fn new(memory_limit: Option<u64>, percent: u64) -> Self {
        let share = memory_limit.and_then(|limit| usize::try_from(limit / 100 * percent).ok());
        let max = share.unwrap_or(DEFAULT_BYTES);
        let small = max / 100 * SMALL_PERCENT;
        Self {
            small: ByteBudget::new(small),
            large: ByteBudget::new(max - small),
            huge: ByteBudget::new(0),
        }
    }

    /// Returns the bytes of the messages that wait.
    #[must_use]
    pub fn used(&self) -> usize {
        self.small.used() + self.large.used() + self.huge.used()
    }

    /// Returns the bytes that are left for large messages.
    #[must_use]
    pub fn large_left(&self) -> usize {
        self.large.max().saturating_sub(self.large.used())
    }

    /// Returns whether a message of this size passes whatever waits, unless another huge one does.
    #[must_use]
    pub fn is_huge(&self, bytes: usize) -> bool {
        bytes > self.large.max() / 100 * HUGE_PERCENT
    }

    /// Reserves the bytes of a message; returns `None` if they are not left.
    ///
    /// One huge message passes even if its bytes are not left: the log can't go on without the entry
    /// of a large job.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<ByteReservation> {
        if bytes <= SMALL_MESSAGE_BYTES {
            return self.small.try_reserve(bytes);
        }
        if let Some(reserved) = self.large.try_reserve(bytes) {
            return Some(reserved);
        }
        if self.is_huge(bytes) { self.huge.try_reserve_or_alone(bytes) } else { None }
    }
}
