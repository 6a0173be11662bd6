//! Typed actions: all effects that a core requests.

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

/// An effect that a core requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Cancel an attempt, and notify its upstream.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Send the caller the attempt's complete answer.
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
    /// Write records, sync them to disk, and report the token as synced.
    Persist {
        /// The token to report.
        token: SyncToken,
        /// The records, in order.
        records: Vec<Record>,
    },
    /// Send an order to an upstream, then read back the version that it runs.
    Order {
        /// The order.
        order: OrderKey,
        /// The upstream's address.
        address: Box<str>,
        /// What the upstream is ordered to do.
        task: OrderTask,
        /// The fencing token, by which an upstream rejects orders of a former leader.
        fence: u64,
        /// When the order expires, on the monotonic clock; it must not be sent afterwards.
        valid_until: Millis,
        /// How long to wait for the answer.
        timeout: Millis,
    },
    /// Write a timeline event to the log.
    Note(TimelineEvent),
    /// The host holds no more work; the process may exit.
    Exit,
}

impl Action {
    /// Returns whether the action starts an attempt.
    #[must_use]
    pub fn is_dispatch(&self) -> bool {
        matches!(self, Self::Dispatch(_))
    }
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The source of the request.
    pub source: Source,
    /// The destination.
    pub target: Target,
    /// The tokens already sent to the caller, from which an engine resumes.
    pub resume_at: u32,
    /// How long the attempt may take.
    pub timeout: Millis,
    /// Whether the answer must be returned to the core and recorded before the caller gets it.
    #[serde(rename = "recorded")]
    pub record_answer: bool,
}

/// The source of an attempt's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// An exchange, whose body the process around the core holds.
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
        /// The most tokens to generate.
        max_tokens: u32,
    },
}

/// The destination of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// An upstream.
    Upstream {
        /// Its address.
        address: Box<str>,
        /// Its kind.
        kind: UpstreamKind,
    },
    /// Another host, to which the exchange is forwarded as it arrived.
    Host {
        /// The host.
        host: HostId,
        /// How many hosts will have forwarded it, this one included.
        hops: u8,
        /// Whether the only run of a recorded non-idempotent request is passed on.
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
    /// A recorded answer of an upstream.
    Recorded {
        /// The answer.
        answer: RecordedAnswer,
        /// Whether it repeats the answer to an earlier request with the same key.
        replayed: bool,
    },
    /// The number of new samples of the accepted groups.
    Submitted(u32),
    /// Samples for a trainer.
    Samples(SampleBatch),
    /// The version that the engines are to load.
    Published(u64),
    /// Whether an upstream carried out an order.
    Ordered(bool),
    /// The outcome of a change of settings.
    Changed(ChangeOutcome),
    /// The settings in force.
    Settings(SettingsReport),
    /// The hosts.
    Hosts(Vec<HostReport>),
    /// The upstreams.
    Upstreams(Vec<UpstreamReport>),
    /// The trainers.
    Trainers(Vec<TrainerReport>),
    /// Timeline events.
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
    /// The samples, in ascending order of cursor.
    pub samples: Vec<DeliveredSample>,
    /// The cursor to fetch from next; fetching from it acknowledges these samples.
    #[serde(rename = "next")]
    pub next_cursor: u64,
    /// The number of samples that wait behind these or are still being generated.
    pub outstanding: u64,
}

/// One delivered sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DeliveredSample {
    /// The cursor.
    pub cursor: u64,
    /// The training step.
    pub step: u64,
    /// The name of the group within the step.
    pub group: Box<str>,
    /// The index within the group.
    pub index: u32,
    /// The output, or the reason why there is none.
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
    /// When it came into force, in wall time.
    pub since: Millis,
    /// The defaults and exceptions of the fleet.
    pub settings: FleetSettings,
    /// The values in force on this host, with the source of each.
    pub effective: Vec<EffectiveSetting>,
}

/// One host, as the reporting host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostReport {
    /// Its number.
    pub id: HostId,
    /// Its name.
    pub name: Box<str>,
    /// Its zone.
    pub zone: Box<str>,
    /// Whether it has a disk.
    pub disk: bool,
    /// The address of its HTTP server.
    pub http: Box<str>,
    /// `self`, `draining`, `up`, `not ready`, `silent` or `unknown`; a host of another zone is also
    /// `up` if its zone's digest lists it.
    pub state: Box<str>,
    /// The groups that it leads.
    pub leads: Vec<Box<str>>,
}

/// One upstream, as the reporting host sees it.
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
    /// Samples that wait for delivery.
    pub ready: u64,
    /// Samples that were delivered but not acknowledged.
    pub delivered: u64,
    /// Counts of its samples by outcome.
    pub counts: SampleCounts,
}

/// Counters of one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts that were not the first of their request.
    pub retries: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Requests waiting now.
    pub queued: u64,
    /// Attempts in progress now.
    pub running: u64,
    /// The version of the settings in force.
    #[serde(rename = "settings")]
    pub settings_version: u64,
    /// Whether the host accepts new work.
    pub ready: bool,
    /// The number of groups in which the host votes.
    pub votes: u64,
    /// The number of groups that the host leads.
    pub leads: u64,
}
