//! Typed events: everything that a core is told.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::agreement::Record;
use crate::fleet::Change;
use crate::key::{AttemptKey, OrderKey, RequestTag, SyncToken};
use crate::message::Envelope;
use crate::records::{Output, PromptGroup};
use crate::time::Millis;
use crate::timeline::Stamp;

/// Everything that a core is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The deadline that the core asked for has come.
    Tick,
    /// Records from the disk, before anything else.
    Restored(Vec<Record>),
    /// A caller, trainer or operator asks for something.
    Arrived(Arrival),
    /// Whoever asked has gone.
    CallerGone {
        /// The exchange.
        tag: RequestTag,
    },
    /// An attempt has produced tokens.
    Progress {
        /// The attempt.
        attempt: AttemptKey,
        /// The tokens that the caller has been sent so far.
        tokens: u32,
    },
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptKey,
        /// How.
        end: AttemptEnd,
    },
    /// An upstream announces itself; again and again while it lives.
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
    /// An upstream says that it leaves.
    Leaving {
        /// The upstream.
        name: Box<str>,
    },
    /// An order to an upstream has been answered.
    OrderEnded {
        /// The order.
        order: OrderKey,
        /// Whether the upstream obeyed.
        obeyed: bool,
        /// The version that it reports afterwards, or none where it does not answer.
        version: Option<u64>,
    },
    /// A message from another host.
    Received(Envelope),
    /// A batch of records is synced.
    Synced(SyncToken),
    /// The host is to stop.
    Stop,
}

/// A call as it came in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Arrival {
    /// The exchange.
    pub tag: RequestTag,
    /// The call's name on the time line, the same on every host that it passes.
    pub trace: Box<str>,
    /// How long whoever asks will wait; the setting `deadline_ms` holds where it is not said.
    pub deadline: Option<Millis>,
    /// How many hosts have handed it on.
    pub hops: u8,
    /// Whether another host has recorded this non-idempotent request and hands over its one run.
    pub granted: bool,
    /// Whether a host to which this one handed the call may have run it.
    pub maybe_ran: bool,
    /// What is asked.
    pub call: Call,
}

/// What a caller, trainer or operator can ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Run a request on an upstream of a service.
    Run(RunCall),
    /// Take groups of prompts.
    Submit {
        /// The trainer.
        trainer: Box<str>,
        /// The service.
        service: Box<str>,
        /// The step.
        step: u64,
        /// The groups.
        groups: Vec<PromptGroup>,
    },
    /// Deliver finished samples.
    Fetch {
        /// The trainer.
        trainer: Box<str>,
        /// Everything before the cursor is acknowledged.
        cursor: u64,
        /// The most samples.
        max: u32,
        /// How long to wait for the first one.
        wait: Millis,
    },
    /// New weights are in the weight store.
    Publish {
        /// The trainer.
        trainer: Box<str>,
        /// The service.
        service: Box<str>,
        /// The version.
        version: u64,
    },
    /// Order an engine to take an adapter or a role.
    Order {
        /// The engine's zone.
        zone: Box<str>,
        /// The engine.
        upstream: Box<str>,
        /// What it is to do.
        task: OrderTask,
    },
    /// Change the fleet's settings.
    Change(Change),
    /// Read back.
    Query(Query),
    /// Stop taking work and stop.
    Drain,
}

/// A request for an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunCall {
    /// The caller.
    pub caller: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// Whether the request may be sent again.
    pub idempotent: bool,
    /// The caller's `Idempotency-Key`.
    pub key: Option<Box<str>>,
    /// A checksum of the request.
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
    /// The settings in force on this host, and why.
    Settings {
        /// The service for which the values are asked.
        service: Option<Box<str>>,
    },
    /// The hosts of the fleet, as this host sees them.
    Hosts,
    /// The upstreams of this host's zone.
    Upstreams,
    /// The trainers at home in this host's zone.
    Trainers,
    /// Events after a stamp.
    Timeline {
        /// The stamp.
        after: Stamp,
    },
    /// Counters for the metrics page.
    Counters,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The whole answer is there.
    Whole {
        /// The output, where the attempt was for a sample.
        output: Option<Arc<Output>>,
        /// The answer, where it must be recorded before it is given.
        answer: Option<RecordedAnswer>,
    },
    /// The upstream provably did not get the request.
    NotSent {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The upstream refused the request without running it.
    Refused {
        /// What it said.
        detail: Box<str>,
    },
    /// The upstream failed or went away after it may have started.
    Broken {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The attempt was given up on this host's own order.
    Cancelled,
}

/// An answer of an upstream, as it is recorded.
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

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamSpec {
    /// Its name, alone in its zone.
    pub name: Box<str>,
    /// The life of its process; a new one has nothing of the old one's work.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// The service that it offers.
    pub service: Box<str>,
    /// Where it listens, as IP number and port.
    pub address: Box<str>,
    /// What it is.
    pub kind: UpstreamKind,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// The weight version that it runs, for engines.
    pub version: u64,
    /// Whether it refuses orders with an old fencing number.
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

/// The kinds of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine: streams tokens, takes orders.
    Engine,
    /// A plain service: one call, one answer.
    Plain,
}
