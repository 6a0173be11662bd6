//! Questions between hosts.

use crate::gateway::message::Ask;
use crate::key::{HostId, RequestTag, StoreRequestKey};
use crate::time::Millis;

/// Who waits for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A question of this host.
    Own(StoreRequestKey),
    /// Another host.
    Host {
        /// The host.
        host: HostId,
        /// Its process.
        life: u64,
        /// Its name for the question.
        key: u64,
    },
}

/// Where a question stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskState {
    /// To be sent at a time.
    Due(Millis),
    /// Sent to a host, or given to this one where it is none, at a time.
    Sent(Option<HostId>, Millis),
}

/// A question that this host has to get answered.
#[derive(Debug, Clone)]
pub struct PendingAsk {
    /// The exchange that waits for it.
    pub tag: RequestTag,
    /// The name in logs.
    pub trace: Box<str>,
    /// The question.
    pub ask: Ask,
    /// When it came.
    pub opened: Millis,
    /// When the exchange must be answered at the latest.
    pub until: Millis,
    /// Where it stands.
    pub state: AskState,
    /// How often it was sent.
    pub sends: u32,
    /// The hosts that did not answer or could not, in order.
    pub tried: Vec<HostId>,
    /// Whether a host that did not answer may have carried it out.
    pub maybe_done: bool,
}

impl PendingAsk {
    /// Makes a question that is due at once.
    #[must_use]
    pub fn new(tag: RequestTag, trace: Box<str>, ask: Ask, now: Millis, until: Millis) -> Self {
        Self {
            tag,
            trace,
            ask,
            opened: now,
            until,
            state: AskState::Due(now),
            sends: 0,
            tried: Vec::new(),
            maybe_done: false,
        }
    }
}

/// A question that this host is to decide.
#[derive(Debug, Clone)]
pub struct Decision {
    /// Who waits.
    pub origin: Origin,
    /// The question.
    pub ask: Ask,
}

/// Somebody who waits for results of a job.
#[derive(Debug, Clone)]
pub struct Reader {
    /// Who waits.
    pub origin: Origin,
    /// The job.
    pub job: Box<str>,
    /// The first position wanted.
    pub after: u32,
    /// When an empty page is the answer.
    pub until: Millis,
}
