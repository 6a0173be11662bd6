//! The interface between the call threads and the protocols of upstreams and hosts.

use std::fmt::Debug;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chestnutdrift_core::action::Dispatch;
use chestnutdrift_core::event::AttemptEnd;
use chestnutdrift_core::{AttemptKey, Event};
use crossbeam::channel::Sender;

use crate::control::Input;
use crate::exchange::Exchange;

/// Runs attempts in the protocol of one kind of target.
pub trait Adaptor: Debug + Send + Sync {
    /// Runs an attempt to its end and writes the answer to the exchange as it arrives.
    fn run(&self, cx: &CallContext<'_>) -> AttemptEnd;
}

/// The attempt that an adaptor runs, with its exchange and the channel for its events.
#[derive(Debug)]
pub struct CallContext<'a> {
    /// The attempt.
    pub dispatch: &'a Dispatch,
    /// The exchange that the attempt answers; `None` for a sample.
    pub exchange: Option<&'a Exchange>,
    /// Set once the attempt has been cancelled.
    pub cancelled: &'a AtomicBool,
    /// The channel to the control thread.
    pub inputs: &'a Sender<Input>,
}

impl CallContext<'_> {
    /// Returns the key of the attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptKey {
        self.dispatch.attempt
    }

    /// Returns how long the attempt may take, at least 1 ms.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.dispatch.timeout.0.max(1))
    }

    /// Returns whether the attempt has been cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Reports to the core how many tokens have been sent to the caller.
    pub fn report_progress(&self, tokens: u32) {
        let event = Event::Progress { attempt: self.attempt(), tokens };
        let _ = self.inputs.send(Input::Event(event));
    }
}
