//! The operators' routing configuration, a versioned document.

use std::collections::BTreeSet;
use std::fmt::{Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::directory::{ConfigDocument, ScalingSpec, Workspace, WorkspaceError, workspace};
use crate::time::Millis;

/// A decoded routing configuration, with the document that the operator sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingConfig {
    /// The version. The configuration with the highest version is in force.
    pub version: u64,
    /// The document as it was sent; operators read it back.
    pub document: ConfigDocument,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that the routes refer to.
    pub services: Vec<ServiceSpec>,
    /// The limits on the requests of callers.
    pub limits: RequestLimits,
    /// The workspaces; if there are any, requests need a key unless their route is public.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
}

impl RoutingConfig {
    /// Returns the approximate size of the configuration in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        // A message carries the document and the configuration that was decoded from it.
        2 * self.document.expose().len()
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// The name.
    pub name: Box<str>,
    /// The `Host` header of its requests.
    pub host: Box<str>,
    /// The path prefix of its requests.
    pub prefix: Box<str>,
    /// The kind of its requests, which decides whether they may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller waits for a response.
    pub timeout: Millis,
    /// The response time that the operator aims for.
    #[serde(rename = "objective")]
    pub latency_objective: Millis,
    /// The priority; zero is the highest.
    pub priority: u32,
    /// The services that may run its requests.
    pub targets: Vec<Target>,
    /// The most upstreams that one request is sent to. For items of batch jobs, the number of failed
    /// runs after which an item is given up.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// How long after a job's acceptance its unfinished items may be given up.
    #[serde(rename = "give_up")]
    pub give_up_after: Millis,
    /// How long after a job's acceptance its results are due.
    #[serde(rename = "due")]
    pub due_after: Millis,
    /// Whether all tokens of an item must come from one weight version.
    pub single_version: bool,
    /// Whether a stream can be resumed at another upstream.
    pub resumable: bool,
    /// Whether its requests need no key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// The kind of the requests of a route.
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

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// The service.
    pub service: Box<str>,
    /// The weight, relative to those of the other targets.
    pub weight: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSpec {
    /// The name.
    pub name: Box<str>,
    /// The most connections from all hosts together to one of its upstreams.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// The properties of its engines, or `None` if its upstreams run no model.
    pub engine: Option<EngineSpec>,
    /// How the number of its upstreams may change, or `None` if it is fixed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scaling: Option<ScalingSpec>,
}

/// The model engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineSpec {
    /// The number of requests that one engine runs at a time.
    pub slots: u32,
    /// The number of tokens that fit into the memory of one engine, for all its requests together.
    pub memory_tokens: u64,
    /// The number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// The models that the engines run.
    pub models: Vec<Box<str>>,
}

/// The limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: u64,
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
}

/// The reason why a routing configuration is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingError {
    /// A route names a service that the configuration does not define.
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
    /// The timeout of a route is zero.
    ZeroTimeout {
        /// The route.
        route: Box<str>,
    },
    /// A prefix does not begin and end with a slash.
    InvalidPrefix {
        /// The route.
        route: Box<str>,
    },
    /// The workspaces are not valid.
    InvalidWorkspace(WorkspaceError),
    /// The least number of a service's upstreams is greater than the greatest.
    InvalidScaling {
        /// The service.
        service: Box<str>,
    },
}

impl Display for RoutingError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: service {service} is not defined")
            }
            Self::DuplicateRoute { route } => {
                write!(f, "route {route}: another route has the same host and prefix")
            }
            Self::ZeroWeight { route } => {
                write!(f, "route {route}: the weights of all targets are 0")
            }
            Self::ZeroTimeout { route } => write!(f, "route {route}: the timeout is 0"),
            Self::InvalidPrefix { route } => {
                write!(f, "route {route}: the prefix must begin and end with a slash")
            }
            Self::InvalidWorkspace(error) => write!(f, "{error}"),
            Self::InvalidScaling { service } => {
                write!(f, "service {service}: the minimum of scaling exceeds the maximum")
            }
        }
    }
}

impl std::error::Error for RoutingError {}

impl RoutingConfig {
    /// Checks that the configuration is consistent in itself.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), RoutingError> {
        self.errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns all errors of the configuration.
    #[must_use]
    pub fn errors(&self) -> Vec<RoutingError> {
        let mut errors = Vec::new();
        let services: BTreeSet<&str> = self.services.iter().map(|spec| &*spec.name).collect();
        for spec in &self.services {
            if spec.scaling.as_ref().is_some_and(|scaling| scaling.min > scaling.max) {
                errors.push(RoutingError::InvalidScaling { service: spec.name.clone() });
            }
        }
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if !seen.insert((&*route.host, &*route.prefix)) {
                errors.push(RoutingError::DuplicateRoute { route: name() });
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                errors.push(RoutingError::InvalidPrefix { route: name() });
            }
            if route.timeout == Millis(0) {
                errors.push(RoutingError::ZeroTimeout { route: name() });
            }
            for target in &route.targets {
                if services.contains(&*target.service) {
                    continue;
                }
                let service = target.service.clone();
                errors.push(RoutingError::UnknownService { route: name(), service });
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                errors.push(RoutingError::ZeroWeight { route: name() });
            }
        }
        let of_workspaces = workspace::errors(&self.workspaces);
        errors.extend(of_workspaces.into_iter().map(RoutingError::InvalidWorkspace));
        errors
    }

    /// Returns the route of a host and path: the one with the longest matching prefix.
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
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}
