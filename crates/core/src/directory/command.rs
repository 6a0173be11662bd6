//! Commands of the directory group and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::directory::{JobSpec, NewResult, RoutingConfig, TextPart, UpstreamTarget, UsageCounts};
use crate::key::HostId;
use crate::time::Millis;

/// The approximate size of a target in a message, in bytes.
const TARGET_BYTES: usize = 128;

/// A change of the directory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryCommand {
    /// Puts a routing configuration in force if its version is higher than the current one.
    #[serde(rename = "route")]
    PutRouting(Arc<RoutingConfig>),
    /// Names the weight version that the engines of a model are to load. A lower version than the
    /// named one is ignored.
    #[serde(rename = "name_version")]
    SetNamedVersion {
        /// The model.
        model: Box<str>,
        /// The version.
        version: u64,
    },
    /// Accepts a batch job. A job whose id is taken is ignored.
    #[serde(rename = "submit")]
    SubmitJob {
        /// The job.
        spec: Arc<JobSpec>,
        /// The wall-clock time of the leader that accepted it.
        at: Millis,
    },
    /// Appends results to a job.
    #[serde(rename = "list")]
    AppendResults {
        /// The job.
        job: Box<str>,
        /// The results, at most one for each item.
        results: Vec<NewResult>,
    },
    /// Saves parts of incomplete texts, so that a later leader can continue from them.
    #[serde(rename = "keep")]
    SaveTextParts {
        /// The job.
        job: Box<str>,
        /// The parts; those of one text are in order.
        parts: Vec<TextPart>,
    },
    /// Ends a job.
    EndJob {
        /// The job.
        job: Box<str>,
        /// The wall-clock time of the leader that ended it.
        at: Millis,
    },
    /// Removes jobs that are no longer open and whose retention time has passed.
    #[serde(rename = "forget")]
    RemoveJobs {
        /// The jobs.
        jobs: Vec<Box<str>>,
    },
    /// Makes a host the only one that sends orders to upstreams.
    #[serde(rename = "orderer")]
    SetOrderer {
        /// The host.
        host: HostId,
    },
    /// Removes a host from the voter set for good.
    #[serde(rename = "retire")]
    RetireVoter {
        /// The host.
        host: HostId,
        /// The retired incarnation. A replacement at the same address has another one.
        incarnation: u64,
    },
    /// Names the first usage window; ignored if there is one.
    StartUsage {
        /// The number of the window.
        window: u64,
    },
    /// Settles the counts of a usage window; ignored unless it is the next one.
    SettleUsage {
        /// The number of the window.
        window: u64,
        /// The counts.
        counts: UsageCounts,
    },
    /// Drops the counts of the usage windows that the provider has accepted.
    UsageReported {
        /// The number of the last of them.
        through: u64,
    },
    /// Sets intended numbers of upstreams, each in place of the one for the same upstreams.
    SetUpstreamTargets(Vec<UpstreamTarget>),
}

impl DirectoryCommand {
    /// Returns the approximate size of the command in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const BYTES_PER_COUNT: usize = 10;
        match self {
            Self::PutRouting(routing) => routing.bytes(),
            Self::SubmitJob { spec, .. } => spec.bytes(),
            Self::AppendResults { results, .. } => {
                results.iter().map(|result| result.result.outcome.text_bytes()).sum()
            }
            Self::SaveTextParts { parts, .. } => {
                parts.iter().map(|part| part.text.text.len()).sum()
            }
            Self::SettleUsage { counts, .. } => {
                counts.keys().map(|workspace| workspace.len() + BYTES_PER_COUNT).sum()
            }
            Self::SetUpstreamTargets(targets) => targets.len() * TARGET_BYTES,
            Self::StartUsage { .. }
            | Self::UsageReported { .. }
            | Self::SetNamedVersion { .. }
            | Self::EndJob { .. }
            | Self::RemoveJobs { .. }
            | Self::SetOrderer { .. }
            | Self::RetireVoter { .. } => 0,
        }
    }
}

/// The outcome of applying a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryOutcome {
    /// The command is in effect, whether or not it changed anything.
    #[serde(rename = "holds")]
    Applied,
    /// The command names a job that does not exist.
    UnknownJob,
    /// The id of the submitted job belongs to a job of another workspace.
    JobIdTaken,
}
