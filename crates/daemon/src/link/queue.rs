//! The queues of the links that this host opens, bounded in messages and in bytes.

use chestnutdrift_core::message::Envelope;
use tokio::sync::mpsc::{self, Receiver, Sender};

use crate::byte_budget::{ByteBudget, ByteReservation};
use crate::message_budget::{MessageBudget, SMALL_MESSAGE_BYTES};

/// The most messages that may wait for a link.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// The sending end of the queue of one link.
#[derive(Debug)]
pub(super) struct LinkQueue {
    tx: Sender<QueuedEnvelope>,
    /// The large messages of this link.
    large: ByteBudget,
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
    (LinkQueue { tx, large: ByteBudget::new(usize::MAX) }, rx)
}

impl LinkQueue {
    /// Queues a message of `bytes` bytes without waiting.
    pub(super) fn try_send(
        &self,
        envelope: Envelope,
        bytes: usize,
        budget: &MessageBudget,
    ) -> Result<(), QueueError> {
        let reserved = self.reserve(bytes, budget).ok_or(QueueError::NoMemory)?;
        let queued = QueuedEnvelope { envelope, reserved };
        self.tx.try_send(queued).map_err(|_| QueueError::Full)
    }

    /// Reserves the bytes of a message.
    ///
    /// The large messages of one link may take as much as is left, so that a link that does not
    /// advance leaves room for the others.
    fn reserve(&self, bytes: usize, budget: &MessageBudget) -> Option<QueueReservation> {
        let is_large = bytes > SMALL_MESSAGE_BYTES;
        let queued = self.large.used();
        let must_share = is_large && queued > 0 && !budget.is_huge(bytes);
        if must_share && queued + bytes > budget.large_left() {
            return None;
        }
        let of_all_links = budget.try_reserve(bytes)?;
        let of_link = if is_large { self.large.try_reserve(bytes) } else { None };
        Some(QueueReservation { _of_all_links: of_all_links, _of_link: of_link })
    }
}
