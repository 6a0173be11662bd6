//! Typed events: all inputs of a core.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::agreement::Record;
use crate::fleet::Change;
use crate::key::{AttemptKey, OrderKey, RequestTag, SyncToken};
use crate::message::Envelope;
use crate::records::{Output, PromptGroup};
use crate::time::Millis;
use crate::timeline::Stamp;

/// An input of a core.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The time returned by [`Core::next_deadline`](crate::Core::next_deadline) has come.
    Tick,
    /// Records read from the disk; comes before any other event.
    Restored(Vec<Record>),
    /// A call from a caller, trainer or operator.
    Arrived(Arrival),
    /// The client of an exchange has disconnected.
    CallerGone {
        /// The exchange.
        tag: RequestTag,
    },
    /// An attempt has produced tokens.
    Progress {
        /// The attempt.
        attempt: AttemptKey,
        /// The tokens sent to the caller so far.
        tokens: u32,
    },
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        end: AttemptEnd,
    },
    /// An upstream announces itself, repeatedly while it runs.
    Announced(UpstreamSpec),
    /// An upstream reports its load.
    Load {
        /// The upstream.
        name: Box<str>,
        /// Requests running.
        running: u32,
        /// Requests waiting.
        waiting: u32,
    },
    /// An upstream announces that it leaves.
    Leaving {
        /// The upstream.
        name: Box<str>,
    },
    /// An order to an upstream has been answered.
    OrderEnded {
        /// The order.
        order: OrderKey,
        /// Whether the upstream carried it out.
        obeyed: bool,
        /// The version that it reports afterwards; `None` if it does not answer.
        version: Option<u64>,
    },
    /// A message from another host.
    Received(Envelope),
    /// A batch of records has been synced to disk.
    Synced(SyncToken),
    /// The host must stop.
    Stop,
}

/// A call as it arrived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Arrival {
    /// The exchange.
    pub tag: RequestTag,
    /// The call's name on the timeline, the same on every host that forwards it.
    pub trace: Box<str>,
    /// How long the client waits; if `None`, the setting `deadline_ms` applies.
    pub deadline: Option<Millis>,
    /// How many hosts have forwarded it.
    pub hops: u8,
    /// Whether the sending host recorded this non-idempotent request and passes on its only run.
    pub granted: bool,
    /// Whether another host may have run the call already.
    pub maybe_ran: bool,
    /// The call itself.
    pub call: Call,
}

/// What a caller, trainer or operator can request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Run a request on an upstream of a service.
    Run(RunCall),
    /// Accept groups of prompts for sampling.
    Submit {
        /// The trainer.
        trainer: Box<str>,
        /// The service.
        service: Box<str>,
        /// The training step.
        step: u64,
        /// The groups of prompts.
        groups: Vec<PromptGroup>,
    },
    /// Deliver finished samples.
    Fetch {
        /// The trainer.
        trainer: Box<str>,
        /// The cursor to deliver from; everything before it is acknowledged.
        cursor: u64,
        /// The most samples to deliver.
        max: u32,
        /// How long to wait for the first sample.
        wait: Millis,
    },
    /// Record that new weights are in the weight store.
    Publish {
        /// The trainer.
        trainer: Box<str>,
        /// The service.
        service: Box<str>,
        /// The weight version.
        version: u64,
    },
    /// Order an engine to load an adapter or to take a role.
    Order {
        /// The engine's zone.
        zone: Box<str>,
        /// The engine.
        upstream: Box<str>,
        /// What the engine is ordered to do.
        task: OrderTask,
    },
    /// Change the fleet's settings.
    Change(Change),
    /// Read state back.
    Query(Query),
    /// Stop accepting work, finish what is in progress, and stop.
    Drain,
}

/// A request to be run by an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunCall {
    /// The caller.
    pub caller: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// Whether the request may be sent again.
    pub idempotent: bool,
    /// The caller's `Idempotency-Key`; `None` if it sent none.
    pub key: Option<Box<str>>,
    /// A checksum of the request, to detect that a key is reused with another body.
    pub fingerprint: u64,
    /// The most tokens that it may generate; 1 for plain services.
    #[serde(rename = "tokens")]
    pub max_tokens: u32,
    /// A checksum of the first part of the prompt.
    #[serde(rename = "prefix")]
    pub prefix_checksum: u64,
}

/// What can be read back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// The settings in force on this host, with the source of each value.
    Settings {
        /// The service for which to return values; `None` for values that hold without one.
        service: Option<Box<str>>,
    },
    /// The hosts of the fleet, as this host sees them.
    Hosts,
    /// The upstreams of this host's zone.
    Upstreams,
    /// The trainers whose home is this host's zone.
    Trainers,
    /// Events after a stamp.
    Timeline {
        /// Only events after this stamp are returned.
        after: Stamp,
    },
    /// Counters for the metrics page.
    Counters,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The answer is complete.
    Whole {
        /// The output; set if the attempt was for a sample.
        output: Option<Arc<Output>>,
        /// The answer; set if it must be recorded before it is sent to the caller.
        answer: Option<RecordedAnswer>,
    },
    /// The upstream provably did not receive the request.
    NotSent {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The upstream refused the request without running it.
    Refused {
        /// The upstream's reason.
        detail: Box<str>,
    },
    /// The upstream failed or disconnected after it may have started.
    Broken {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The attempt was cancelled by this host.
    Cancelled,
}

/// An answer of an upstream, in the form in which it is recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Box<str>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// An upstream's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamSpec {
    /// Its name, unique in its zone.
    pub name: Box<str>,
    /// The number of its process's run, greater after each start; a new run holds none of the work
    /// of the one before.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// The service that it belongs to.
    pub service: Box<str>,
    /// Where it listens, as IP address and port.
    pub address: Box<str>,
    /// Its kind.
    pub kind: UpstreamKind,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The weight version that it runs, for engines.
    pub version: u64,
    /// Whether it rejects orders with an old fencing token.
    pub checks_fence: bool,
    /// Whether its calls may be sent again.
    pub idempotent: bool,
}

/// What an engine can be ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderTask {
    /// Load a version of its weights.
    Version(u64),
    /// Load an adapter.
    Adapter(Box<str>),
    /// Take a role, such as `prefill` or `decode`.
    Role(Box<str>),
}

/// The kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine: streams tokens and accepts orders.
    Engine,
    /// A plain service: returns one answer to each call.
    Plain,
}
