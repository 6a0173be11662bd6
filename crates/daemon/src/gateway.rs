//! The shell round a gateway: a deployment's hosts that find each other.
//!
//! One control thread owns the [`Gateway`](chestnutdrift_core::gateway::Gateway) and waits on one
//! channel with a deadline ([`control`]). One traffic thread owns all sockets: callers and operators
//! ([`front`]), upstreams ([`pool`], [`forward`], [`items`], [`orders`]) and links to other hosts.
//! One more owns the disk of a store host, and one writes the log. What is spoken on the sockets is
//! behind the [`protocol`] trait: this module knows HTTP, and no name of any message.

pub mod control;
pub mod events;
pub mod forward;
pub mod front;
pub mod items;
pub mod metrics;
pub mod orders;
pub mod pool;
pub mod protocol;
pub mod settings;
mod start;

pub use protocol::{Listener, OrderReport, ParsedRequest, Protocol, ResponseClass};
pub use settings::GatewaySettingsFile;
pub use start::run;
