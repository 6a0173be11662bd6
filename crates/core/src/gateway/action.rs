//! Typed actions: what a gateway wants done.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::agreement::Record;
use crate::directory::{ItemOutcome, JobSpec};
use crate::error::Problem;
use crate::gateway::settings::Role;
use crate::key::{AttemptKey, HostId, OrderKey, RequestTag, SyncToken};
use crate::message::Envelope;
use crate::time::Millis;
use crate::timeline::TimelineEvent;

/// One thing to be done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Send a request to an upstream.
    Forward(Forward),
    /// Give the caller the failure that the shell holds.
    Deliver {
        /// The exchange.
        tag: RequestTag,
    },
    /// Decode the body of a request as a batch job and report it.
    ReadJob {
        /// The exchange.
        tag: RequestTag,
    },
    /// Answer an exchange.
    Answer {
        /// The exchange.
        tag: RequestTag,
        /// The answer.
        answer: Answer,
    },
    /// Run an item of a job.
    RunItem(RunItem),
    /// Give up an attempt: close its connection.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Order an upstream to load a weight version.
    Order(Order),
    /// Send a message to another host.
    Send {
        /// The host.
        to: HostId,
        /// The message.
        envelope: Envelope,
    },
    /// Write records, sync them, and report the token.
    Persist {
        /// The token.
        token: SyncToken,
        /// The records, in order.
        records: Vec<Record>,
    },
    /// Write an event to the log.
    Note(TimelineEvent),
    /// Ask callers to leave: answers from now on say that the connection closes.
    Drain,
    /// Close the connections that wait for a request.
    CloseIdle,
    /// Nothing is held any more; the process may end.
    Exit,
}

/// Where an upstream is, and which life of it is meant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamAddress {
    /// The name of its life.
    pub id: Box<str>,
    /// The IP number and port.
    pub address: Box<str>,
}

/// A request to be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Forward {
    /// The exchange, whose head and body the shell holds.
    pub tag: RequestTag,
    /// The attempt.
    pub attempt: AttemptKey,
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// How long the upstream may take.
    pub deadline: Millis,
    /// How long a new connection may take.
    pub connect: Millis,
    /// Whether events are passed on as they come; otherwise the whole answer is awaited.
    pub streamed: bool,
}

/// An item to be run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunItem {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// The job.
    pub job: Arc<JobSpec>,
    /// The index of the item.
    pub item: u32,
    /// The id of the event after which the text goes on, where it was begun before.
    pub resume_after: Option<u64>,
    /// The weight version that the upstream is known to run.
    pub version: Option<u64>,
    /// How long the upstream may be silent.
    pub silence: Millis,
    /// How long the run may take.
    pub deadline: Millis,
}

/// An order to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// The order.
    pub order: OrderKey,
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// The model.
    pub model: Box<str>,
    /// The version.
    pub version: u64,
    /// Whether runs end under the old version before the new one is loaded.
    pub runs_end_first: bool,
    /// The host that orders.
    pub holder: Box<str>,
    /// The fencing number.
    pub fence: u64,
    /// The number of orders that the upstream has accepted before, where it is known; otherwise the
    /// shell asks it first.
    pub orders_before: Option<u64>,
    /// The point on the monotonic clock after which it must not be sent.
    pub valid_until: Millis,
}

/// An answer to an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// An error.
    Problem(Problem),
    /// A job is accepted.
    Accepted,
    /// What was asked is done, or held before.
    Done,
    /// Results of a job.
    Results(ResultsPage),
    /// The body of an item.
    Body(Bytes),
    /// The newest routing configuration, as the operator sent it.
    Routing(Bytes),
    /// Whether the retirement of a host is complete.
    Retiring {
        /// Whether the host may be removed.
        complete: bool,
    },
    /// Whether the host takes requests.
    Ready(bool),
    /// Counters.
    Counters(Counters),
    /// Hosts.
    Hosts(Vec<HostView>),
    /// Upstreams.
    Upstreams(Vec<UpstreamView>),
}

/// Results of a job from one position on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResultsPage {
    /// The number of items of the job.
    pub total: u32,
    /// The position after the last result of this page.
    pub next: u32,
    /// The results.
    pub results: Vec<ResultsEntry>,
}

/// One result with the name of its item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResultsEntry {
    /// The item.
    pub id: Box<str>,
    /// How it ended.
    pub outcome: ItemOutcome,
}

/// One host, as another knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostView {
    /// The number.
    pub id: HostId,
    /// The name, once it has been heard from.
    pub name: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// The role.
    pub role: Role,
    /// Milliseconds since it was heard from, or none where it never was.
    #[serde(rename = "heard_ms_ago")]
    pub last_seen_ms_ago: Option<u64>,
    /// Whether it leads the directory group.
    pub leads: bool,
    /// Whether it votes in the directory group.
    pub votes: bool,
}

/// One upstream, as a host knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamView {
    /// The name of its life.
    pub id: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The address.
    pub address: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// `ready`, `leaving`, `avoided` or `silent`.
    pub state: Box<str>,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// The weight version of each model.
    pub versions: Vec<(Box<str>, u64)>,
}

/// Counters of one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Requests taken in to be forwarded.
    pub requests: u64,
    /// Requests whose callers got an upstream's answer.
    pub delivered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that ended with an error after they may have run.
    pub failed: u64,
    /// Requests whose callers left.
    pub abandoned: u64,
    /// Attempts to forward.
    pub forwards: u64,
    /// Jobs accepted since the process started, counted on every store host.
    pub jobs: u64,
    /// Runs of items.
    pub item_runs: u64,
    /// Items listed as completed.
    pub items_completed: u64,
    /// Items listed as errored.
    pub items_errored: u64,
    /// Runs of items that broke off or were moved.
    pub items_moved: u64,
    /// Orders given to upstreams.
    pub orders: u64,
    /// Upstreams known.
    pub upstreams: u64,
    /// The version of the routing configuration in force.
    pub routing_version: u64,
    /// Whether the host takes requests.
    pub ready: bool,
    /// Whether the host leads the directory group.
    pub leads: bool,
}
