//! Scaling: how many upstreams of each kind a service has in each availability zone.
//!
//! A [`Pool`] is the set of upstreams of one kind, of a service in a zone; the provider is told an
//! absolute number for each. The intended numbers are in the directory, so that the next host that
//! holds the lease continues with them. [`needed_upstreams`] estimates the demand from the open
//! items, a [`ScalingPolicy`] decides on the numbers, and the [`Scaling`] controller has them
//! recorded and ordered. The first two are pure functions.

mod controller;
mod decision;
mod demand;
mod orders;
mod pool;

pub use controller::Scaling;
pub use decision::{CountChange, KeepBaseline, PoolView, ScalingInput, ScalingPolicy};
pub use demand::{DemandHistory, ItemWork, Serving, is_tight, needed_upstreams};
pub use pool::{Pool, ScalingState};
