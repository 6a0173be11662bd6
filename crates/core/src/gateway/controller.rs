//! Controllers of a gateway; each performs one task by reading and writing the board.
//!
//! [`rounds`] returns the controllers of a role in execution order. For each event they run in
//! rounds, until none of them requests another round. [`closing`] returns the controllers that run
//! once afterwards. Controllers do not run each other; they communicate through the board.

mod access;
mod agreement;
mod calls;
mod candidates;
mod capacity;
mod contacts;
mod decisions;
mod facts;
mod forwarding;
mod items;
mod jobs;
mod leaves;
mod lifecycle;
mod limits;
mod loads;
mod membership;
mod memory;
mod outbox;
mod quotas;
mod reach;
mod registry;
mod relays;
mod reminders;
mod rewards;
mod routing;
mod store_requests;
mod streams;
mod suspects;
mod views;

use std::fmt::Debug;

use super::board::Board;
use super::event::Event;
use super::lease::holder::Holder;
use super::policy::Policies;
use super::provider::calls::ProviderCalls;
use super::scaling::Scaling;
use super::settings::Role;
use super::usage::recording::Recording;
use super::usage::settlement::Settlement;
use crate::time::Millis;

/// A task of a gateway, performed for each event.
pub trait Controller: Debug + Send {
    /// Handles the event, if any, and updates the board.
    ///
    /// `event` is `None` after the first round, and for the controllers of [`closing`].
    fn run(&mut self, board: &mut Board, event: Option<&Event>);

    /// Returns the time by which the controller must run again, on the monotonic clock.
    ///
    /// The default, [`Millis::MAX`], requests no run before the next event.
    fn next_deadline(&self, _board: &Board) -> Millis {
        Millis::MAX
    }
}

/// Returns the controllers of `role` that run in rounds, in execution order.
#[must_use]
pub fn rounds(role: Role, policies: Policies) -> Vec<Box<dyn Controller>> {
    let Policies { choice, placement, scaling } = policies;
    let mut controllers: Vec<Box<dyn Controller>> =
        vec![Box::new(memory::Memory), Box::new(contacts::Contacts::default())];
    controllers.push(Box::new(membership::Membership));
    if role == Role::Store {
        controllers.push(Box::new(agreement::Agreement));
        controllers.push(Box::new(Holder::default()));
    }
    controllers.push(Box::new(calls::Calls));
    controllers.push(Box::new(registry::Registry::default()));
    controllers.push(Box::new(capacity::Capacity::default()));
    match role {
        Role::Entry => controllers.push(Box::new(reminders::Reminders::default())),
        Role::Store => {
            controllers.push(Box::new(facts::Facts::default()));
            controllers.push(Box::new(leaves::Leaves::default()));
        }
    }
    controllers.push(Box::new(limits::Limits));
    controllers.push(Box::new(routing::RoutingInForce));
    if role == Role::Store {
        controllers.push(Box::new(quotas::Quotas::default()));
    }
    match role {
        Role::Entry => {
            controllers.push(Box::new(Recording::default()));
            controllers.push(Box::new(reach::ReachTracking));
            controllers.push(Box::new(forwarding::Forwarding::new(choice)));
        }
        Role::Store => {
            controllers.push(Box::new(relays::Relays));
            controllers.push(Box::new(rewards::Rewards::new(choice)));
        }
    }
    if role == Role::Entry {
        controllers.push(Box::new(quotas::Quotas::default()));
    }
    controllers.push(Box::new(streams::Streams::default()));
    controllers.push(Box::new(suspects::Suspects::default()));
    controllers.push(Box::new(store_requests::StoreRequests));
    if role == Role::Store {
        controllers.push(Box::new(decisions::Decisions));
        controllers.push(Box::new(jobs::Jobs::default()));
        controllers.push(Box::new(items::Items::new(placement)));
        controllers.push(Box::new(loads::Loads::default()));
        controllers.push(Box::new(Settlement::default()));
        controllers.push(Box::new(Scaling::new(scaling)));
        controllers.push(Box::new(ProviderCalls::default()));
        controllers.push(Box::new(views::Views::default()));
    }
    controllers.push(Box::new(lifecycle::Lifecycle));
    controllers
}

/// Returns the controllers that run once after the last round, in execution order.
#[must_use]
pub fn closing() -> Vec<Box<dyn Controller>> {
    vec![Box::new(outbox::OutboxFlush)]
}
