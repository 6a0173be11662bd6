//! Policies: what varies, behind traits.

mod choice;
mod placement;

pub use choice::{RandomFree, ShortestExpectedTime, UpstreamCandidate, UpstreamChoice};
pub use placement::{EngineCandidate, FewestInFlight, ItemPlacement, LongestFirst, WaitingItem};

/// The policies of a gateway.
#[derive(Debug)]
pub struct Policies {
    /// Which upstream gets a request.
    pub choice: Box<dyn UpstreamChoice>,
    /// Which item goes next, and to which engine.
    pub placement: Box<dyn ItemPlacement>,
}

impl Default for Policies {
    fn default() -> Self {
        Self { choice: Box::new(ShortestExpectedTime), placement: Box::new(LongestFirst) }
    }
}
