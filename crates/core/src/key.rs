//! Small `Copy` keys: into the arenas of this process, and between processes.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

pub use slotmap::Key;

new_key_type! {
    /// Names an availability zone in the board's arena.
    pub struct ZoneKey;
    /// Names a host in the board's arena.
    pub struct HostKey;
    /// Names a service in the board's arena.
    pub struct ServiceKey;
    /// Names an upstream in the board's arena.
    pub struct UpstreamKey;
    /// Names a request in the board's arena.
    pub struct RequestKey;
    /// Names one attempt to run a request; a late answer to a reused slot does not match it.
    pub struct AttemptKey;
    /// Names an order to an upstream that has not been answered.
    pub struct OrderKey;
    /// Names a question to another host.
    pub struct StoreRequestKey;
    /// Names a job whose items run.
    pub struct JobKey;
    /// Names an item of a job that is not listed.
    pub struct ItemKey;
}

/// The number of a host, the same in every process of the fleet.
///
/// Where hosts find each other it is the host's IPv4 address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u32);

/// The shell's name for one exchange with a caller, trainer or operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestTag(pub u64);

/// The number of a batch of records on its way to the disk.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SyncToken(pub u64);
