//! The queue of the control thread's inputs.

use std::time::Instant;

use chestnutdrift_core::gateway::{Event, IncomingCall};
use chestnutdrift_core::{ErrorKind, Millis, Problem};
use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use tokio::sync::mpsc;

use super::control::Directive;

/// The capacity of the control thread's queue of inputs.
const MAX_QUEUED_INPUTS: usize = 8_192;

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
}

/// An input with the time at which it was queued.
#[derive(Debug)]
pub struct QueuedInput {
    /// The input.
    pub input: Input,
    /// When it was queued.
    pub queued_at: Instant,
}

impl From<Input> for QueuedInput {
    fn from(input: Input) -> Self {
        Self { input, queued_at: Instant::now() }
    }
}

/// An input that was not queued.
#[derive(Debug)]
pub enum NotQueued {
    /// The queue is full; the input is returned.
    Full(Box<Input>),
    /// The control thread has ended.
    Ended,
}

/// The sending end of the queue.
#[derive(Debug, Clone)]
pub struct InputSender {
    tx: Sender<QueuedInput>,
}

impl InputSender {
    /// Queues an input; waits while the queue is full.
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
    /// Returns an error if the queue is full or the control thread has ended.
    pub fn try_send(&self, input: Input) -> Result<(), NotQueued> {
        self.tx.try_send(input.into()).map_err(|error| match error {
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
    (InputSender { tx }, rx)
}
