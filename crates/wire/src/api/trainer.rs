//! What trainers say and get.

use std::sync::Arc;

use chestnutdrift_core::action::{DeliveredSample, SampleBatch};
use chestnutdrift_core::records::{PromptGroup, Span};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/trainers/{trainer}/steps/{step}/groups`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// The service whose engines generate the samples.
    pub service: Box<str>,
    /// The groups.
    pub groups: Vec<PromptGroup>,
}

/// The answer to a submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SubmitAnswer {
    /// Samples that were not known before.
    pub added: u32,
}

/// The body of `POST /v1/trainers/{trainer}/versions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// The service whose engines load the version.
    pub service: Box<str>,
    /// The version.
    pub version: u64,
}

/// The answer to a publish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PublishAnswer {
    /// The version that the engines are to run.
    pub version: u64,
}

/// The answer to `GET /v1/trainers/{trainer}/samples`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SamplesAnswer {
    /// The trainer.
    pub trainer: Box<str>,
    /// The samples, by growing cursor.
    pub samples: Vec<SampleBody>,
    /// The cursor to fetch from next; fetching from it acknowledges these samples.
    #[serde(rename = "next")]
    pub next_cursor: u64,
    /// Samples that are generated or wait behind these.
    pub outstanding: u64,
}

/// One sample.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SampleBody {
    /// The cursor.
    pub cursor: u64,
    /// The trainer.
    pub trainer: Box<str>,
    /// The step.
    pub step: u64,
    /// The group within the step.
    pub group: Box<str>,
    /// The index within the group.
    pub index: u32,
    /// The text, where it could be generated.
    pub text: Option<Arc<str>>,
    /// Why nothing could be generated.
    #[serde(rename = "failed")]
    pub failure: Option<Box<str>>,
    /// The weight versions that generated the text, span by span.
    pub versions: Vec<Span>,
}

impl SamplesAnswer {
    /// Writes a batch out for a trainer.
    #[must_use]
    pub fn new(trainer: &str, batch: SampleBatch) -> Self {
        let samples = batch.samples.into_iter();
        Self {
            trainer: trainer.into(),
            samples: samples.map(|sample| SampleBody::new(trainer, sample)).collect(),
            next_cursor: batch.next_cursor,
            outstanding: batch.outstanding,
        }
    }
}

impl SampleBody {
    fn new(trainer: &str, sample: DeliveredSample) -> Self {
        let mut body = Self {
            cursor: sample.cursor,
            trainer: trainer.into(),
            step: sample.step,
            group: sample.group,
            index: sample.index,
            ..Self::default()
        };
        match sample.output {
            Ok(output) => {
                body.text = Some(Arc::clone(&output.text));
                body.versions.clone_from(&output.spans);
            }
            Err(reason) => body.failure = Some(reason),
        }
        body
    }
}
