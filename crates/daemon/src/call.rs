//! Calls to upstreams and other hosts.
//!
//! Each attempt has a thread of its own while it runs; the core limits how many run at a time.

mod adaptor;
mod clients;
mod engine;
mod engine_commands;
mod host;
mod plain;
mod pool;
mod transport;

pub use adaptor::{Adaptor, CallContext};
pub use clients::HttpClients;
pub use engine::EngineAdaptor;
pub use engine_commands::{EngineCommandPool, OrderJob};
pub use host::HostAdaptor;
pub use plain::PlainAdaptor;
pub use pool::{Adaptors, CallJob, CallPool};
