//! Attempts on the board.

use serde::{Deserialize, Serialize};

use crate::board::Class;
use crate::key::{HostId, RequestKey, UpstreamKey};
use crate::time::Millis;

/// Where an attempt went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptTarget {
    /// To an upstream.
    Upstream(UpstreamKey),
    /// To another host.
    Host(HostId),
}

/// One attempt to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// Where it went.
    pub target: AttemptTarget,
    /// The class of the request.
    pub class: Class,
    /// When it started.
    pub started: Millis,
}
