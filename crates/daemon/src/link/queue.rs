//! The queues of the links that this host opens, bounded in messages and in bytes.

use chestnutdrift_core::message::{Envelope, Message};
use tokio::sync::mpsc::{self, Receiver, Sender};

use crate::byte_budget::{ByteBudget, ByteReservation};
use crate::message_budget::{MessageBudget, SMALL_MESSAGE_BYTES};

/// The most messages that may wait for a link.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// The share of the memory limit, in percent, that the messages of groups may take.
const GROUP_PERCENT: u64 = 5;

/// The share of the memory limit, in percent, that the other messages may take.
const OTHER_PERCENT: u64 = 5;

/// The budgets of the messages that wait for all links.
///
/// Groups have a budget of their own: answers for slow hosts must not hold up the log.
#[derive(Debug)]
pub(super) struct LinkBudgets {
    group: MessageBudget,
    other: MessageBudget,
}

/// The sending end of the queue of one link.
#[derive(Debug)]
pub(super) struct LinkQueue {
    tx: Sender<QueuedEnvelope>,
    /// The large messages of groups that wait for this link.
    large_group: ByteBudget,
    /// The other large messages that wait for this link.
    large_other: ByteBudget,
}

/// A message that waits for its link, with the bytes that are reserved for it until it is dropped.
#[derive(Debug)]
pub(super) struct QueuedEnvelope {
    /// The message.
    pub(super) envelope: Envelope,
    /// The reservation.
    pub(super) reserved: QueueReservation,
}

/// The bytes that are reserved for a message.
#[derive(Debug)]
pub(super) struct QueueReservation {
    _of_all_links: ByteReservation,
    _of_link: Option<ByteReservation>,
}

/// The reason why a message was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueError {
    /// The queue has its most messages, or its link has ended.
    Full,
    /// The bytes are not left.
    NoMemory,
}

/// Creates the queue of a link.
pub(super) fn queue() -> (LinkQueue, Receiver<QueuedEnvelope>) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let unlimited = || ByteBudget::new(usize::MAX);
    (LinkQueue { tx, large_group: unlimited(), large_other: unlimited() }, rx)
}

impl LinkBudgets {
    /// Creates the budgets of a process with a memory limit in bytes, if it is limited.
    pub(super) fn new(memory_limit: Option<u64>) -> Self {
        Self {
            group: MessageBudget::new(memory_limit, GROUP_PERCENT),
            other: MessageBudget::new(memory_limit, OTHER_PERCENT),
        }
    }

    /// Returns the bytes of the messages that wait.
    pub(super) fn used(&self) -> usize {
        self.group.used() + self.other.used()
    }
}

impl LinkQueue {
    /// Queues a message of `bytes` bytes without waiting.
    pub(super) fn try_send(
        &self,
        envelope: Envelope,
        bytes: usize,
        budgets: &LinkBudgets,
    ) -> Result<(), QueueError> {
        let (budget, large) = match envelope.message {
            Message::Group(_) => (&budgets.group, &self.large_group),
            _ => (&budgets.other, &self.large_other),
        };
        let reserved = reserve(bytes, budget, large).ok_or(QueueError::NoMemory)?;
        let queued = QueuedEnvelope { envelope, reserved };
        self.tx.try_send(queued).map_err(|_| QueueError::Full)
    }
}

/// Reserves the bytes of a message.
///
/// The large messages of one link may take as much as is left, so that a link that does not advance
/// leaves room for the others.
fn reserve(bytes: usize, budget: &MessageBudget, large: &ByteBudget) -> Option<QueueReservation> {
    let is_large = bytes > SMALL_MESSAGE_BYTES;
    let queued = large.used();
    let must_share = is_large && queued > 0 && !budget.is_huge(bytes);
    if must_share && queued + bytes > budget.large_left() {
        return None;
    }
    let of_all_links = budget.try_reserve(bytes)?;
    let of_link = if is_large { large.try_reserve(bytes) } else { None };
    Some(QueueReservation { _of_all_links: of_all_links, _of_link: of_link })
}
