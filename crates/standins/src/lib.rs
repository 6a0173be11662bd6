//! Stand-ins for the external systems around chestnutdrift, for development and tests.
//!
//! [`engine`] emulates a model engine, [`desk`] a plain service with non-idempotent calls,
//! [`store`] a weight store with a concurrency limit, [`balancer`] the platform's load balancer and
//! [`trainer`] a trainer. [`fleet`] generates settings files and starts daemons with them on the
//! addresses of [`ports`], [`load`] generates open-loop load, and [`quickstart`] and [`experiment`] run a fleet together with the
//! stand-ins. The daemon does not depend on this crate.

pub mod announcer;
pub mod balancer;
pub mod client;
pub mod desk;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod ports;
pub mod process;
pub mod quickstart;
pub mod server;
pub mod store;
pub mod trainer;
