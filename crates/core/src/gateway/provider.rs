//! Calls to the infrastructure provider: usage reports and orders for upstreams.
//!
//! Controllers push a [`ProviderRequest`] into the [`ProviderQueue`] of the board. The host that
//! holds the lease sends it as a [`ProviderCall`], within the provider's rate, and the ends of calls
//! are left in the queue for the controller that made the request.

pub mod calls;

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::key::ProviderCallKey;
use crate::time::Millis;

/// Limits and features of the provider's interface, from the settings file.
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

/// The resource that a request concerns. At most one call for it is in progress.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The usage of a window.
    Usage(u64),
    /// The number of upstreams of a service in an availability zone, and whether they are reclaimable.
    UpstreamCount(Box<str>, Box<str>, bool),
}

impl Display for Subject {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(window) => write!(f, "usage/{window}"),
            Self::UpstreamCount(service, zone, reclaimable) => {
                write!(f, "upstreams/{service}/{zone}/reclaimable={reclaimable}")
            }
        }
    }
}

impl ProviderRequest {
    /// Returns the resource that the request concerns.
    #[must_use]
    pub fn subject(&self) -> Subject {
        match self {
            Self::ReportUsage(report) => Subject::Usage(report.window),
            Self::SetUpstreamCount(CountOrder { service, zone, reclaimable, .. }) => {
                Subject::UpstreamCount(service.clone(), zone.clone(), *reclaimable)
            }
        }
    }
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
    /// How long the answer is awaited.
    pub timeout: Millis,
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

impl ProviderCallEnd {
    /// Returns whether the next call for the same subject must wait for a time.
    #[must_use]
    pub fn is_failure(&self) -> bool {
        match self {
            Self::Accepted | Self::Unavailable | Self::Expired => false,
            Self::RateLimited | Self::Rejected { .. } | Self::Unknown { .. } => true,
        }
    }
}

/// A call to the provider that has not ended.
#[derive(Debug, Clone)]
pub struct RunningCall {
    /// The request, which goes back to its controller with the end of the call.
    pub request: ProviderRequest,
    /// The fencing token under which it was sent.
    pub fence: u64,
    /// When it was sent.
    pub sent: Millis,
    /// How long the answer is awaited.
    pub timeout: Millis,
}

/// The requests to the provider that wait, and the ends of calls that are not handled yet.
///
/// Each request gets one end. A controller that gets another end than [`ProviderCallEnd::Accepted`]
/// puts the request into the queue again where it is still wanted; the queue delays it after a failure.
/// The number of subjects bounds the queue: there are at most a few windows, and two for each service
/// and availability zone.
#[derive(Debug, Clone, Default)]
pub struct ProviderQueue {
    /// The requests to send, in order. Each controller has at most one request for a subject here.
    pub waiting: Vec<ProviderRequest>,
    /// The ends of calls, for the controllers that made the requests.
    pub ended: Vec<(ProviderRequest, ProviderCallEnd)>,
    /// The calls that have not ended.
    pub running: SlotMap<ProviderCallKey, RunningCall>,
}

impl ProviderQueue {
    /// Returns whether a call for a subject has not ended.
    #[must_use]
    pub fn is_running(&self, subject: &Subject) -> bool {
        self.running.values().any(|call| call.request.subject() == *subject)
    }
}
