//! The decisions of a deployment whose hosts find each other.
//!
//! Today's [`Core`](crate::Core) serves a fleet whose hosts are listed in every host's settings. A
//! [`Gateway`] needs no such list: it knows a few seeds, learns the other hosts from them, routes
//! requests by the operators' configuration, and runs batch jobs. It has the same shape: a
//! [`Board`] of arenas, controllers that read and write it, [`Event`]s in and [`Action`]s out.
//!
//! A gateway has one of two roles. An [`Role::Entry`] takes callers' requests and holds nothing
//! that must survive. A [`Role::Store`] has a disk, votes in the directory group, takes what
//! operators and upstreams say, and, where it leads, runs the items of batch jobs and orders weight
//! versions.
//!
//! ```
//! use chestnutdrift_core::gateway::{Event, Gateway, GatewaySettings, Role};
//! use chestnutdrift_core::{HostId, Now};
//!
//! let cfg = GatewaySettings::new(HostId(1), "entry-1", "zone-a", Role::Entry).seeds([HostId(2)]);
//! let mut gateway = Gateway::new(cfg, Now::default());
//! let actions = gateway.handle(Now::default(), &Event::Tick);
//! assert!(!actions.is_empty(), "it says hello to its seed");
//! ```

pub mod action;
pub mod board;
pub mod controller;
pub mod event;
pub mod message;
pub mod policy;
pub mod settings;

pub use action::{
    Action, Answer, Counters, Forward, HostView, Order, ResultsEntry, ResultsPage, RunItem,
    UpstreamAddress, UpstreamView,
};
pub use board::Board;
pub use controller::Controller;
pub use event::{
    Announcement, Call, Event, ForwardEnd, IncomingCall, ItemEnd, ItemRunReport, JobBody, OrderEnd,
    Query,
};
pub use message::{GatewayMessage, StoreReply, StoreRequest};
pub use policy::Policies;
pub use settings::{DeploymentTimes, GatewaySettings, Role};

use crate::time::{Millis, Now};

/// The most rounds for one event; reaching it means that two controllers keep each other busy.
const MOST_ROUNDS: usize = 32;

/// All decisions of one host.
#[derive(Debug)]
pub struct Gateway {
    board: Board,
    rounds: Vec<Box<dyn Controller>>,
    closing: Vec<Box<dyn Controller>>,
}

impl Gateway {
    /// Makes the decisions of a host, with the default policies.
    #[must_use]
    pub fn new(cfg: GatewaySettings, now: Now) -> Self {
        Self::with_policies(cfg, now, Policies::default())
    }

    /// Makes the decisions of a host, with policies of one's own.
    #[must_use]
    pub fn with_policies(cfg: GatewaySettings, now: Now, policies: Policies) -> Self {
        let rounds = controller::rounds(cfg.role, policies);
        Self { board: Board::new(cfg, now), rounds, closing: controller::closing() }
    }

    /// Takes in one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: &Event) -> Vec<Action> {
        self.board.now = now;
        if let Event::Received(envelope) = event {
            self.board.clock.observe(envelope.stamp);
        }
        let mut input = Some(event);
        for _ in 0..MOST_ROUNDS {
            self.board.another_round = false;
            for controller in &mut self.rounds {
                controller.run(&mut self.board, input);
            }
            input = None;
            if !self.board.another_round {
                break;
            }
        }
        for controller in &mut self.closing {
            controller.run(&mut self.board, None);
        }
        std::mem::take(&mut self.board.actions)
    }

    /// Returns when the gateway wants to be told the time at the latest, on the monotonic clock.
    #[must_use]
    pub fn next_deadline(&self) -> Millis {
        let deadlines = self.rounds.iter().map(|controller| controller.next_deadline(&self.board));
        deadlines.min().unwrap_or(Millis::MAX)
    }

    /// Returns the board to be read.
    #[must_use]
    pub fn board(&self) -> &Board {
        &self.board
    }
}
