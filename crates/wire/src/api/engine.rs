//! What hosts say to model engines.
//!
//! `POST /generate` answers with JSON lines: [`Tokens`] lines and, at the end, one [`StreamEnd`]
//! line. `POST /cancel`, `POST /load` and `GET /state` answer with one JSON document.

use chestnutdrift_core::event::OrderTask;
use serde::{Deserialize, Serialize};

/// The body of `POST /generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GenerateBody {
    /// The attempt's name, for `POST /cancel`.
    pub id: Box<str>,
    /// The prompt.
    pub prompt: Box<str>,
    /// The most tokens, those before `resume_at` included.
    pub max_tokens: u32,
    /// The first token wanted.
    pub resume_at: u32,
}

/// One line of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StreamLine {
    /// Tokens.
    Tokens(Tokens),
    /// The end mark.
    End(StreamEnd),
}

/// Tokens of one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Tokens {
    /// The index of the first token.
    #[serde(rename = "at")]
    pub first_index: u32,
    /// The tokens.
    pub tokens: Vec<Box<str>>,
    /// The version that generated them.
    pub version: u64,
}

/// The end mark of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamEnd {
    /// `stop` or `length`.
    #[serde(rename = "end")]
    pub finish_reason: Box<str>,
    /// The number of tokens from the first one.
    #[serde(rename = "count")]
    pub token_count: u32,
}

/// The body of `POST /cancel`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CancelBody {
    /// The attempt's name.
    pub id: Box<str>,
}

/// The body of `POST /load`: one of a version, an adapter or a role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadBody {
    /// The version to load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The adapter to load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Box<str>>,
    /// The role to take.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<Box<str>>,
    /// The fencing number; an engine that checks refuses a number lower than one it has seen.
    pub fence: u64,
}

impl LoadBody {
    /// Makes the body of an order.
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

/// What an engine reports: the answer to `POST /load` and `GET /state`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// The version that it runs.
    pub version: u64,
    /// The adapters that it has loaded.
    pub adapters: Vec<Box<str>>,
    /// Its role, where it has taken one.
    pub role: Box<str>,
    /// The greatest fencing number that it has seen.
    pub fence: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}
