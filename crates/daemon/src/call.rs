//! Calls to upstreams and other hosts, one thread each, within a bound that the core knows.

mod adaptor;
mod clients;
mod engine;
mod host;
mod plain;
mod pool;
mod side;

pub use adaptor::{Adaptor, CallContext};
pub use clients::HttpClients;
pub use engine::EngineAdaptor;
pub use host::HostAdaptor;
pub use plain::PlainAdaptor;
pub use pool::{Adaptors, CallJob, CallPool};
pub use side::{OrderJob, SidePool};
