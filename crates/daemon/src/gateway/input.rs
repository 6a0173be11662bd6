//! The queue of the control thread's inputs, bounded in inputs and in bytes.

use std::time::Instant;

use chestnutdrift_core::directory::ItemSpec;
use chestnutdrift_core::gateway::{Call, Event, IncomingCall};
use chestnutdrift_core::{ErrorKind, Millis, Problem};
use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use tokio::sync::mpsc;

use super::control::Directive;
use crate::byte_budget::ByteReservation;
use crate::message_budget::MessageBudget;

/// The capacity of the control thread's queue of inputs.
const MAX_QUEUED_INPUTS: usize = 8_192;

/// The share of the memory limit, in percent, that waiting inputs may take.
const QUEUED_PERCENT: u64 = 10;

/// An input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the gateway.
    Event(Event),
    /// A call from a caller, an operator or an upstream, with the sender for its directives.
    Open(IncomingCall, mpsc::Sender<Directive>),
    /// The disk failed, so no record can be made durable any more; the detail says how.
    DiskFailed(Box<str>),
}

impl Input {
    /// Returns the problem for a call that is rejected because the queue of inputs is full.
    #[must_use]
    pub fn queue_full() -> Problem {
        Problem::not_run(ErrorKind::Overloaded, "the host has too many events waiting")
            .retry_after(Millis(1_000))
    }

    /// Returns the approximate size of the contents, in bytes; zero if there are none.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Event(Event::Received(envelope)) => envelope.bytes(),
            Self::Event(Event::JobRead { job: Ok(job), .. }) => {
                job.items.iter().map(ItemSpec::bytes).sum()
            }
            Self::Event(Event::ItemProgress(runs)) => {
                runs.iter().map(|(_, text)| text.text.len()).sum()
            }
            Self::Open(call, _) => match &call.call {
                Call::PutRouting(routing) => routing.bytes(),
                _ => 0,
            },
            _ => 0,
        }
    }
}

/// An input with the time at which it was queued.
#[derive(Debug)]
pub struct QueuedInput {
    /// The input.
    pub input: Input,
    /// When it was queued.
    pub queued_at: Instant,
    /// The bytes that are reserved for it; `None` if it has no contents or may not be refused.
    pub reserved: Option<Box<ByteReservation>>,
}

impl From<Input> for QueuedInput {
    fn from(input: Input) -> Self {
        Self { input, queued_at: Instant::now(), reserved: None }
    }
}

/// An input that was not queued.
#[derive(Debug)]
pub enum NotQueued {
    /// The queue is full, or the bytes are not left; the input is returned.
    Full(Box<Input>),
    /// The control thread has ended.
    Ended,
}

/// The sending end of the queue.
#[derive(Debug, Clone)]
pub struct InputSender {
    tx: Sender<QueuedInput>,
    budget: MessageBudget,
}

impl InputSender {
    /// Sets the memory of the process, in bytes, of which the inputs may take a share; the default
    /// is no limit.
    #[must_use]
    pub fn memory_limit(mut self, limit: Option<u64>) -> Self {
        self.budget = MessageBudget::new(limit, QUEUED_PERCENT);
        self
    }

    /// Returns the approximate size of the waiting inputs, in bytes.
    #[must_use]
    pub fn queued_bytes(&self) -> usize {
        self.budget.used()
    }

    /// Queues an input, whatever its size; waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub fn send(&self, input: Input) -> Result<(), NotQueued> {
        self.tx.send(input.into()).map_err(|_| NotQueued::Ended)
    }

    /// Queues an input without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full, the bytes are not left, or the control thread has ended.
    pub fn try_send(&self, input: Input) -> Result<(), NotQueued> {
        let bytes = input.bytes();
        let mut queued = QueuedInput::from(input);
        if bytes > 0 {
            queued.reserved = self.budget.try_reserve(bytes).map(Box::new);
            if queued.reserved.is_none() {
                return Err(NotQueued::Full(Box::new(queued.input)));
            }
        }
        self.tx.try_send(queued).map_err(|error| match error {
            TrySendError::Full(queued) => NotQueued::Full(Box::new(queued.input)),
            TrySendError::Disconnected(_) => NotQueued::Ended,
        })
    }

    /// Returns the sender of inputs that are already stamped.
    #[must_use]
    pub fn raw(&self) -> &Sender<QueuedInput> {
        &self.tx
    }
}

/// Creates the queue.
#[must_use]
pub fn queue() -> (InputSender, Receiver<QueuedInput>) {
    let (tx, rx) = channel::bounded(MAX_QUEUED_INPUTS);
    (InputSender { tx, budget: MessageBudget::new(None, QUEUED_PERCENT) }, rx)
}
