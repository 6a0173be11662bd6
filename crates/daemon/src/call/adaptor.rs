//! The border between calls and the protocols of those who are called.

use std::fmt::Debug;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chestnutdrift_core::action::Dispatch;
use chestnutdrift_core::event::AttemptEnd;
use chestnutdrift_core::{AttemptKey, Event};
use crossbeam::channel::Sender;

use crate::control::Input;
use crate::exchange::Exchange;

/// Runs attempts in the protocol of one kind of upstream.
pub trait Adaptor: Debug + Send + Sync {
    /// Runs an attempt to its end; the answer's bytes go to the exchange as they come.
    fn run(&self, cx: &CallContext<'_>) -> AttemptEnd;
}

/// What an adaptor is told of an attempt.
#[derive(Debug)]
pub struct CallContext<'a> {
    /// The attempt.
    pub dispatch: &'a Dispatch,
    /// The exchange, where the attempt is for one.
    pub exchange: Option<&'a Exchange>,
    /// Set when the attempt has been given up.
    pub cancelled: &'a AtomicBool,
    /// The way to the control thread.
    pub inputs: &'a Sender<Input>,
}

impl CallContext<'_> {
    /// Returns the attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptKey {
        self.dispatch.attempt
    }

    /// Returns how long the attempt may take.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.dispatch.timeout.0.max(1))
    }

    /// Tells whether the attempt has been given up.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Reports the tokens that the caller has.
    pub fn report_progress(&self, tokens: u32) {
        let event = Event::Progress { attempt: self.attempt(), tokens };
        let _ = self.inputs.send(Input::Event(event));
    }
}
