//! The policies of a gateway: traits with interchangeable implementations.

mod choice;
mod placement;

pub use choice::{RandomFree, ShortestExpectedTime, UpstreamCandidate, UpstreamChoice};
pub use placement::{EngineCandidate, FewestInFlight, ItemPlacement, LongestFirst, WaitingItem};

use super::scaling::{KeepBaseline, ScalingPolicy};

/// The policies of a gateway.
#[derive(Debug)]
pub struct Policies {
    /// Chooses the upstream of a request.
    pub choice: Box<dyn UpstreamChoice>,
    /// Orders the waiting items of jobs and chooses their engines.
    pub placement: Box<dyn ItemPlacement>,
    /// Decides on the numbers of upstreams.
    pub scaling: Box<dyn ScalingPolicy>,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            choice: Box::new(ShortestExpectedTime),
            placement: Box::new(LongestFirst),
            scaling: Box::new(KeepBaseline),
        }
    }
}
