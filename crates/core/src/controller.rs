//! The controllers of a host: each handles one concern by reading and writing the board.
//!
//! For each event, the controllers of [`rounds`] run in order, and again until none has left work
//! for another. The controllers of [`closing`] then run once. Controllers never call each other.

mod admission;
mod agreement;
mod assignment;
mod attempts;
mod changes;
mod deadlines;
mod dispatch;
mod drain;
mod intents;
mod membership;
mod orders;
mod outbox;
mod proposals;
mod queries;
mod registry;
mod settings;
mod trainers;
mod weights;

use std::fmt::Debug;

use crate::board::Board;
use crate::event::Event;
use crate::policy::Policies;
use crate::time::Millis;

/// Handles one concern of a host on the board.
pub trait Controller: Debug + Send {
    /// Runs one round: reads the event and the board, and writes the board.
    ///
    /// `event` is `Some` only in the first round of an event, so that it is handled once.
    fn run(&mut self, board: &mut Board, event: Option<&Event>);

    /// Returns the time on the monotonic clock by which the controller must run again, or
    /// [`Millis::MAX`] when it only waits for events.
    fn next_deadline(&self, _board: &Board) -> Millis {
        Millis::MAX
    }
}

/// Returns the controllers that run in every round, in order.
#[must_use]
pub fn rounds(policies: Policies) -> Vec<Box<dyn Controller>> {
    let Policies { placement, queue_order, retry } = policies;
    vec![
        Box::new(membership::Membership),
        Box::new(agreement::Agreement),
        Box::new(settings::Settings),
        Box::new(registry::Registry),
        Box::new(attempts::Attempts::new(retry)),
        Box::new(intents::Intents),
        Box::new(trainers::Trainers),
        Box::new(assignment::Assignment),
        Box::new(changes::Changes),
        Box::new(queries::Queries),
        Box::new(admission::Admission),
        Box::new(deadlines::Deadlines),
        Box::new(dispatch::Dispatcher::new(placement, queue_order)),
        Box::new(weights::Weights),
        Box::new(orders::Orders),
        Box::new(drain::Drain),
        Box::new(proposals::Proposals),
    ]
}

/// Returns the controllers that run once after the rounds, in order.
#[must_use]
pub fn closing() -> Vec<Box<dyn Controller>> {
    vec![Box::new(outbox::OutboxFlush)]
}
