//! Typed events: the inputs of a gateway.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::agreement::Record;
use crate::directory::{ApiKey, ItemSpec, ItemText, RoutingConfig};
use crate::error::Problem;
use crate::gateway::board::InstanceId;
use crate::gateway::facts::Fact;
use crate::gateway::provider::ProviderCallEnd;
use crate::gateway::rate::RequestRate;
use crate::key::{
    AttemptKey, Fingerprint, HostId, OrderKey, ProviderCallKey, RequestTag, SyncToken, UpstreamKey,
};
use crate::message::Envelope;
use crate::time::Millis;

/// An input of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The deadline that the gateway returned has passed.
    Tick,
    /// The records on the disk, reported before any other event; empty on a host without a disk.
    Restored(Vec<Record>),
    /// The facts on the disk, in the order in which they were written; reported next.
    RestoredFacts(Vec<Fact>),
    /// A call has arrived.
    Opened(IncomingCall),
    /// The caller of an exchange has disconnected.
    CallerGone {
        /// The exchange.
        tag: RequestTag,
    },
    /// The body of a batch job has been decoded.
    JobRead {
        /// The exchange.
        tag: RequestTag,
        /// The job, or the problem with the body.
        job: Result<JobBody, Problem>,
    },
    /// An attempt to forward a request has ended.
    ForwardEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        end: ForwardEnd,
    },
    /// A new connection to an upstream over this host's own links was opened, or failed although the
    /// upstream may run.
    DirectConnection {
        /// The upstream.
        upstream: UpstreamKey,
        /// Whether it was opened.
        opened: bool,
    },
    /// The end of an attempt is known after its request has ended: an answer was delivered while it
    /// still arrived, or the attempt was dropped without an outcome.
    LateEnd {
        /// The upstream.
        upstream: UpstreamKey,
        /// The request.
        fingerprint: Fingerprint,
        /// How it ended.
        end: LateEnd,
    },
    /// Runs of items have received events since their last report.
    ItemProgress(Vec<(AttemptKey, ItemText)>),
    /// A run of an item has ended.
    ItemEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// The events since its last report, and how it ended.
        run: ItemRunReport,
    },
    /// A reward call has ended.
    RewardEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended; [`ForwardEnd::Delivered`] if the whole answer has come.
        end: ForwardEnd,
        /// The signature of a whole answer with success; `None` for any other end.
        score: Option<Box<str>>,
    },
    /// An order to an upstream has ended.
    OrderEnded {
        /// The order.
        order: OrderKey,
        /// How it ended.
        end: OrderEnd,
    },
    /// A call to the infrastructure provider has ended.
    ProviderCallEnded {
        /// The call.
        call: ProviderCallKey,
        /// How it ended.
        end: ProviderCallEnd,
    },
    /// An upstream has said in the head of an answer that it leaves.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamKey,
        /// The answer, for the log.
        answer: Box<str>,
    },
    /// An upstream has named its limit in the head of an answer, or one that had a limit has not.
    UpstreamLimit {
        /// The upstream.
        upstream: UpstreamKey,
        /// How many requests it takes from all hosts together; `None` if it names no limit.
        rate: Option<RequestRate>,
        /// The answer, for the log.
        answer: Box<str>,
    },
    /// A message from another host has arrived.
    Received(Envelope),
    /// A batch of records is synced to the disk.
    Synced(SyncToken),
    /// The settings file was read again and names other seeds.
    Reloaded {
        /// The seeds that it names now.
        seeds: Vec<HostId>,
    },
    /// The host has been asked to stop.
    Stop,
    /// The allocated memory of the process was measured.
    MemoryMeasured {
        /// Its size in bytes.
        allocated: u64,
    },
}

/// A call as it arrived at this host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct IncomingCall {
    /// The exchange.
    pub tag: RequestTag,
    /// The name of the call in the log and on the timeline.
    pub trace: Box<str>,
    /// How long the caller waits for the answer; `None` where it did not say.
    #[serde(rename = "patience")]
    pub wait_limit: Option<Millis>,
    /// The content of the call.
    pub call: Call,
}

/// The kinds of calls of callers, operators and upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Routes a request to an upstream; the shell holds its head and body.
    Request {
        /// The `Host` header without the port.
        host: Box<str>,
        /// The path without the query.
        path: Box<str>,
        /// Identifies the request when it comes again, here or at another host.
        fingerprint: Fingerprint,
        /// The stream that it takes up after an event, by the id of the attempt that began it; empty if
        /// the caller names none, and `None` if it takes none up.
        #[serde(default)]
        resumes: Option<Box<str>>,
        /// The key of the caller, or `None` if it presented none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<ApiKey>,
    },
    /// Reads results of a job.
    Results {
        /// The job.
        job: Box<str>,
        /// The first requested position.
        after: u32,
        /// How long to wait for a result at that position.
        wait: Millis,
        /// The caller.
        #[serde(default)]
        caller: JobCaller,
    },
    /// Reads the request body of an item that has no committed result yet.
    ItemBody {
        /// The job.
        job: Box<str>,
        /// The item.
        item: Box<str>,
        /// The caller.
        #[serde(default)]
        caller: JobCaller,
    },
    /// Ends a job.
    EndJob {
        /// The job.
        job: Box<str>,
        /// The caller.
        #[serde(default)]
        caller: JobCaller,
    },
    /// Puts a routing configuration in force.
    PutRouting(Arc<RoutingConfig>),
    /// Reads the newest routing configuration.
    GetRouting,
    /// Publishes a weight version of a model.
    NameVersion {
        /// The model.
        model: Box<str>,
        /// The version.
        version: u64,
    },
    /// An upstream announces itself.
    Announce(Announcement),
    /// An upstream announces that it leaves.
    Leave {
        /// The instance id of the upstream.
        id: Box<str>,
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
    /// Relays a connection of another host to an upstream; [`Event::CallerGone`] ends it.
    Relay {
        /// The instance id of the upstream.
        upstream: Box<str>,
    },
    /// Reads state of this host.
    Query(Query),
}

/// The caller of a job call other than a submission.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobCaller {
    /// The `Host` header without the port.
    pub host: Box<str>,
    /// The key, or `None` if the caller presented none.
    pub key: Option<ApiKey>,
}

impl Call {
    /// Returns the caller of a call that reads or ends a job; `None` for any other call.
    #[must_use]
    pub fn job_caller(&self) -> Option<&JobCaller> {
        match self {
            Self::Results { caller, .. }
            | Self::ItemBody { caller, .. }
            | Self::EndJob { caller, .. } => Some(caller),
            _ => None,
        }
    }
}

/// The state that can be read from one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// Whether the host takes requests.
    Ready,
    /// The counters of the host.
    Counters,
    /// The hosts that this one knows.
    Hosts,
    /// The upstreams that this host knows.
    Upstreams,
    /// The workspaces of the routing configuration in force here.
    Workspaces,
}

/// The body of a batch job, decoded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct JobBody {
    /// The id of the job.
    pub id: Box<str>,
    /// The model; `None` where the job names none.
    pub model: Option<Box<str>>,
    /// The oldest weight version that may generate a token of the results.
    pub min_version: u64,
    /// The items, in the order of their priority for the caller, highest first.
    pub items: Vec<ItemSpec>,
}

/// The announcement of an upstream about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Announcement {
    /// The id of this instance of the upstream; requests carry it, so that no other instance at the
    /// same address runs them.
    pub id: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The IP address and port.
    pub address: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Whether it drains and accepts no new requests.
    pub leaving: bool,
    /// Wall time of its start in milliseconds, which orders instances with the same id.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// The sequence number, which grows with each announcement of an instance.
    pub seq: u64,
    /// The weight version of each model that it runs.
    pub versions: Vec<(Box<str>, u64)>,
    /// The version of its software; empty if unknown, as from a host of an earlier version.
    ///
    /// What two versions write does not fit together.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub software: Box<str>,
    /// Whether the provider may reclaim it at short notice.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reclaimable: bool,
    /// How long after this announcement it is gone; `None` if it does not leave by a fixed time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_in: Option<Millis>,
}

impl Announcement {
    /// Returns the start of the instance and the number of the announcement; of two announcements under
    /// one id the greater one is newer.
    #[must_use]
    pub fn order(&self) -> (u64, u64) {
        (self.started_at, self.seq)
    }

    /// Returns the instance that announces itself.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        InstanceId { id: self.id.clone(), started_at: self.started_at }
    }

    /// Returns the weight version of a model that the upstream announces, or zero.
    #[must_use]
    pub fn version_of(&self, model: &str) -> u64 {
        let known = self.versions.iter().find(|(name, _)| &**name == model);
        known.map_or(0, |(_, version)| *version)
    }

    /// Returns the content without the fields that tell which announcement is newer.
    ///
    /// Hosts that receive two different announcements with the same sequence number compare their
    /// contents, so that all hosts keep the same one. Versions are compared first, since they only
    /// grow.
    #[must_use]
    pub fn content(&self) -> impl Ord {
        let Self { versions, slots, address, service, zone, software, reclaimable, .. } = self;
        (versions, slots, address, service, zone, software, reclaimable)
    }
}

/// How an attempt to forward a request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardEnd {
    /// The upstream's answer was delivered to the caller.
    Delivered {
        /// The HTTP status.
        status: u16,
    },
    /// The upstream's answer is being delivered to the caller; [`Event::LateEnd`] tells how it ends.
    Begun {
        /// The HTTP status.
        status: u16,
    },
    /// The upstream answered with a failure, which the shell holds for possible delivery.
    Held {
        /// The HTTP status.
        status: u16,
    },
    /// The upstream answered that it did not run the request.
    NotRun {
        /// The HTTP status.
        status: u16,
        /// Whether another instance answered at the address.
        other_instance: bool,
    },
    /// Nothing was sent, as no connection could be opened.
    NotSent {
        /// The cause.
        detail: Box<str>,
    },
    /// Nothing was sent, as the upstream's address refused the connection: its process has ended.
    ConnectRefused {
        /// The cause.
        detail: Box<str>,
    },
    /// The upstream may have run the request, but the answer is missing or incomplete.
    Broken {
        /// The cause.
        detail: Box<str>,
    },
    /// As [`ForwardEnd::Broken`], and afterwards the upstream's address refused a new connection: its
    /// process has ended.
    UpstreamEnded {
        /// The cause.
        detail: Box<str>,
    },
}

/// How an attempt ended whose request had ended before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LateEnd {
    /// It is complete.
    Complete,
    /// It broke off, and afterwards the upstream's address refused a new connection: its process has
    /// ended.
    UpstreamEnded,
}

/// The last report of a run of an item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ItemRunReport {
    /// The events since the previous report.
    pub text: ItemText,
    /// How the run ended.
    pub end: ItemEnd,
}

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemEnd {
    /// The text is complete.
    Whole,
    /// The upstream failed; this counts as one of the item's attempts.
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// The upstream answered that the item can never succeed.
    Impossible,
    /// The upstream did not run it.
    NotRun {
        /// The HTTP status, or zero where no connection could be opened.
        status: u16,
        /// Whether another instance answered at the address.
        other_instance: bool,
    },
    /// The stream broke off, or no event came for too long.
    Broken {
        /// The cause.
        detail: Box<str>,
    },
    /// The gateway cancelled the run.
    Cancelled,
}

/// How an order to an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEnd {
    /// The upstream accepted the order and has begun to load.
    Begun {
        /// Number of orders that it has accepted, this one included.
        orders: u64,
    },
    /// The ordered version is loaded already.
    Holds {
        /// Number of orders that it has accepted; `None` where it did not report it.
        orders: Option<u64>,
    },
    /// The upstream is carrying out another order, or has accepted another number of orders than
    /// expected.
    Conflict {
        /// Number of orders that it has accepted; `None` where it did not report it.
        orders: Option<u64>,
    },
    /// The upstream rejected the order with a status that is not a conflict.
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The lease expired before the order was sent.
    Expired,
    /// The upstream said that it leaves before the order was sent.
    Leaving,
    /// No answer came; the order may still be carried out.
    Unknown {
        /// The cause.
        detail: Box<str>,
    },
}
