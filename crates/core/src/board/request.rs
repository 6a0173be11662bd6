//! Requests that a host holds.

use serde::{Deserialize, Serialize};

use crate::agreement::GroupId;
use crate::event::Call;
use crate::key::{AttemptKey, HostId, RequestTag, ServiceKey, UpstreamKey, ZoneKey};
use crate::message::SampleJob;
use crate::records::IntentKey;
use crate::time::Millis;

/// How long a call waits for the leader that decides it.
pub const LEADER_TIMEOUT: Millis = Millis(5_000);

/// The shortest delay between two attempts to find that leader.
pub const LEADER_POLL_INTERVAL: Millis = Millis(50);

/// The class of a request, which sets its priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// A trainer waits for the samples of a step.
    Rollout,
}

/// The origin of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// An exchange with a caller, trainer or operator.
    Exchange(RequestTag),
    /// A sample, with the host that assigned it.
    Sample(SampleJob, HostId),
}

/// The destination of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// An upstream of this zone.
    Upstream,
    /// A host of another zone that has upstreams of the service.
    Zone(ZoneKey),
    /// The leader of a group: the zone group of the given zone, or the fleet group.
    Leader(GroupId, ZoneKey),
    /// None: this host decides it.
    #[serde(rename = "here")]
    Local,
}

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// It waits for an upstream with free capacity.
    Queued,
    /// It waits until the given time before its next attempt.
    Backoff(Millis),
    /// An attempt is in progress.
    Running(AttemptKey),
    /// It waits for a command to be committed, or for samples.
    #[serde(rename = "deciding")]
    Pending,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Request {
    /// Its origin.
    pub origin: Origin,
    /// Its name on the timeline.
    pub trace: Box<str>,
    /// The call; set for calls that a group decides.
    pub call: Option<Call>,
    /// Its service; `None` for calls that need none.
    pub service: Option<ServiceKey>,
    /// Its class.
    pub class: Class,
    /// Its destination.
    pub route: Route,
    /// Its state.
    pub state: RequestState,
    /// When it arrived, on the monotonic clock.
    pub arrived: Millis,
    /// When its sender stops waiting, on the monotonic clock.
    pub deadline: Millis,
    /// The attempts made so far.
    pub attempts: u32,
    /// The tokens sent to the caller so far.
    #[serde(rename = "sent")]
    pub tokens_sent: u32,
    /// Whether an upstream may run it more than once.
    pub idempotent: bool,
    /// Whether an upstream or another host may have run it.
    pub maybe_ran: bool,
    /// The key under which it is recorded; `None` unless this host owns its only run.
    pub intent: Option<IntentKey>,
    /// How many hosts have forwarded it.
    pub hops: u8,
    /// The upstream of its last failed attempt, avoided by the next one.
    pub avoid: Option<UpstreamKey>,
}

impl Request {
    /// Creates a request that this host decides.
    #[must_use]
    pub fn new(origin: Origin, trace: impl Into<Box<str>>, now: Millis, deadline: Millis) -> Self {
        Self {
            origin,
            trace: trace.into(),
            call: None,
            service: None,
            class: Class::Interactive,
            route: Route::Local,
            state: RequestState::Pending,
            arrived: now,
            deadline,
            attempts: 0,
            tokens_sent: 0,
            idempotent: true,
            maybe_ran: false,
            intent: None,
            hops: 0,
            avoid: None,
        }
    }

    /// Sets the service and class; the default is no service, in class interactive.
    #[must_use]
    pub fn service(mut self, service: ServiceKey, class: Class) -> Self {
        self.service = Some(service);
        self.class = class;
        self
    }

    /// Sets the destination; the default is [`Route::Local`].
    #[must_use]
    pub fn route(mut self, route: Route) -> Self {
        self.route = route;
        self
    }

    /// Sets the call; the default is none.
    #[must_use]
    pub fn call(mut self, call: Call) -> Self {
        self.call = Some(call);
        self
    }

    /// Sets whether an upstream may run it more than once; the default is yes.
    #[must_use]
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets how many hosts have forwarded it; the default is 0.
    #[must_use]
    pub fn hops(mut self, hops: u8) -> Self {
        self.hops = hops;
        self
    }

    /// Sets whether an upstream or another host may have run it; the default is no.
    #[must_use]
    pub fn maybe_ran(mut self, maybe_ran: bool) -> Self {
        self.maybe_ran = maybe_ran;
        self
    }

    /// Returns the exchange that it comes from; `None` for samples.
    #[must_use]
    pub fn tag(&self) -> Option<RequestTag> {
        match self.origin {
            Origin::Exchange(tag) => Some(tag),
            Origin::Sample(..) => None,
        }
    }
}
