//! Messages between the hosts of a deployment.

mod membership;

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::directory::{JobSpec, RoutingConfig};
use crate::gateway::action::ResultsPage;
use crate::gateway::board::{InstanceId, StatedLimit, StreamOrigin, StreamRecord};
use crate::gateway::usage::{ClockReading, UsageAck, UsageStarts};
use crate::key::{Fingerprint, HostId};
use crate::time::Millis;

pub use membership::{Hello, Roster, Subscription, UpstreamRecord, View};

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayMessage {
    /// The sender is alive and subscribes to changes of the receiver's state.
    Hello(Hello),
    /// The part of a store host's state that the receiver does not have.
    View(View),
    /// The sender requests a decision or data.
    #[serde(rename = "ask")]
    Request {
        /// The boot id of the sender.
        #[serde(rename = "life")]
        boot_id: u64,
        /// The sender's key of the request.
        key: u64,
        /// The request.
        #[serde(rename = "ask")]
        request: StoreRequest,
    },
    /// The reply to a `Request`.
    Reply {
        /// The boot id of the host that sent the request.
        #[serde(rename = "life")]
        boot_id: u64,
        /// The key of the request.
        key: u64,
        /// The reply.
        reply: StoreReply,
    },
    /// Requests under which upstreams ended, as far as they are news to the receiver.
    ///
    /// A host of an earlier version drops this message.
    Suspects(Vec<SuspectRecord>),
    /// Asks the leader of the directory group for permits to send requests to upstreams with a limit.
    ///
    /// A host of an earlier version drops this message.
    QuotaRequest(QuotaRequest),
    /// Permits for the receiver.
    ///
    /// A host of an earlier version drops this message.
    QuotaGrant(QuotaGrant),
    /// Upstreams that leave, for the receiver to remember before the sender acknowledges it to them.
    ///
    /// A host of an earlier version drops this message.
    Leaves {
        /// The number of the message, which grows with each one of the sender.
        number: u64,
        /// The upstreams.
        upstreams: Vec<UpstreamRecord>,
    },
    /// The sender remembers the upstreams of the receiver's message with this number.
    ///
    /// A host of an earlier version drops this message.
    LeavesKept {
        /// The number.
        number: u64,
        /// Whether it has them on its disk; not so a host of an earlier version.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        on_disk: bool,
    },
    /// Streams of callers that the sender has sent to upstreams, for the receiver to remember.
    ///
    /// A host of an earlier version drops this message.
    Streams(Vec<StreamRecord>),
    /// Asks where a stream began. A host of an earlier version drops this message.
    FindStream {
        /// The id of the attempt that began it.
        id: Box<str>,
        /// The workspace of the caller, or `None` if it has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        workspace: Option<Box<str>>,
    },
    /// Where a stream began. A host of an earlier version drops this message.
    StreamFound {
        /// The id of the attempt that began it.
        id: Box<str>,
        /// The origin; `None` if the sender does not know it.
        origin: Option<StreamOrigin>,
        /// The upstreams of the origin's version that the sender knows; `None` from a host of an earlier
        /// version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        upstreams: Option<Vec<InstanceId>>,
        /// The workspace that the question named.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        workspace: Option<Box<str>>,
    },
    /// Starts of requests, for the leader to count. A host of an earlier version drops this message.
    UsageStarts(UsageStarts),
    /// The reply to it. A host of an earlier version drops this message.
    UsageAck(UsageAck),
    /// The leader asks for the time on the receiver's wall clock, or is told it. A host of an earlier
    /// version drops this message.
    Clock(ClockReading),
}

/// A host's request for permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaRequest {
    /// The number of the request, which grows with each one of the sender.
    pub number: u64,
    /// The service whose requests need the permits.
    pub service: Box<str>,
    /// The upstreams that can run them, with their limits as the sender knows them.
    pub upstreams: Vec<LimitRecord>,
    /// The number of requests that wait for a permit.
    pub waiting: u32,
    /// The number of requests that are expected within the time for which a permit is valid.
    pub ahead: u32,
    /// The highest priority of the waiting requests; zero is the highest.
    pub priority: u32,
    /// How long the last of them waits.
    pub patience: Millis,
}

/// The limit of an upstream as a host knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LimitRecord {
    /// The instance id of the upstream.
    pub id: Box<str>,
    /// Wall time of its start in milliseconds.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// What it has said.
    pub stated: StatedLimit,
}

/// Permits that a host is granted, or the reason why there are none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaGrant {
    /// The number of the request for permits.
    pub number: u64,
    /// The service whose requests need them.
    pub service: Box<str>,
    /// The instance id of each upstream, and the number of permits.
    pub permits: Vec<(Box<str>, u32)>,
    /// After which time the next request can be sent for which there is no permit now; `None` if there
    /// are permits for all waiting ones.
    pub refused_for: Option<Millis>,
}

/// A request under which upstreams ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstreams that ended under it.
    pub crashes: Vec<CrashRecord>,
}

/// The end of an upstream while a request ran there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CrashRecord {
    /// The number of the upstream's incarnation.
    pub incarnation: u64,
    /// How long it still counts.
    pub expires_in: Millis,
    /// Whether the request has succeeded since.
    pub cleared: bool,
}

/// A request to a store host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreRequest {
    /// Puts a routing configuration in force.
    PutRouting(Arc<RoutingConfig>),
    /// Reads the newest routing configuration.
    GetRouting {
        /// The version that the requester has, which is not sent again.
        have: u64,
    },
    /// Publishes a weight version of a model.
    NameVersion {
        /// The model.
        model: Box<str>,
        /// The version.
        version: u64,
    },
    /// Accepts a job.
    Submit(Arc<JobSpec>),
    /// Reads results of a job.
    Results {
        /// The job.
        job: Box<str>,
        /// The first requested position.
        after: u32,
        /// How long to wait for a result at that position.
        wait: Millis,
        /// The workspace of the caller, or `None` if it has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        workspace: Option<Box<str>>,
        /// The host of the call, if the receiver must check that it needs no key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        host: Option<Box<str>>,
    },
    /// Reads the request body of an item.
    ItemBody {
        /// The job.
        job: Box<str>,
        /// The item.
        item: Box<str>,
        /// The workspace of the caller, or `None` if it has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        workspace: Option<Box<str>>,
        /// The host of the call, if the receiver must check that it needs no key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        host: Option<Box<str>>,
    },
    /// Ends a job.
    EndJob {
        /// The job.
        job: Box<str>,
        /// The workspace of the caller, or `None` if it has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        workspace: Option<Box<str>>,
        /// The host of the call, if the receiver must check that it needs no key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        host: Option<Box<str>>,
    },
    /// Retires a store host.
    Retire {
        /// The name of the host.
        host: Box<str>,
    },
    /// Reads whether the retirement of a store host is complete.
    RetireStatus {
        /// The name of the host.
        host: Box<str>,
    },
}

/// The reply to a [`StoreRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// The requested change is done, or was in effect already.
    Done,
    /// The newest routing configuration; `None` where the requester has it or none exists.
    Routing(Option<Arc<RoutingConfig>>),
    /// Results of a job.
    Results(ResultsPage),
    /// The request body of an item.
    Body(Bytes),
    /// Whether a retirement is complete.
    Retiring {
        /// Whether the host may be removed.
        complete: bool,
    },
    /// The job, item, host or retirement that the request names does not exist.
    Unknown,
    /// Too few store hosts would remain.
    TooFew,
    /// The sender does not lead the directory group, and only the leader can answer.
    #[serde(rename = "ask_leader")]
    NotLeader {
        /// The leader, as far as the sender knows.
        leader: Option<HostId>,
    },
    /// The sender has no memory for the job, and has not accepted it.
    ///
    /// A host of an earlier version drops this reply and times out.
    NoMemory,
    /// The id of the submitted job belongs to a job of another workspace.
    ///
    /// A host of an earlier version drops this reply and times out.
    JobIdTaken,
    /// The job call needs a key, and the host that admitted it did not know that.
    ///
    /// A host of an earlier version drops this reply and times out.
    Unauthorized,
    /// The sender can't determine the answer at the moment; a requested change may have been
    /// made.
    #[serde(rename = "not_sure")]
    Undetermined,
}

impl GatewayMessage {
    /// Returns the approximate size of the contents of the message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const BYTES_PER_SEEN_UPSTREAM: usize = 64;
        const BYTES_PER_UPSTREAM: usize = 256;
        const BYTES_PER_SUSPECT: usize = 256;
        const BYTES_PER_LIMIT: usize = 64;
        const BYTES_PER_STREAM: usize = 128;
        const BYTES_PER_START: usize = 12;
        match self {
            Self::Hello(hello) => hello.seen_upstreams.len() * BYTES_PER_SEEN_UPSTREAM,
            Self::View(view) => {
                let routing = view.routing.as_ref().map_or(0, |routing| routing.bytes());
                routing + view.upstreams.len() * BYTES_PER_UPSTREAM
            }
            Self::Leaves { upstreams, .. } => upstreams.len() * BYTES_PER_UPSTREAM,
            Self::LeavesKept { .. } => 0,
            Self::Request { request, .. } => request.bytes(),
            Self::Reply { reply, .. } => reply.bytes(),
            Self::Suspects(suspects) => suspects.len() * BYTES_PER_SUSPECT,
            Self::QuotaRequest(request) => request.upstreams.len() * BYTES_PER_LIMIT,
            Self::Streams(records) => records.len() * BYTES_PER_STREAM,
            Self::FindStream { .. } => BYTES_PER_STREAM,
            Self::StreamFound { upstreams, .. } => {
                let upstreams = upstreams.as_ref().map_or(0, Vec::len);
                BYTES_PER_STREAM + upstreams * BYTES_PER_SEEN_UPSTREAM
            }
            Self::UsageStarts(starts) => starts.records.len() * BYTES_PER_START,
            Self::UsageAck(_) | Self::Clock(_) => 0,
            Self::QuotaGrant(grant) => grant.permits.len() * BYTES_PER_LIMIT,
        }
    }
}

impl StoreReply {
    /// Returns the approximate size of the contents of the reply, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Routing(routing) => routing.as_ref().map_or(0, |routing| routing.bytes()),
            Self::Results(page) => page.bytes(),
            Self::Body(body) => body.len(),
            Self::Done
            | Self::Retiring { .. }
            | Self::Unknown
            | Self::TooFew
            | Self::NotLeader { .. }
            | Self::NoMemory
            | Self::JobIdTaken
            | Self::Unauthorized
            | Self::Undetermined => 0,
        }
    }
}

impl StoreRequest {
    /// Returns the approximate size of the contents of the request, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::PutRouting(routing) => routing.bytes(),
            Self::Submit(spec) => spec.bytes(),
            Self::GetRouting { .. }
            | Self::NameVersion { .. }
            | Self::Results { .. }
            | Self::ItemBody { .. }
            | Self::EndJob { .. }
            | Self::Retire { .. }
            | Self::RetireStatus { .. } => 0,
        }
    }

    /// Returns whether only the leader can answer.
    ///
    /// Every store host can answer a read of results or of an item's body from its replica.
    #[must_use]
    pub fn needs_leader(&self) -> bool {
        !matches!(self, Self::Results { .. } | Self::ItemBody { .. })
    }

    /// Returns whether the request changes state, so that its outcome is unknown if the reply is lost.
    #[must_use]
    pub fn changes_state(&self) -> bool {
        !matches!(
            self,
            Self::GetRouting { .. }
                | Self::Results { .. }
                | Self::ItemBody { .. }
                | Self::RetireStatus { .. }
        )
    }

    /// Returns the name of the request in the log.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::PutRouting(_) => "put-routing",
            Self::GetRouting { .. } => "get-routing",
            Self::NameVersion { .. } => "name-version",
            Self::Submit(_) => "submit",
            Self::Results { .. } => "results",
            Self::ItemBody { .. } => "item-body",
            Self::EndJob { .. } => "end-job",
            Self::Retire { .. } => "retire",
            Self::RetireStatus { .. } => "retire-status",
        }
    }
}
