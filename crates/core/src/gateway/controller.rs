//! The controllers of a gateway: each reads and writes the board and has one task.
//!
//! [`rounds`] lists those that a role needs, in the order in which they run for each event. The
//! rounds repeat until no controller requests another one. No controller calls another.

mod agreement;
mod asks;
mod calls;
mod decisions;
mod forwarding;
mod items;
mod jobs;
mod lifecycle;
mod loads;
mod membership;
mod outbox;
mod registry;
mod routing;
mod views;

use std::fmt::Debug;

use super::board::Board;
use super::event::Event;
use super::policy::Policies;
use super::settings::Role;
use crate::time::Millis;

/// A controller with one task, which it does through the board.
pub trait Controller: Debug + Send {
    /// Reads the event, which is `None` after the first round, and the board, and writes the board.
    fn run(&mut self, board: &mut Board, event: Option<&Event>);

    /// Returns the time on the monotonic clock by which the controller must run again.
    fn next_deadline(&self, _board: &Board) -> Millis {
        Millis::MAX
    }
}

/// Returns the controllers of a role that run in rounds, in order.
#[must_use]
pub fn rounds(role: Role, policies: Policies) -> Vec<Box<dyn Controller>> {
    let Policies { choice, placement } = policies;
    let mut list: Vec<Box<dyn Controller>> = vec![Box::new(membership::Membership)];
    if role == Role::Store {
        list.push(Box::new(agreement::Agreement));
    }
    list.push(Box::new(calls::Calls));
    list.push(Box::new(registry::Registry::default()));
    list.push(Box::new(routing::RoutingInForce));
    if role == Role::Entry {
        list.push(Box::new(forwarding::Forwarding::new(choice)));
    }
    list.push(Box::new(asks::Asks));
    if role == Role::Store {
        list.push(Box::new(decisions::Decisions));
        list.push(Box::new(jobs::Jobs::default()));
        list.push(Box::new(items::Items::new(placement)));
        list.push(Box::new(loads::Loads::default()));
        list.push(Box::new(views::Views));
    }
    list.push(Box::new(lifecycle::Lifecycle));
    list
}

/// Returns the controllers that run once after the rounds, in order.
#[must_use]
pub fn closing() -> Vec<Box<dyn Controller>> {
    vec![Box::new(outbox::OutboxFlush)]
}
