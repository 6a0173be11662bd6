//! Attempts to run requests.

use serde::{Deserialize, Serialize};

use crate::board::Class;
use crate::key::{HostId, RequestKey, UpstreamKey};
use crate::time::Millis;

/// The destination of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptTarget {
    /// An upstream.
    Upstream(UpstreamKey),
    /// Another host.
    Host(HostId),
}

/// One attempt to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Attempt {
    /// The request that it runs.
    pub request: RequestKey,
    /// Its destination.
    pub target: AttemptTarget,
    /// The class of the request.
    pub class: Class,
    /// When it started, on the monotonic clock.
    pub started: Millis,
}
