//! Typed events: the inputs of a gateway.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::agreement::Record;
use crate::directory::{ItemSpec, ItemText, RoutingConfig};
use crate::error::Problem;
use crate::key::{AttemptKey, HostId, OrderKey, RequestTag, SyncToken};
use crate::message::Envelope;
use crate::time::Millis;

/// One input.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The deadline that the gateway asked for has come.
    Tick,
    /// Records from the disk, before anything else.
    Restored(Vec<Record>),
    /// Somebody asks for something.
    Opened(IncomingCall),
    /// Whoever asked has gone.
    CallerGone {
        /// The exchange.
        tag: RequestTag,
    },
    /// The body of a batch job has been decoded.
    JobRead {
        /// The exchange.
        tag: RequestTag,
        /// The job, or why it can't be read.
        job: Result<JobBody, Problem>,
    },
    /// An attempt to forward a request has ended.
    ForwardEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How.
        end: ForwardEnd,
    },
    /// Runs of items have brought events since they were last reported.
    ItemProgress(Vec<(AttemptKey, ItemText)>),
    /// A run of an item has ended.
    ItemEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// What it brought since it was last reported.
        run: ItemRunReport,
    },
    /// An order to an upstream has ended.
    OrderEnded {
        /// The order.
        order: OrderKey,
        /// How.
        end: OrderEnd,
    },
    /// A message from another host.
    Received(Envelope),
    /// A batch of records is synced.
    Synced(SyncToken),
    /// The settings file names other seeds.
    Reloaded {
        /// The store hosts that it names.
        seeds: Vec<HostId>,
    },
    /// The host is to stop.
    Stop,
}

/// A call as it came in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct IncomingCall {
    /// The exchange.
    pub tag: RequestTag,
    /// The name under which logs and the time line speak of it.
    pub trace: Box<str>,
    /// How long the caller will wait, where it said so.
    #[serde(rename = "patience")]
    pub wait_limit: Option<Millis>,
    /// What is asked.
    pub call: Call,
}

/// What can be asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A request to be routed; the shell holds its head and body.
    Request {
        /// The `Host` without a port.
        host: Box<str>,
        /// The path without a query.
        path: Box<str>,
    },
    /// Read results of a job.
    Results {
        /// The job.
        job: Box<str>,
        /// The first position wanted.
        after: u32,
        /// How long to wait for a result at that position.
        wait: Millis,
    },
    /// Read the body of an item that is not listed yet.
    ItemBody {
        /// The job.
        job: Box<str>,
        /// The item.
        item: Box<str>,
    },
    /// End a job.
    EndJob {
        /// The job.
        job: Box<str>,
    },
    /// Put a routing configuration in force.
    PutRouting(Arc<RoutingConfig>),
    /// Read the newest routing configuration.
    GetRouting,
    /// Name a weight version.
    NameVersion {
        /// The model.
        model: Box<str>,
        /// The version.
        version: u64,
    },
    /// An upstream announces itself.
    Announce(Announcement),
    /// An upstream says that it leaves.
    Leave {
        /// The upstream.
        id: Box<str>,
    },
    /// Retire a store host.
    Retire {
        /// The name of the host.
        host: Box<str>,
    },
    /// Ask how far the retirement of a store host is.
    RetireStatus {
        /// The name of the host.
        host: Box<str>,
    },
    /// Read back what this host knows.
    Query(Query),
}

/// What can be read back from one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// Whether the host takes requests.
    Ready,
    /// Counters.
    Counters,
    /// The hosts that this one knows.
    Hosts,
    /// The upstreams that this host knows.
    Upstreams,
}

/// The body of a batch job, decoded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct JobBody {
    /// The job's name.
    pub id: Box<str>,
    /// The model, where the job names one.
    pub model: Option<Box<str>>,
    /// The oldest weight version that may generate a token.
    pub min_version: u64,
    /// The items, most wanted first.
    pub items: Vec<ItemSpec>,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Announcement {
    /// The name of this life of the upstream; requests name it, so that no other runs them.
    pub id: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The IP number and port.
    pub address: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Wall time of its start, which orders lives under one name.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Grows with each announcement of one life.
    pub seq: u64,
    /// The weight version of each model that it runs.
    pub versions: Vec<(Box<str>, u64)>,
}

impl Announcement {
    /// Returns what it says beside its place among the announcements of the upstream, in an order
    /// that every host shares; versions only grow.
    #[must_use]
    pub fn content(&self) -> impl Ord {
        (&self.versions, self.slots, &self.address, &self.service, &self.zone)
    }
}

/// How an attempt to forward a request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardEnd {
    /// The caller has the upstream's answer.
    Delivered {
        /// The status.
        status: u16,
    },
    /// The upstream answered with a failure, which the shell holds for the caller.
    Held {
        /// The status.
        status: u16,
    },
    /// The upstream says that it did not run the request.
    NotRun {
        /// The status.
        status: u16,
        /// Whether another upstream has the address.
        other_instance: bool,
    },
    /// Nothing was sent: no connection could be made.
    NotSent {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The upstream may have run the request, but there is no whole answer.
    Broken {
        /// What went wrong.
        detail: Box<str>,
    },
}

/// How one run of an item ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ItemRunReport {
    /// The events that came since the last report.
    pub text: ItemText,
    /// How the run ended.
    pub end: ItemEnd,
}

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemEnd {
    /// The text is whole.
    Whole,
    /// The upstream failed; it counts as one of the item's attempts.
    Failed {
        /// The status.
        status: u16,
    },
    /// The upstream says that the item can never be done.
    Impossible,
    /// The upstream did not run it.
    NotRun {
        /// The status, or zero where no connection could be made.
        status: u16,
        /// Whether another upstream has the address.
        other_instance: bool,
    },
    /// The stream broke off or fell silent.
    Broken {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The run was given up on the gateway's own order.
    Cancelled,
}

/// How an order to an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEnd {
    /// The upstream has begun to carry it out.
    Begun {
        /// The orders that it has accepted by now.
        orders: u64,
    },
    /// What it wants holds already.
    Holds {
        /// The orders that it has accepted by now, where it was asked.
        orders: Option<u64>,
    },
    /// Another order is in progress, or the expected number of orders differs.
    Conflict {
        /// The orders that it has accepted by now, where it was asked.
        orders: Option<u64>,
    },
    /// The upstream refuses it for good.
    Refused {
        /// The status.
        status: u16,
    },
    /// The lease ended before it was sent.
    Expired,
    /// There was no answer; it may be carried out late.
    Unknown {
        /// What went wrong.
        detail: Box<str>,
    },
}
