//! Runs a gateway, a host of a deployment whose hosts discover each other.
//!
//! The control thread owns the [`Gateway`](chestnutdrift_core::gateway::Gateway) and waits on one
//! channel with a deadline ([`control`]). One traffic thread owns all sockets: those of callers and
//! operators ([`server`]), of upstreams ([`pool`], [`forward`], [`items`], [`rewards`], [`orders`]), of the
//! infrastructure provider ([`provider`]), of links to other hosts, and of the connections that are relayed
//! between hosts (`relay`). A store host has a thread for its disk, and every host has one that writes the
//! log. The format of messages is behind the trait in [`protocol`]: this module depends on HTTP,
//! but on no particular message.

pub mod bodies;
mod connection_limits;
pub mod control;
mod deadline;
pub mod events;
pub mod forward;
pub mod input;
pub mod items;
mod late_end;
pub mod load;
pub mod metrics;
pub mod orders;
pub mod pool;
pub mod protocol;
pub mod provider;
mod relay;
pub mod rewards;
pub mod server;
pub mod settings;
mod start;
mod statements;
pub mod stream;

pub use protocol::{
    LimitStatement, Listener, OrderReport, ParsedRequest, Protocol, ResponseClass, Statements,
};
pub use settings::GatewaySettingsFile;
pub use start::run;
