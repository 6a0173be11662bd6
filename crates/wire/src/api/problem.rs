//! Errors as problem documents (RFC 9457).

use chestnutdrift_core::{ErrorKind, Problem, Ran};
use serde::{Deserialize, Serialize};

/// A problem document, with this project's kind and whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ProblemBody {
    /// A URI for the kind.
    #[serde(rename = "type")]
    pub type_uri: Box<str>,
    /// The kind's title.
    pub title: Box<str>,
    /// The HTTP status.
    pub status: u16,
    /// What exactly was wrong.
    pub detail: Box<str>,
    /// The kind, from the closed list.
    pub kind: ErrorKind,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: Ran,
    /// When to come again, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The same for chat clients, which look for an object of this name.
    #[serde(default)]
    pub error: ErrorObject,
}

/// An error as chat clients expect it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorObject {
    /// What went wrong.
    pub message: Box<str>,
    /// The kind, from the closed list.
    #[serde(rename = "type")]
    pub kind: Box<str>,
}

impl ProblemBody {
    /// Writes a problem out.
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

    /// Reads the problem back.
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
