//! The running attempts at upstreams.

use crate::key::{ItemKey, RequestKey, UpstreamKey};
use crate::time::Millis;

/// The purpose of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Forwards a request of a caller.
    Request(RequestKey),
    /// Runs an item of a job.
    Item(ItemKey),
    /// Requests the score of an item's text.
    Reward(ItemKey),
}

/// A running attempt at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The purpose.
    pub purpose: Purpose,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The number of the upstream's incarnation; the upstream may be removed before the attempt ends.
    pub incarnation: u64,
    /// When it started.
    pub started: Millis,
    /// Number of tokens that it reserves in the upstream's memory.
    pub tokens: u64,
    /// Whether another host relays its connection.
    pub relayed: bool,
}
