//! The policies of a gateway: traits with interchangeable implementations.

mod choice;
mod learned_choice;
mod learned_placement;
mod placement;

pub use choice::{RandomFree, ShortestExpectedTime, UpstreamCandidate, UpstreamChoice};
pub use learned_choice::LearnedChoice;
pub use learned_placement::LearnedPlacement;
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

impl Policies {
    /// Returns the policies for learned capacity.
    #[must_use]
    pub fn learned() -> Self {
        Self {
            choice: Box::new(LearnedChoice),
            placement: Box::new(LearnedPlacement),
            ..Self::default()
        }
    }
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
