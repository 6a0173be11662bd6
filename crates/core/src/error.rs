//! The closed set of error kinds, and the table that maps each to its answer.

use serde::{Deserialize, Serialize};

/// Whether the request that ended with an error has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No upstream ran the request.
    No,
    /// An upstream ran the request.
    Yes,
    /// An upstream may have run the request.
    Unknown,
}

/// Every kind of error that a caller, trainer, upstream or operator can receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The body is not valid for the call.
    BadRequest,
    /// The body is larger than the host's limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    SlowSender,
    /// The path does not exist.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// No upstream of this service is known in any zone.
    UnknownService,
    /// A call to a non-idempotent service has no `Idempotency-Key`.
    KeyRequired,
    /// The `Idempotency-Key` was used before with another body.
    KeyReused,
    /// The queue is full, or the host is at one of its limits.
    Overloaded,
    /// The deadline passed, or can no longer be met.
    DeadlineExceeded,
    /// The host is starting or stopping and accepts no new work.
    NotReady,
    /// The zone that must decide this can't be reached or has no leader.
    HomeUnreachable,
    /// The upstream failed, and the request may not be sent again.
    UpstreamFailed,
    /// The upstream disconnected while it ran the request; the outcome is not known.
    OutcomeUnknown,
    /// The change is not valid, or gives no reason.
    ChangeInvalid,
    /// Too few hosts would remain to operate.
    TooFewHosts,
    /// No upstream accepted the request.
    Unavailable,
    /// The request has no key, or its key is not known.
    Unauthorized,
    /// The id belongs to something that the caller may not change.
    IdTaken,
}

/// The answer to a caller for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The one-line title of the problem document.
    pub title: &'static str,
    /// Whether the caller may retry the same request later.
    pub retryable: bool,
}

const TABLE: [(ErrorKind, u16, &str, bool); 19] = [
    (ErrorKind::BadRequest, 400, "The request can't be read", false),
    (ErrorKind::BodyTooLarge, 413, "The body is too large", false),
    (ErrorKind::SlowSender, 408, "The body did not arrive in time", true),
    (ErrorKind::NotFound, 404, "There is no such resource", false),
    (ErrorKind::MethodNotAllowed, 405, "The method is not allowed here", false),
    (ErrorKind::UnknownService, 404, "The service is not known", true),
    (ErrorKind::KeyRequired, 400, "An Idempotency-Key is required", false),
    (ErrorKind::KeyReused, 422, "The Idempotency-Key belongs to another body", false),
    (ErrorKind::Overloaded, 429, "The host is at its limit", true),
    (ErrorKind::DeadlineExceeded, 504, "The deadline passed", true),
    (ErrorKind::NotReady, 503, "The host is starting or stopping", true),
    (ErrorKind::HomeUnreachable, 503, "The deciding zone can't be reached", true),
    (ErrorKind::UpstreamFailed, 502, "The upstream failed", true),
    (ErrorKind::OutcomeUnknown, 502, "The outcome is not known", false),
    (ErrorKind::ChangeInvalid, 422, "The change is not valid", false),
    (ErrorKind::TooFewHosts, 409, "Too few hosts would remain", false),
    (ErrorKind::Unavailable, 503, "No upstream took the request", true),
    (ErrorKind::Unauthorized, 401, "A known key is required", false),
    (ErrorKind::IdTaken, 409, "The id is in use", false),
];

impl ErrorKind {
    /// Returns every kind, in the order of the table.
    pub fn all() -> impl Iterator<Item = Self> {
        TABLE.iter().map(|row| row.0)
    }

    /// Returns the answer for the kind, from the table.
    #[must_use]
    pub fn answer(self) -> ErrorAnswer {
        for (kind, status, title, retry) in TABLE {
            if kind != self {
                continue;
            }
            return ErrorAnswer { status, title, retryable: retry };
        }
        ErrorAnswer { status: 500, title: "The kind is missing from the table", retryable: false }
    }
}

/// One error, as reported to the client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Problem {
    /// The kind, from the closed set.
    pub kind: ErrorKind,
    /// Whether the request ran.
    pub ran: Ran,
    /// What was wrong, for the reader.
    pub detail: Box<str>,
    /// The delay before a retry, in milliseconds; `None` if there is no hint.
    pub retry_after_ms: Option<u64>,
}

/// The longest detail of a problem, in bytes: it goes into an answer and a log line, and may quote the
/// request.
const MAX_DETAIL_BYTES: usize = 500;

impl Problem {
    /// Creates the error of a request that did not run; a detail that is too long is cut off.
    #[must_use]
    pub fn not_run(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        let mut detail = detail.into();
        if detail.len() > MAX_DETAIL_BYTES {
            let ends = detail.char_indices().map(|(at, _)| at);
            let end = ends.take_while(|at| *at <= MAX_DETAIL_BYTES).last().unwrap_or_default();
            detail = format!("{}...", &detail[..end]).into();
        }
        Self { kind, ran: Ran::No, detail, retry_after_ms: None }
    }

    /// Creates the error of a request that may have run.
    #[must_use]
    pub fn unknown(detail: impl Into<Box<str>>) -> Self {
        let kind = ErrorKind::OutcomeUnknown;
        Self { kind, ran: Ran::Unknown, detail: detail.into(), retry_after_ms: None }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the hint for the delay before a retry; the default is none.
    #[must_use]
    pub fn retry_after(mut self, after: crate::Millis) -> Self {
        self.retry_after_ms = Some(after.0);
        self
    }
}
