//! The decisions of a host in a deployment whose hosts discover each other.
//!
//! A [`Core`](crate::Core) serves a fleet whose hosts are listed in every host's settings. A
//! [`Gateway`] needs no such list: it starts from a few seeds, learns the other hosts from them,
//! routes requests by the operators' routing configuration, and runs batch jobs. It has the same
//! shape as a core: a [`Board`] of arenas, controllers that read and write it, [`Event`]s in and
//! [`Action`]s out. It does no I/O: the shell around it reports events and carries out the actions.
//!
//! A gateway has one of two roles. A [`Role::Entry`] host takes callers' requests and keeps no
//! durable state. A [`Role::Store`] host has a disk, can vote in the directory group, and takes
//! operators' requests and upstreams' announcements. The store host that leads the directory group
//! also runs the items of batch jobs and orders upstreams to load weight versions.
//!
//! ```
//! use chestnutdrift_core::gateway::{Event, Gateway, GatewaySettings, Role};
//! use chestnutdrift_core::{HostId, Now};
//!
//! let cfg = GatewaySettings::new(HostId(1), "entry-1", "zone-a", Role::Entry).seeds([HostId(2)]);
//! let mut gateway = Gateway::new(cfg, Now::default());
//! let actions = gateway.handle(Now::default(), &Event::Tick);
//! assert!(!actions.is_empty(), "it sends a hello to its seed");
//! ```

pub mod action;
pub mod board;
pub mod capacity;
pub mod controller;
pub mod event;
pub mod facts;
pub mod lease;
pub mod message;
pub mod policy;
pub mod provider;
pub mod rate;
pub mod scaling;
pub mod settings;
pub mod usage;

pub use action::{
    Action, Answer, CapacityView, Counters, Forward, HostView, Order, ResultsEntry, ResultsPage,
    RewardRequest, RunItem, UpstreamAddress, UpstreamPath, UpstreamView, WorkspaceView,
};
pub use board::Board;
pub use capacity::CapacityEstimate;
pub use controller::Controller;
pub use event::{
    Announcement, Call, Event, ForwardEnd, IncomingCall, ItemEnd, ItemRunReport, JobBody,
    JobCaller, LateEnd, OrderEnd, Query,
};
pub use facts::{Fact, FactBatch};
pub use lease::HolderLease;
pub use message::{GatewayMessage, StoreReply, StoreRequest};
pub use policy::Policies;
pub use provider::{
    CountOrder, ProviderCall, ProviderCallEnd, ProviderQueue, ProviderRequest, ProviderSettings,
    Subject, UsageReport,
};
pub use rate::RequestRate;
pub use settings::{DeploymentTimes, GatewaySettings, Role, WorkspaceSettings};

use crate::time::{Millis, Now};

/// Limit on the rounds for one event; reaching it means that two controllers keep triggering each
/// other.
const MAX_ROUNDS: usize = 32;

/// Makes all decisions of one host.
#[derive(Debug)]
pub struct Gateway {
    board: Board,
    rounds: Vec<Box<dyn Controller>>,
    after_rounds: Vec<Box<dyn Controller>>,
}

impl Gateway {
    /// Creates the gateway of a host with the default policies.
    #[must_use]
    pub fn new(cfg: GatewaySettings, now: Now) -> Self {
        let policies = if cfg.learned_capacity { Policies::learned() } else { Policies::default() };
        Self::with_policies(cfg, now, policies)
    }

    /// Creates the gateway of a host with the given policies.
    #[must_use]
    pub fn with_policies(cfg: GatewaySettings, now: Now, policies: Policies) -> Self {
        let rounds = controller::rounds(cfg.role, policies);
        Self { board: Board::new(cfg, now), rounds, after_rounds: controller::closing() }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Now, event: &Event) -> Vec<Action> {
        self.board.now = now;
        if let Event::Received(envelope) = event {
            self.board.clock.observe(envelope.stamp);
        }
        let mut input = Some(event);
        for _ in 0..MAX_ROUNDS {
            self.board.another_round = false;
            for controller in &mut self.rounds {
                controller.run(&mut self.board, input);
            }
            input = None;
            if !self.board.another_round {
                break;
            }
        }
        for controller in &mut self.after_rounds {
            controller.run(&mut self.board, None);
        }
        std::mem::take(&mut self.board.actions)
    }

    /// Returns the time on the monotonic clock by which the gateway needs an [`Event::Tick`].
    ///
    /// An event that is handled earlier can change the deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Millis {
        let deadlines = self.rounds.iter().map(|controller| controller.next_deadline(&self.board));
        deadlines.min().unwrap_or(Millis::MAX)
    }

    /// Returns the board, for reading.
    #[must_use]
    pub fn board(&self) -> &Board {
        &self.board
    }
}
