//! Questions between hosts.

use crate::gateway::message::StoreRequest;
use crate::key::{HostId, RequestTag, StoreRequestKey};
use crate::time::Millis;

/// Who waits for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A question of this host.
    Local(StoreRequestKey),
    /// Another host.
    Remote {
        /// The host.
        host: HostId,
        /// Its process.
        boot_id: u64,
        /// Its name for the question.
        key: u64,
    },
}

/// Where a question stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRequestState {
    /// To be sent at a time.
    Due(Millis),
    /// Sent to a host, or given to this one where it is none, at a time.
    Sent(Option<HostId>, Millis),
}

/// A question that this host has to get answered.
#[derive(Debug, Clone)]
pub struct PendingStoreRequest {
    /// The exchange that waits for it.
    pub tag: RequestTag,
    /// The name in logs.
    pub trace: Box<str>,
    /// The question.
    pub request: StoreRequest,
    /// When it came.
    pub opened: Millis,
    /// When the exchange must be answered at the latest.
    pub until: Millis,
    /// Where it stands.
    pub state: StoreRequestState,
    /// How often it was sent.
    pub sends: u32,
    /// The hosts that did not answer or could not, in order.
    pub tried: Vec<HostId>,
    /// Whether a host that did not answer may have carried it out.
    pub maybe_done: bool,
}

impl PendingStoreRequest {
    /// Makes a question that is due at once.
    #[must_use]
    pub fn new(
        tag: RequestTag,
        trace: Box<str>,
        request: StoreRequest,
        now: Millis,
        until: Millis,
    ) -> Self {
        Self {
            tag,
            trace,
            request,
            opened: now,
            until,
            state: StoreRequestState::Due(now),
            sends: 0,
            tried: Vec::new(),
            maybe_done: false,
        }
    }
}

/// A question that this host is to decide.
#[derive(Debug, Clone)]
pub struct PendingDecision {
    /// Who waits.
    pub origin: Origin,
    /// The question.
    pub request: StoreRequest,
}

/// Somebody who waits for results of a job.
#[derive(Debug, Clone)]
pub struct ResultsReader {
    /// Who waits.
    pub origin: Origin,
    /// The job.
    pub job: Box<str>,
    /// The first position wanted.
    pub after: u32,
    /// When an empty page is the answer.
    pub until: Millis,
}
