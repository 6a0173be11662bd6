//! Small `Copy` keys: into the arenas of this process, and identifiers shared between processes.

use std::fmt;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::checksum::checksum_pair;

pub use slotmap::Key;

new_key_type! {
    /// Identifies an availability zone in the board's arena.
    pub struct ZoneKey;
    /// Identifies a host in the board's arena.
    pub struct HostKey;
    /// Identifies a service in the board's arena.
    pub struct ServiceKey;
    /// Identifies an upstream in the board's arena.
    pub struct UpstreamKey;
    /// Identifies a request in the board's arena.
    pub struct RequestKey;
    /// Identifies one attempt to run a request; a late answer for a reused slot does not match.
    pub struct AttemptKey;
    /// Identifies an order that awaits an upstream's answer.
    pub struct OrderKey;
    /// Identifies a call to the infrastructure provider that has not ended.
    pub struct ProviderCallKey;
    /// Identifies the upstreams of one kind, of a service in an availability zone.
    pub struct PoolKey;
    /// Identifies a request from this host to a store host.
    pub struct StoreRequestKey;
    /// Identifies a job with items in progress.
    pub struct JobKey;
    /// Identifies an item of a job that has no listed result yet.
    pub struct ItemKey;
    /// Identifies the name of a workspace whose usage is counted.
    pub struct WorkspaceKey;
    /// Identifies a request under which upstreams ended.
    pub struct SuspectKey;
}

/// The number of a host, the same in every process of the fleet.
///
/// If hosts discover each other, it is the host's IPv4 address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u32);

/// Identifies one exchange with a caller, trainer or operator; assigned by the process around the
/// core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestTag(pub u64);

/// Identifies a batch of records being written to the disk.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SyncToken(pub u64);

/// Identifies what a request asks for: the same request from the same caller has the same
/// fingerprint on every host.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(u64, u64);

impl Fingerprint {
    /// Returns the fingerprint of a request, given the parts that identify it.
    #[must_use]
    pub fn new(parts: &[&[u8]]) -> Self {
        let (high, low) = checksum_pair(parts);
        Self(high, low)
    }

    /// Returns the two halves of the fingerprint.
    #[must_use]
    pub fn halves(self) -> (u64, u64) {
        (self.0, self.1)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}
