//! Orders to upstreams on the board.

use serde::{Deserialize, Serialize};

use crate::key::UpstreamKey;
use crate::time::Millis;

/// An order to load a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The version.
    pub version: u64,
    /// When it was given.
    pub given: Millis,
}
