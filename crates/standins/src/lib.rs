//! Small stand-ins for the systems that chestnutdrift meets, and tools that drive them.
//!
//! [`engine`] is a model engine, [`desk`] a plain service whose calls may not be repeated,
//! [`store`] a weight store with a rate limit, [`balancer`] the platform's balancer and
//! [`trainer`] a trainer. [`fleet`] starts daemons with settings of its own making, [`load`]
//! offers open-loop load, [`quickstart`] and [`experiment`] put it all together. The daemon does
//! not depend on any of it.

pub mod announcer;
pub mod balancer;
pub mod client;
pub mod desk;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod process;
pub mod quickstart;
pub mod server;
pub mod store;
pub mod trainer;
