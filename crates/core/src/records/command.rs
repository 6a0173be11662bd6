//! Commands on the records, and what applying them gives.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::Problem;
use crate::key::HostId;
use crate::records::{IntentKey, Outcome, Output, PromptGroup, SampleId, TrainerId};

/// A command on a zone's records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneCommand {
    /// A trainer hands in groups of prompts for a step.
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
    /// A sample was generated.
    Finish {
        /// The sample.
        sample: SampleId,
        /// What was generated.
        output: Arc<Output>,
    },
    /// A sample can't be generated; it is delivered as failed.
    Fail {
        /// The sample.
        sample: SampleId,
        /// Why.
        reason: Box<str>,
    },
    /// A trainer fetches from a cursor; everything before the cursor is acknowledged.
    Deliver {
        /// The trainer.
        trainer: TrainerId,
        /// The cursor.
        cursor: u64,
        /// The most samples to deliver.
        max: u32,
        /// The staleness bound, in versions.
        staleness: u64,
    },
    /// A trainer has published new weights.
    Publish {
        /// The trainer's name.
        trainer: Box<str>,
        /// The service whose engines load them.
        service: Box<str>,
        /// The version.
        version: u64,
    },
    /// A non-idempotent request is about to be dispatched, by this host alone.
    #[serde(rename = "intend")]
    RecordIntent {
        /// The request's key.
        key: IntentKey,
        /// A checksum of the request.
        fingerprint: u64,
        /// The host that dispatches it.
        owner: HostId,
        /// The life of that host's process.
        #[serde(rename = "life")]
        owner_boot_id: u64,
    },
    /// A non-idempotent request has ended.
    #[serde(rename = "conclude")]
    RecordOutcome {
        /// The request's key.
        key: IntentKey,
        /// How it ended.
        outcome: Outcome,
    },
}

/// What applying a command gave.
#[derive(Debug, Clone, PartialEq)]
pub enum ZoneOutcome {
    /// Nothing to tell.
    NoReply,
    /// The groups are taken; the number of new samples.
    Submitted(u32),
    /// The command was refused.
    Refused(Problem),
    /// The trainer's deliveries from the cursor on may be read.
    Delivered {
        /// The trainer.
        trainer: TrainerId,
        /// How many stale samples were sent back to be generated anew.
        stale: u32,
    },
    /// The version in force for the service.
    Published(u64),
    /// The request may be dispatched by its owner.
    IntentRecorded(IntentKey),
    /// The key was known before.
    AlreadyRecorded(IntentKey),
    /// The outcome is recorded.
    OutcomeRecorded(IntentKey),
}
