//! Commands of the directory group, and what became of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::directory::{ItemSpec, JobSpec, NewResult, Routing, TextPart};
use crate::key::HostId;
use crate::time::Millis;

/// A change of the directory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryCommand {
    /// Put a routing configuration in force, where its version is higher than the one that is.
    Route(Arc<Routing>),
    /// Name a weight version of a model.
    NameVersion {
        /// The model.
        model: Box<str>,
        /// The version.
        version: u64,
    },
    /// Accept a batch job.
    Submit {
        /// The job.
        spec: Arc<JobSpec>,
        /// Wall time at the leader that accepted it.
        at: Millis,
    },
    /// List results at the next positions of a job.
    List {
        /// The job.
        job: Box<str>,
        /// The results, one an item at most.
        results: Vec<NewResult>,
    },
    /// Keep parts of texts that are not whole yet, so that another leader can go on from them.
    Keep {
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
    Forget {
        /// The jobs.
        jobs: Vec<Box<str>>,
    },
    /// Let a host alone order upstreams from here on.
    Orderer {
        /// The host.
        host: HostId,
    },
    /// Take a host out of the voter set for good.
    Retire {
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
            Self::Route(routing) => 2 * routing.document.len(),
            Self::Submit { spec, .. } => spec.items.iter().map(ItemSpec::bytes).sum(),
            Self::List { results, .. } => {
                results.iter().map(|new| new.result.outcome.text_bytes()).sum()
            }
            Self::Keep { parts, .. } => parts.iter().map(|part| part.text.text.len()).sum(),
            Self::NameVersion { .. }
            | Self::EndJob { .. }
            | Self::Forget { .. }
            | Self::Orderer { .. }
            | Self::Retire { .. } => 0,
        }
    }
}

/// What applying a command came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryOutcome {
    /// It holds now, whether it changed anything or held before.
    Holds,
    /// The job that it names is not known.
    UnknownJob,
}
