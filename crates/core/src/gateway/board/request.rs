//! Callers' requests, on an entry host.

use crate::directory::Route;
use crate::gateway::board::{InstanceId, StreamOrigin};
use crate::key::{AttemptKey, Fingerprint, RequestTag, UpstreamKey};
use crate::time::Millis;

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// Waits for a free upstream.
    Waiting,
    /// Runs in the given attempt.
    Running(AttemptKey),
    /// Waits for its body to be decoded as a batch job.
    Reading,
    /// Waits for the origin of the stream that it takes up.
    Searching,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// The exchange.
    pub tag: RequestTag,
    /// The name of the request in log lines.
    pub trace: Box<str>,
    /// Identifies the request when it comes again, here or at another host.
    pub fingerprint: Fingerprint,
    /// The route that it matched.
    pub route: Route,
    /// The workspace of the caller, or `None` if it has none.
    pub workspace: Option<Box<str>>,
    /// Whether the caller's key and its name of a workspace are removed before the request is sent.
    pub strips_key: bool,
    /// The priority: that of the workspace, or else that of the route; zero is the highest.
    pub priority: u32,
    /// The service chosen from the route's targets.
    pub service: Box<str>,
    /// The stream that it takes up, by the id of the attempt that began it; empty if the caller names none,
    /// and `None` if it takes none up.
    pub resumes: Option<Box<str>>,
    /// Where that stream began; `None` if it is not known.
    pub origin: Option<StreamOrigin>,
    /// The instances that can continue the stream, as the store knows them that told the origin; `None`
    /// if it named none.
    pub continuing: Option<Vec<InstanceId>>,
    /// When it arrived.
    pub opened: Millis,
    /// When it must be answered at the latest: after the route's time-out or the caller's wait
    /// limit, whichever is shorter.
    pub until: Millis,
    /// The state.
    pub state: RequestState,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The upstreams tried so far.
    pub tried: Vec<UpstreamKey>,
    /// Whether no connection could be opened for one of its attempts.
    pub unsent: bool,
    /// Whether an upstream may have run it.
    pub maybe_ran: bool,
    /// Whether the shell holds a failure that an upstream answered with.
    pub held: bool,
    /// The cause of the last failed attempt; empty before the first.
    pub last_failure: Box<str>,
}
