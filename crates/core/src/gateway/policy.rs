//! Policies: what varies, behind traits.

mod choice;
mod placement;

pub use choice::{Candidate, NearestFree, PlainTurns, UpstreamChoice};
pub use placement::{Engine, ItemPlacement, LongestFirst, OpenItem, ShortQueue};

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
        Self { choice: Box::new(NearestFree), placement: Box::new(LongestFirst) }
    }
}
