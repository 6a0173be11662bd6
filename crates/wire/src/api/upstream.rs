//! Bodies of the calls from upstreams to the hosts of their zone.

use chestnutdrift_core::event::{UpstreamKind, UpstreamSpec};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/upstreams/announce`, which an upstream sends at intervals while it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AnnounceBody {
    /// The upstream's name, unique in its zone.
    pub name: Box<str>,
    /// A number that increases with each start of its process.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// The service that it offers.
    pub service: Box<str>,
    /// The IP address and port on which it listens.
    pub address: Box<str>,
    /// `engine` or `plain`.
    pub kind: UpstreamKind,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The weight version that it runs; 0 for plain services.
    #[serde(default)]
    pub version: u64,
    /// Whether it refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether requests to it may be sent again.
    pub idempotent: bool,
}

impl From<AnnounceBody> for UpstreamSpec {
    fn from(body: AnnounceBody) -> Self {
        Self {
            name: body.name,
            boot_id: body.boot_id,
            service: body.service,
            address: body.address,
            kind: body.kind,
            slots: body.slots,
            version: body.version,
            checks_fence: body.checks_fence,
            idempotent: body.idempotent,
        }
    }
}

/// The body of `POST /v1/upstreams/load`, a report of the upstream's load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadReportBody {
    /// The upstream's name.
    pub name: Box<str>,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
}

/// The body of `POST /v1/upstreams/leave`, sent when an upstream shuts down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaveBody {
    /// The upstream's name.
    pub name: Box<str>,
}
