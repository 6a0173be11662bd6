//! Typed actions: everything that a core wants done.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::agreement::Record;
use crate::error::Problem;
use crate::event::{OrderTask, RecordedAnswer, UpstreamKind};
use crate::fleet::{ChangeOutcome, EffectiveSetting, FleetSettings};
use crate::key::{AttemptKey, HostId, OrderKey, RequestTag, SyncToken};
use crate::message::Envelope;
use crate::records::{Output, SampleCounts, SampleId};
use crate::time::Millis;
use crate::timeline::TimelineEvent;

/// Everything that a core wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Give up an attempt, and tell its upstream.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Give the caller what the attempt has brought, to the end.
    Finish {
        /// The exchange.
        tag: RequestTag,
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Answer an exchange.
    Answer {
        /// The exchange.
        tag: RequestTag,
        /// The answer.
        answer: Answer,
    },
    /// Send a message to another host.
    Send {
        /// The host.
        to: HostId,
        /// The message.
        envelope: Envelope,
    },
    /// Write records, sync them, and report the token.
    Persist {
        /// The token to report.
        token: SyncToken,
        /// The records, in order.
        records: Vec<Record>,
    },
    /// Give an order to an upstream, then read back what it runs.
    Order {
        /// The order.
        order: OrderKey,
        /// The upstream's address.
        address: Box<str>,
        /// What it is to do.
        task: OrderTask,
        /// The fencing number.
        fence: u64,
        /// The point on the monotonic clock after which it must not be sent.
        valid_until: Millis,
        /// How long to wait for the answer.
        timeout: Millis,
    },
    /// Write an event to the log.
    Note(TimelineEvent),
    /// Nothing is held any more; the process may end.
    Exit,
}

impl Action {
    /// Tells whether the action starts an attempt.
    #[must_use]
    pub fn is_dispatch(&self) -> bool {
        matches!(self, Self::Dispatch(_))
    }
}

/// An attempt to be started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Where the request comes from.
    pub source: Source,
    /// Where it goes.
    pub target: Target,
    /// The tokens that the caller has been sent already.
    pub resume_at: u32,
    /// How long the attempt may take.
    pub timeout: Millis,
    /// Whether the answer must be handed to the core and recorded before it is given.
    #[serde(rename = "recorded")]
    pub record_answer: bool,
}

/// Where the request of an attempt comes from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// An exchange, whose body the shell holds.
    Exchange {
        /// The exchange.
        tag: RequestTag,
    },
    /// A sample.
    Sample {
        /// The sample.
        sample: SampleId,
        /// The prompt.
        prompt: Arc<str>,
        /// The most tokens.
        max_tokens: u32,
    },
}

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// An upstream.
    Upstream {
        /// Its address.
        address: Box<str>,
        /// What it is.
        kind: UpstreamKind,
    },
    /// Another host, as the exchange came in.
    Host {
        /// The host.
        host: HostId,
        /// How many hosts will have handed it on.
        hops: u8,
        /// Whether the one run of a recorded non-idempotent request is handed over.
        granted: bool,
        /// Whether another host may have run the call already.
        maybe_ran: bool,
    },
}

/// An answer to an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// An error.
    Problem(Problem),
    /// An answer of an upstream that has been recorded; `replayed` where it was given before.
    Recorded {
        /// The answer.
        answer: RecordedAnswer,
        /// Whether it was given before.
        replayed: bool,
    },
    /// Groups were taken; the number of new samples.
    Submitted(u32),
    /// Samples.
    Samples(SampleBatch),
    /// The version that the engines are to run.
    Published(u64),
    /// Whether an upstream obeyed an order.
    Ordered(bool),
    /// What became of a change.
    Changed(ChangeOutcome),
    /// The settings in force.
    Settings(SettingsReport),
    /// The hosts.
    Hosts(Vec<HostReport>),
    /// The upstreams.
    Upstreams(Vec<UpstreamReport>),
    /// The trainers.
    Trainers(Vec<TrainerReport>),
    /// Events.
    Timeline(Vec<TimelineEvent>),
    /// Counters.
    Counters(Counters),
    /// The host has begun to stop.
    Draining,
}

/// Samples delivered to a trainer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SampleBatch {
    /// The samples, by growing cursor.
    pub samples: Vec<DeliveredSample>,
    /// The cursor to fetch from next; fetching from it acknowledges these samples.
    #[serde(rename = "next")]
    pub next_cursor: u64,
    /// Samples that are generated or wait behind these.
    pub outstanding: u64,
}

/// One delivered sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DeliveredSample {
    /// The cursor.
    pub cursor: u64,
    /// The step.
    pub step: u64,
    /// The group within the step.
    pub group: Box<str>,
    /// The index within the group.
    pub index: u32,
    /// What was generated, or why nothing could be.
    pub output: Result<Arc<Output>, Box<str>>,
}

/// The settings in force on one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingsReport {
    /// The host.
    pub host: Box<str>,
    /// The zone.
    pub zone: Box<str>,
    /// The version in force.
    pub version: u64,
    /// Since when, in wall time.
    pub since: Millis,
    /// Defaults and exceptions as they stand.
    pub settings: FleetSettings,
    /// The values that hold on this host, and why.
    pub effective: Vec<EffectiveSetting>,
}

/// One host, as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostReport {
    /// The number.
    pub id: HostId,
    /// The name.
    pub name: Box<str>,
    /// The zone.
    pub zone: Box<str>,
    /// Whether it has a disk.
    pub disk: bool,
    /// Where it takes HTTP.
    pub http: Box<str>,
    /// `self`, `up`, `silent` or `unknown`; hosts of other zones are known by their zone's digest.
    pub state: Box<str>,
    /// Which groups it leads.
    pub leads: Vec<Box<str>>,
}

/// One upstream, as a host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamReport {
    /// Its name.
    pub name: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Its address.
    pub address: Box<str>,
    /// The version that it reported last.
    pub version: u64,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// The most that this host keeps in flight there.
    pub limit: u32,
    /// `up`, `leaving` or `silent`.
    pub state: Box<str>,
}

/// One trainer, as its zone records it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TrainerReport {
    /// Its name.
    pub name: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// The version that it published last.
    pub version: u64,
    /// Samples that wait for it.
    pub ready: u64,
    /// Samples delivered and not acknowledged.
    pub delivered: u64,
    /// Counts by ending.
    pub counts: SampleCounts,
}

/// Counters of one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Requests taken in.
    pub arrived: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts that were not the first of their request.
    pub retries: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Requests waiting.
    pub queued: u64,
    /// Attempts running.
    pub running: u64,
    /// The version of the settings in force.
    #[serde(rename = "settings")]
    pub settings_version: u64,
    /// Whether the host takes new work.
    pub ready: bool,
    /// The groups in which the host votes.
    pub votes: u64,
    /// The groups that the host leads.
    pub leads: u64,
}
