//! The operators' routing configuration: one versioned document.

use std::collections::BTreeSet;
use std::fmt::{Display, Formatter};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// A routing configuration, decoded, beside the document that the operator sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingConfig {
    /// The version; the highest is in force.
    pub version: u64,
    /// The document as it was sent, to be read back.
    pub document: Bytes,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: RequestLimits,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// The name.
    pub name: Box<str>,
    /// The `Host` of its requests.
    pub host: Box<str>,
    /// What the path of its requests begins with.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// The time within which an answer is worth most.
    #[serde(rename = "objective")]
    pub latency_objective: Millis,
    /// The rank; zero is the most urgent.
    pub priority: u32,
    /// The services that may run its requests.
    pub targets: Vec<Target>,
    /// The most upstreams that one request is sent to; for items of jobs, the most failed runs.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// How long after its acceptance an item of a job may be given up.
    #[serde(rename = "give_up")]
    pub give_up_after: Millis,
    /// How long after its acceptance a job's results are due.
    #[serde(rename = "due")]
    pub due_after: Millis,
    /// Whether all tokens of an item come from one weight version.
    pub single_version: bool,
    /// Whether a stream can be taken up again at another upstream.
    pub resumable: bool,
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Streams of events; they may run at most once, unless the route is resumable.
    Stream,
    /// Batch jobs.
    Batch,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// The service.
    pub service: Box<str>,
    /// The share, against the other targets' weights.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSpec {
    /// The name.
    pub name: Box<str>,
    /// The most connections that one of its upstreams takes from all hosts together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// What its upstreams are like where they are model engines.
    pub engine: Option<EngineSpec>,
}

/// The model engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineSpec {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Tokens that the requests of one engine can hold in its memory together.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// The models that its engines run.
    pub models: Vec<Box<str>>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestLimits {
    /// The longest head of a request, in bytes.
    pub head_bytes: u64,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
}

/// Why a configuration can't be put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingError {
    /// A route names a service that the configuration does not have.
    UnknownService {
        /// The route.
        route: Box<str>,
        /// The service.
        service: Box<str>,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// The second route.
        route: Box<str>,
    },
    /// The weights of a route's targets add up to zero.
    ZeroWeight {
        /// The route.
        route: Box<str>,
    },
    /// A route has a time-out of zero.
    ZeroTimeout {
        /// The route.
        route: Box<str>,
    },
    /// A prefix does not begin and end with a slash.
    InvalidPrefix {
        /// The route.
        route: Box<str>,
    },
}

impl Display for RoutingError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: there is no service {service}")
            }
            Self::DuplicateRoute { route } => {
                write!(f, "route {route}: another route has the same host and prefix")
            }
            Self::ZeroWeight { route } => write!(f, "route {route}: the weights add up to 0"),
            Self::ZeroTimeout { route } => write!(f, "route {route}: the time-out is 0"),
            Self::InvalidPrefix { route } => {
                write!(f, "route {route}: the prefix must begin and end with a slash")
            }
        }
    }
}

impl std::error::Error for RoutingError {}

impl RoutingConfig {
    /// Checks what can be told from the configuration alone.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), RoutingError> {
        let services: BTreeSet<&str> = self.services.iter().map(|spec| &*spec.name).collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if !places.insert((&*route.host, &*route.prefix)) {
                return Err(RoutingError::DuplicateRoute { route: name() });
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(RoutingError::InvalidPrefix { route: name() });
            }
            if route.timeout == Millis(0) {
                return Err(RoutingError::ZeroTimeout { route: name() });
            }
            let unknown = route.targets.iter().find(|target| !services.contains(&*target.service));
            if let Some(target) = unknown {
                let service = target.service.clone();
                return Err(RoutingError::UnknownService { route: name(), service });
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                return Err(RoutingError::ZeroWeight { route: name() });
            }
        }
        Ok(())
    }

    /// Finds the route of a host and path: the one with the longest prefix.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.iter().filter(|route| &*route.host == host);
        of_host.filter(|route| path.starts_with(&*route.prefix)).max_by_key(|r| r.prefix.len())
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|spec| &*spec.name == name)
    }
}

impl RouteKind {
    /// Tells whether a request that may have run may be sent again.
    #[must_use]
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}
