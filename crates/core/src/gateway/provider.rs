//! Calls to the infrastructure provider: usage reports and orders for upstreams.
//!
//! Controllers push a [`ProviderRequest`] into the [`ProviderQueue`] of the board. The host that
//! holds the lease sends it as a [`ProviderCall`], within the provider's rate, and the ends of calls
//! are left in the queue for the controller that made the request.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::key::ProviderCallKey;
use crate::time::Millis;

/// The settings of the provider's interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ProviderSettings {
    /// The most calls a second that the provider accepts from all hosts together.
    pub calls_per_second: u32,
    /// The length of a usage window; `None` if usage is not reported.
    pub usage_window: Option<Millis>,
    /// How long after the end of a window its report is due.
    pub usage_due: Millis,
    /// Whether the deployment orders upstreams.
    pub scaling: bool,
}

/// The number of requests of each workspace that began to run in a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UsageReport {
    /// The number of the window since the Unix epoch.
    pub window: u64,
    /// The number of requests by workspace.
    pub counts: BTreeMap<Box<str>, u64>,
}

/// An order for the number of upstreams of one kind, of a service in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CountOrder {
    /// The service.
    pub service: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// The number of upstreams.
    pub count: u32,
    /// Whether the provider may reclaim them at short notice.
    pub reclaimable: bool,
}

/// A request to the provider.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProviderRequest {
    /// Reports the usage of a window.
    ReportUsage(UsageReport),
    /// Sets the number of upstreams.
    SetUpstreamCount(CountOrder),
}

/// A call to the provider for the shell to send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ProviderCall {
    /// The key of the call in reports.
    pub call: ProviderCallKey,
    /// The name of the host that holds the lease.
    pub holder: Box<str>,
    /// The fencing token of the lease.
    pub fence: u64,
    /// The time on the monotonic clock after which the call must not be sent.
    pub valid_until: Millis,
    /// The content.
    pub request: ProviderRequest,
}

/// How a call to the provider ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProviderCallEnd {
    /// The provider accepted the call.
    Accepted,
    /// None of the ordered upstreams can be had at the moment.
    Unavailable,
    /// The provider has received more calls than it accepts.
    RateLimited,
    /// The provider rejected the call.
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// The lease expired before the call was sent.
    Expired,
    /// No answer came; the call may have taken effect.
    Unknown {
        /// The cause.
        detail: Box<str>,
    },
}

/// The requests to the provider that wait, and the ends of calls that are not handled yet.
#[derive(Debug, Clone, Default)]
pub struct ProviderQueue {
    /// The requests to send, in order. Each controller has at most one request for a subject here.
    pub waiting: Vec<ProviderRequest>,
    /// The ends of calls, for the controllers that made the requests.
    pub ended: Vec<(ProviderRequest, ProviderCallEnd)>,
}
