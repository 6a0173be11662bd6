//! Bodies of the calls from hosts to model engines.
//!
//! An engine answers `POST /generate` with JSON lines: [`Tokens`] lines and, at the end, one
//! [`StreamEnd`] line. It answers `POST /cancel`, `POST /load` and `GET /state` with one JSON
//! document.

use chestnutdrift_core::event::OrderTask;
use serde::{Deserialize, Serialize};

/// The body of `POST /generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GenerateBody {
    /// The attempt's id; `POST /cancel` refers to it.
    pub id: Box<str>,
    /// The prompt.
    pub prompt: Box<str>,
    /// The limit on generated tokens, including those before `resume_at`.
    pub max_tokens: u32,
    /// The index of the first token to send; tokens before it were received by an earlier attempt.
    pub resume_at: u32,
}

/// One line of the answer to `POST /generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StreamLine {
    /// Tokens.
    Tokens(Tokens),
    /// The end of the stream.
    End(StreamEnd),
}

/// Consecutive tokens that one weight version generated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Tokens {
    /// The index of the first of these tokens in the answer.
    #[serde(rename = "at")]
    pub first_index: u32,
    /// The tokens.
    pub tokens: Vec<Box<str>>,
    /// The weight version that generated them.
    pub version: u64,
}

/// The last line of a stream; a stream without it is incomplete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamEnd {
    /// `stop` or `length`.
    #[serde(rename = "end")]
    pub finish_reason: Box<str>,
    /// The number of tokens of the whole answer, including those before `resume_at`.
    #[serde(rename = "count")]
    pub token_count: u32,
}

/// The body of `POST /cancel`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CancelBody {
    /// The attempt's id.
    pub id: Box<str>,
}

/// The body of `POST /load`, an order to an engine: one of a version, an adapter or a role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadBody {
    /// The weight version to load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The adapter to load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Box<str>>,
    /// The role to take.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<Box<str>>,
    /// The fencing token; an engine that checks it refuses one lower than the greatest it has seen.
    pub fence: u64,
}

impl LoadBody {
    /// Creates the body of an order.
    #[must_use]
    pub fn new(task: &OrderTask, fence: u64) -> Self {
        let mut body = Self { fence, ..Self::default() };
        match task {
            OrderTask::Version(version) => body.version = Some(*version),
            OrderTask::Adapter(adapter) => body.adapter = Some(adapter.clone()),
            OrderTask::Role(role) => body.role = Some(role.clone()),
        }
        body
    }
}

/// The state of an engine: the answer to `POST /load` and `GET /state`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// The weight version that it runs.
    pub version: u64,
    /// The adapters that it has loaded.
    pub adapters: Vec<Box<str>>,
    /// Its role; empty if it has none.
    pub role: Box<str>,
    /// The greatest fencing token that it has seen.
    pub fence: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
}
