//! The controllers: each reads and writes the board and does one job.
//!
//! [`rounds`] lists those that run for each event, in this order, again until none has left
//! anything for another. [`closing`] lists those that run once after the rounds. None of them
//! calls another.

mod admission;
mod agreement;
mod assignment;
mod attempts;
mod changes;
mod deadlines;
mod dispatch;
mod drain;
mod intents;
mod journal;
mod membership;
mod orders;
mod outbox;
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

/// One controller.
pub trait Controller: Debug + Send {
    /// Looks at the event, in the first round only, and at the board; then writes the board.
    fn run(&mut self, board: &mut Board, event: Option<&Event>);

    /// Returns when the controller wants to run again at the latest.
    fn next_deadline(&self, _board: &Board) -> Millis {
        Millis::MAX
    }
}

/// Returns the controllers that run in rounds, in order.
#[must_use]
pub fn rounds(policies: Policies) -> Vec<Box<dyn Controller>> {
    let Policies { placement, queue_order: order, retry } = policies;
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
        Box::new(dispatch::Dispatcher::new(placement, order)),
        Box::new(weights::Weights),
        Box::new(orders::Orders),
        Box::new(drain::Drain),
        Box::new(journal::Journal),
    ]
}

/// Returns the controllers that run once after the rounds, in order.
#[must_use]
pub fn closing() -> Vec<Box<dyn Controller>> {
    vec![Box::new(outbox::OutboxFlush)]
}
