//! The daemon: connects the core to sockets, the disk and the clock.
//!
//! One control thread owns the core and waits on one channel with a deadline ([`control`]).
//! Traffic threads own sockets and the disk: the HTTP server ([`http`]), calls to upstreams and
//! other hosts ([`call`]), links between hosts ([`link`]) and the journal on disk ([`disk`]). They
//! communicate with the control thread over bounded channels. Prompts, token streams and answers go
//! from socket to socket over an [`exchange`] and do not pass through the control thread.
//!
//! [`gateway`] does the same for a deployment whose hosts discover each other.

pub mod byte_budget;
pub mod call;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod disk;
pub mod drop_meter;
pub mod exchange;
pub mod gateway;
pub mod http;
pub mod link;
pub mod logging;
pub mod memory;
pub mod message_budget;
pub mod settings;
