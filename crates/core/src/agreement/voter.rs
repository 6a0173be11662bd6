//! A voter: a host and the incarnation of its state.

use serde::{Deserialize, Serialize};

use crate::key::HostId;

/// One member of a voter set.
///
/// The incarnation changes whenever the host's state is lost, so a host that returns without its
/// state is not taken for the voter that it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Voter {
    /// The host.
    pub host: HostId,
    /// The incarnation of the host's state.
    pub incarnation: u64,
}

impl Voter {
    /// Creates a voter.
    #[must_use]
    pub fn new(host: HostId, incarnation: u64) -> Self {
        Self { host, incarnation }
    }
}
