//! A request of a caller.

use crate::directory::Route;
use crate::key::{AttemptKey, RequestTag, UpstreamKey};
use crate::time::Millis;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// It waits for an upstream that takes it.
    Waiting,
    /// An attempt runs.
    Running(AttemptKey),
    /// Its body is being decoded as a batch job.
    Reading,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The exchange.
    pub tag: RequestTag,
    /// The name in logs.
    pub trace: Box<str>,
    /// The route that it came in by.
    pub route: Route,
    /// The service drawn for it.
    pub service: Box<str>,
    /// When it came.
    pub opened: Millis,
    /// When it must be answered at the latest: the route's time-out or the caller's patience.
    pub until: Millis,
    /// Where it stands.
    pub state: RequestState,
    /// The attempts so far.
    pub attempts: u32,
    /// The upstreams tried so far.
    pub tried: Vec<UpstreamKey>,
    /// Whether an upstream may have run it.
    pub maybe_ran: bool,
    /// Whether the shell holds a failure that an upstream answered with.
    pub held: bool,
    /// What the last failed attempt said.
    pub last_failure: Box<str>,
}
