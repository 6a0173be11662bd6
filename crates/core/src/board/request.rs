//! Requests on the board.

use serde::{Deserialize, Serialize};

use crate::agreement::GroupId;
use crate::event::Call;
use crate::key::{AttemptKey, HostId, RequestTag, ServiceKey, UpstreamKey, ZoneKey};
use crate::message::SampleJob;
use crate::records::IntentKey;
use crate::time::Millis;

/// How long a call waits for the leader that is to decide it.
pub const LEADER_TIMEOUT: Millis = Millis(5_000);

/// The least time between two looks for that leader.
pub const LEADER_POLL_INTERVAL: Millis = Millis(50);

/// The two classes of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Someone waits at a counter.
    Interactive,
    /// A trainer waits for a step.
    Rollout,
}

/// Where a request comes from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// An exchange with a caller, trainer or operator.
    Exchange(RequestTag),
    /// A sample, for the host that leads the zone.
    Sample(SampleJob, HostId),
}

/// Where a request is to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// To an upstream of this zone.
    Upstream,
    /// To a host of another zone, which has upstreams of the service.
    Zone(ZoneKey),
    /// To the leader of a group, in a zone or of the fleet.
    Leader(GroupId, ZoneKey),
    /// Nowhere: it is decided here.
    #[serde(rename = "here")]
    Local,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// It waits for an upstream with room.
    Queued,
    /// It waits before the next attempt.
    Backoff(Millis),
    /// An attempt runs.
    Running(AttemptKey),
    /// It waits for the log, or for samples.
    #[serde(rename = "deciding")]
    Pending,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Request {
    /// Where it comes from.
    pub origin: Origin,
    /// Its name on the time line.
    pub trace: Box<str>,
    /// What is asked, for calls that are decided by a group.
    pub call: Option<Call>,
    /// Its service.
    pub service: Option<ServiceKey>,
    /// Its class.
    pub class: Class,
    /// Where it goes.
    pub route: Route,
    /// Where it stands.
    pub state: RequestState,
    /// When it arrived.
    pub arrived: Millis,
    /// When whoever asked stops waiting.
    pub deadline: Millis,
    /// Attempts so far.
    pub attempts: u32,
    /// Tokens that the caller has been sent.
    #[serde(rename = "sent")]
    pub tokens_sent: u32,
    /// Whether it may be run again by an upstream.
    pub idempotent: bool,
    /// Whether an upstream or host may have run it.
    pub maybe_ran: bool,
    /// The key under which it is recorded, where this host owns its one run.
    pub intent: Option<IntentKey>,
    /// How many hosts have handed it on.
    pub hops: u8,
    /// The upstream that failed it last.
    pub avoid: Option<UpstreamKey>,
}

impl Request {
    /// Makes a request that is decided here.
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

    /// Sets the service and class; the default is none.
    #[must_use]
    pub fn service(mut self, service: ServiceKey, class: Class) -> Self {
        self.service = Some(service);
        self.class = class;
        self
    }

    /// Sets where it goes; the default is that it is decided here.
    #[must_use]
    pub fn route(mut self, route: Route) -> Self {
        self.route = route;
        self
    }

    /// Sets what is asked; the default is none.
    #[must_use]
    pub fn call(mut self, call: Call) -> Self {
        self.call = Some(call);
        self
    }

    /// Sets whether it may be run again; the default is yes.
    #[must_use]
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets how many hosts have handed it on; the default is none.
    #[must_use]
    pub fn hops(mut self, hops: u8) -> Self {
        self.hops = hops;
        self
    }

    /// Sets whether an upstream or host may have run it; the default is no.
    #[must_use]
    pub fn maybe_ran(mut self, maybe_ran: bool) -> Self {
        self.maybe_ran = maybe_ran;
        self
    }

    /// Returns the exchange, where it comes from one.
    #[must_use]
    pub fn tag(&self) -> Option<RequestTag> {
        match self.origin {
            Origin::Exchange(tag) => Some(tag),
            Origin::Sample(..) => None,
        }
    }
}
