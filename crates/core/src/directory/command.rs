//! Commands of the directory group, and what became of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::directory::{ItemSpec, JobSpec, NewResult, RoutingConfig, TextPart};
use crate::key::HostId;
use crate::time::Millis;

/// A change of the directory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryCommand {
    /// Put a routing configuration in force, where its version is higher than the one that is.
    #[serde(rename = "route")]
    PutRouting(Arc<RoutingConfig>),
    /// Name a weight version of a model.
    #[serde(rename = "name_version")]
    SetNamedVersion {
        /// The model.
        model: Box<str>,
        /// The version.
        version: u64,
    },
    /// Accept a batch job.
    #[serde(rename = "submit")]
    SubmitJob {
        /// The job.
        spec: Arc<JobSpec>,
        /// Wall time at the leader that accepted it.
        at: Millis,
    },
    /// List results at the next positions of a job.
    #[serde(rename = "list")]
    AppendResults {
        /// The job.
        job: Box<str>,
        /// The results, one an item at most.
        results: Vec<NewResult>,
    },
    /// Keep parts of texts that are not whole yet, so that another leader can go on from them.
    #[serde(rename = "keep")]
    SaveTextParts {
        /// The job.
        job: Box<str>,
        /// The parts, in the order of each text.
        parts: Vec<TextPart>,
    },
    /// End a job.
    EndJob {
        /// The job.
        job: Box<str>,
        /// Wall time at the leader that ended it.
        at: Millis,
    },
    /// Forget jobs that nobody reads any more.
    #[serde(rename = "forget")]
    RemoveJobs {
        /// The jobs.
        jobs: Vec<Box<str>>,
    },
    /// Let a host alone order upstreams from here on.
    #[serde(rename = "orderer")]
    SetOrderer {
        /// The host.
        host: HostId,
    },
    /// Take a host out of the voter set for good.
    #[serde(rename = "retire")]
    RetireVoter {
        /// The host.
        host: HostId,
        /// The incarnation that is retired; a replacement at the same address is another one.
        incarnation: u64,
    },
}

impl DirectoryCommand {
    /// Returns about how many bytes the command takes in a message.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            // The document stands beside what was read from it.
            Self::PutRouting(routing) => 2 * routing.document.len(),
            Self::SubmitJob { spec, .. } => spec.items.iter().map(ItemSpec::bytes).sum(),
            Self::AppendResults { results, .. } => {
                results.iter().map(|new| new.result.outcome.text_bytes()).sum()
            }
            Self::SaveTextParts { parts, .. } => {
                parts.iter().map(|part| part.text.text.len()).sum()
            }
            Self::SetNamedVersion { .. }
            | Self::EndJob { .. }
            | Self::RemoveJobs { .. }
            | Self::SetOrderer { .. }
            | Self::RetireVoter { .. } => 0,
        }
    }
}

/// What applying a command came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryOutcome {
    /// It holds now, whether it changed anything or held before.
    #[serde(rename = "holds")]
    Applied,
    /// The job that it names is not known.
    UnknownJob,
}
