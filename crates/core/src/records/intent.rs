//! Records of non-idempotent requests.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::key::HostId;

/// The key of a non-idempotent request: caller, service and `Idempotency-Key`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct IntentKey {
    /// The caller. It keeps equal keys of two callers apart.
    pub caller: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The caller's `Idempotency-Key`.
    pub key: Box<str>,
}

/// The outcome of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The upstream answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: Box<str>,
        /// The body.
        body: Arc<[u8]>,
    },
    /// It provably never reached an upstream. The key can be used again.
    NotRun,
    /// It may have run, so it is never dispatched again.
    Unknown,
}

/// The state of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The owner may dispatch it, or has dispatched it.
    Intended,
    /// It has ended.
    Ended(Outcome),
}

/// The record of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Intent {
    /// A checksum of the request.
    pub fingerprint: u64,
    /// The only host that may dispatch it.
    pub owner: HostId,
    /// The boot id of the owner's process.
    #[serde(rename = "life")]
    pub owner_boot_id: u64,
    /// The state of the request.
    pub state: IntentState,
}
