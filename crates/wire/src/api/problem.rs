//! Errors as problem documents (RFC 9457).

use chestnutdrift_core::{ErrorKind, Problem, Ran};
use serde::{Deserialize, Serialize};

/// A problem document, extended by the kind of error and whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ProblemBody {
    /// The URI of the kind.
    #[serde(rename = "type")]
    pub type_uri: Box<str>,
    /// The kind's title.
    pub title: Box<str>,
    /// The HTTP status.
    pub status: u16,
    /// The cause of this error.
    pub detail: Box<str>,
    /// The kind of error.
    pub kind: ErrorKind,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: Ran,
    /// How long to wait before a retry, in milliseconds; `None` if no time is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The same error for chat clients, which expect an object of this name.
    #[serde(default)]
    pub error: ErrorObject,
}

/// An error in the format of chat clients.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorObject {
    /// The title and the detail.
    pub message: Box<str>,
    /// The serialized name of the kind.
    #[serde(rename = "type")]
    pub kind: Box<str>,
}

impl ProblemBody {
    /// Creates the document of a problem.
    #[must_use]
    pub fn new(problem: &Problem) -> Self {
        let answer = problem.kind.answer();
        let name = serde_json::to_value(problem.kind).unwrap_or_default();
        let name = name.as_str().unwrap_or("unknown");
        Self {
            type_uri: format!("urn:chestnutdrift:problem:{name}").into(),
            title: answer.title.into(),
            status: answer.status,
            detail: problem.detail.clone(),
            kind: problem.kind,
            ran: problem.ran,
            retry_after_ms: problem.retry_after_ms,
            error: ErrorObject {
                message: format!("{}: {}", answer.title, problem.detail).into(),
                kind: name.into(),
            },
        }
    }

    /// Converts the document back into a problem.
    #[must_use]
    pub fn into_problem(self) -> Problem {
        Problem {
            kind: self.kind,
            ran: self.ran,
            detail: self.detail,
            retry_after_ms: self.retry_after_ms,
        }
    }
}
