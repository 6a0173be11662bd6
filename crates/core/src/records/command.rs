//! Commands on the records of a zone, and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::Problem;
use crate::key::HostId;
use crate::records::{IntentKey, Outcome, Output, PromptGroup, SampleId, TrainerId};

/// A command on a zone's records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneCommand {
    /// Submits groups of prompts for a step of a trainer.
    Submit {
        /// The trainer's name.
        trainer: Box<str>,
        /// The service whose engines generate the samples.
        service: Box<str>,
        /// The step.
        step: u64,
        /// The groups.
        groups: Vec<PromptGroup>,
    },
    /// Records the output of a sample.
    Finish {
        /// The sample.
        sample: SampleId,
        /// The output.
        output: Arc<Output>,
    },
    /// Marks a sample as failed, because it can't be generated. It is delivered as failed.
    Fail {
        /// The sample.
        sample: SampleId,
        /// The reason.
        reason: Box<str>,
    },
    /// Delivers samples to a trainer from a cursor on, and acknowledges all before the cursor.
    Deliver {
        /// The trainer.
        trainer: TrainerId,
        /// The cursor.
        cursor: u64,
        /// The maximum number of samples to deliver.
        max: u32,
        /// The maximum number of versions that a sample may lie behind its trainer.
        staleness: u64,
    },
    /// Publishes new weights of a trainer.
    Publish {
        /// The trainer's name.
        trainer: Box<str>,
        /// The service whose engines load the weights.
        service: Box<str>,
        /// The version.
        version: u64,
    },
    /// Records that one host is about to dispatch a non-idempotent request, and no other may.
    #[serde(rename = "intend")]
    RecordIntent {
        /// The request's key.
        key: IntentKey,
        /// A checksum of the request.
        fingerprint: u64,
        /// The host that dispatches it.
        owner: HostId,
        /// The boot id of that host's process.
        #[serde(rename = "life")]
        owner_boot_id: u64,
    },
    /// Records the outcome of a non-idempotent request.
    #[serde(rename = "conclude")]
    RecordOutcome {
        /// The request's key.
        key: IntentKey,
        /// The outcome.
        outcome: Outcome,
    },
}

/// The outcome of applying a command.
#[derive(Debug, Clone, PartialEq)]
pub enum ZoneOutcome {
    /// Nothing to report.
    NoReply,
    /// The groups are accepted, with this number of new samples.
    Submitted(u32),
    /// The command was refused.
    Refused(Problem),
    /// The deliveries of the trainer from the cursor on can be read.
    Delivered {
        /// The trainer.
        trainer: TrainerId,
        /// The number of stale samples that were queued to be generated again.
        stale: u32,
    },
    /// The version that the engines of the service are to run.
    Published(u64),
    /// The owner may dispatch the request.
    IntentRecorded(IntentKey),
    /// The key had already been recorded, so this command permits no dispatch.
    AlreadyRecorded(IntentKey),
    /// The outcome is recorded.
    OutcomeRecorded(IntentKey),
}
