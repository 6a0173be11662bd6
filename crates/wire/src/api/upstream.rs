//! What upstreams say to the hosts of their zone.

use chestnutdrift_core::event::{UpstreamKind, UpstreamSpec};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/upstreams/announce`, sent again and again while the upstream lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AnnounceBody {
    /// Its name, alone in its zone.
    pub name: Box<str>,
    /// A number that grows with each start of its process.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// The service that it offers.
    pub service: Box<str>,
    /// Where it listens, as IP number and port.
    pub address: Box<str>,
    /// `engine` or `plain`.
    pub kind: UpstreamKind,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// The weight version that it runs; 0 for plain services.
    #[serde(default)]
    pub version: u64,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether its calls may be sent again.
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

/// The body of `POST /v1/upstreams/load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadReportBody {
    /// The upstream.
    pub name: Box<str>,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// The body of `POST /v1/upstreams/leave`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaveBody {
    /// The upstream.
    pub name: Box<str>,
}
