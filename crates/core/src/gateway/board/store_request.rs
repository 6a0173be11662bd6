//! Requests to store hosts, on the host that sends them and on the one that handles them.

use crate::gateway::message::StoreRequest;
use crate::key::{HostId, RequestTag, StoreRequestKey};
use crate::time::Millis;

/// The sender of a store request, which waits for the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This host, with the key of its pending request.
    Local(StoreRequestKey),
    /// Another host.
    Remote {
        /// The host.
        host: HostId,
        /// Its boot id.
        boot_id: u64,
        /// Its key of the request.
        key: u64,
    },
}

/// The state of a pending store request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRequestState {
    /// To be sent at the given time.
    Due(Millis),
    /// Sent at the given time, to the given host or, where it is `None`, to this host itself.
    Sent(Option<HostId>, Millis),
}

/// A store request that this host has sent or will send.
#[derive(Debug, Clone)]
pub struct PendingStoreRequest {
    /// The exchange that waits for the reply.
    pub tag: RequestTag,
    /// The name of the request in log lines.
    pub trace: Box<str>,
    /// The request.
    pub request: StoreRequest,
    /// When it was created.
    pub opened: Millis,
    /// When the exchange must be answered at the latest.
    pub until: Millis,
    /// The state.
    pub state: StoreRequestState,
    /// Number of times that it was sent.
    pub sends: u32,
    /// The hosts that did not reply, or could not determine the answer, in order.
    pub tried: Vec<HostId>,
    /// Whether a host may have carried it out without confirming it.
    pub maybe_done: bool,
}

impl PendingStoreRequest {
    /// Creates a request that is to be sent at once.
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

/// A store request that this host must handle.
#[derive(Debug, Clone)]
pub struct PendingDecision {
    /// The sender, which waits for the reply.
    pub origin: Origin,
    /// The request.
    pub request: StoreRequest,
}

/// A read of a job's results that waits for the first of them.
#[derive(Debug, Clone)]
pub struct ResultsReader {
    /// The sender, which waits for the reply.
    pub origin: Origin,
    /// The job.
    pub job: Box<str>,
    /// The workspace of the caller, or `None` if it has none.
    pub workspace: Option<Box<str>>,
    /// The first requested position.
    pub after: u32,
    /// When it is answered with an empty page if there is still no result.
    pub until: Millis,
}
