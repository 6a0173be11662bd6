//! The review of a routing configuration before it is sent: its errors, and what is likely a mistake.

use std::collections::BTreeSet;
use std::fmt::{Display, Formatter};

use crate::directory::{Route, RouteKind, RoutingConfig, RoutingError, ServiceSpec};
use crate::time::Millis;

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration is accepted, but is likely not what was meant.
    Warning,
    /// The configuration is refused or does not come into force.
    Error,
}

/// A limit on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestLimit {
    /// [`crate::directory::RequestLimits::head_bytes`].
    HeadBytes,
    /// [`crate::directory::RequestLimits::body_bytes`].
    BodyBytes,
    /// [`crate::directory::RequestLimits::idle_timeout`].
    IdleTimeout,
}

/// A finding of a review. No finding contains a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The configuration is refused.
    Invalid(RoutingError),
    /// The version is not above the one in force, so it is acknowledged without any effect.
    StaleVersion {
        /// The version.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The host of a route has a port, which is removed from a request's host before it is matched.
    HostWithPort {
        /// The route.
        route: Box<str>,
        /// The host.
        host: Box<str>,
    },
    /// The host of a route has upper-case letters, and is matched exactly.
    HostWithUpperCase {
        /// The route.
        route: Box<str>,
        /// The host.
        host: Box<str>,
    },
    /// The prefix of a route has a character that no path contains.
    UnmatchablePrefix {
        /// The route.
        route: Box<str>,
    },
    /// A target has weight 0 beside others and gets no requests.
    UnusedTarget {
        /// The route.
        route: Box<str>,
        /// The service.
        service: Box<str>,
    },
    /// The timeout of a route is shorter than its latency objective.
    TimeoutBelowObjective {
        /// The route.
        route: Box<str>,
        /// The timeout.
        timeout: Millis,
        /// The latency objective.
        objective: Millis,
    },
    /// Items of a route's jobs are given up before their results are due.
    GivenUpBeforeDue {
        /// The route.
        route: Box<str>,
        /// After how long items are given up.
        give_up_after: Millis,
        /// After how long results are due.
        due_after: Millis,
    },
    /// The most attempts of a route are 0, which counts as 1.
    ZeroAttempts {
        /// The route.
        route: Box<str>,
    },
    /// Two services have the same name; the second is ignored.
    DuplicateService {
        /// The service.
        service: Box<str>,
    },
    /// No route has the service as a target.
    UnusedService {
        /// The service.
        service: Box<str>,
    },
    /// One event of an item has more tokens than fit into an engine's memory.
    EventExceedsMemory {
        /// The service.
        service: Box<str>,
    },
    /// No upstream may be ordered for a service that a route uses.
    ScaledToZero {
        /// The service.
        service: Box<str>,
    },
    /// A limit is 0.
    ZeroLimit(RequestLimit),
    /// All workspaces have the same priority, so the different priorities of routes have no effect on
    /// requests with a key.
    PrioritiesReplaced {
        /// The priority of the workspaces.
        priority: u32,
    },
}

impl Finding {
    /// Returns how serious the finding is.
    #[must_use]
    pub fn severity(&self) -> Severity {
        match self {
            Self::Invalid(_) | Self::StaleVersion { .. } => Severity::Error,
            _ => Severity::Warning,
        }
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Invalid(error) => write!(f, "{error}"),
            Self::StaleVersion { version, in_force } => write!(
                f,
                "version {version} is not above version {in_force}, which is in force: it would be \
                 acknowledged without any effect"
            ),
            Self::HostWithPort { route, host } => write!(
                f,
                "route {route}: never matches, as requests are matched without a port: {host}"
            ),
            Self::HostWithUpperCase { route, host } => {
                write!(f, "route {route}: only matches a host in the same letter case: {host}")
            }
            Self::UnmatchablePrefix { route } => {
                write!(f, "route {route}: the prefix has a character that no path contains")
            }
            Self::UnusedTarget { route, service } => {
                write!(f, "route {route}: service {service} gets no requests, its weight is 0")
            }
            Self::TimeoutBelowObjective { route, timeout, objective } => write!(
                f,
                "route {route}: the timeout of {} ms is shorter than the latency objective of {} ms",
                timeout.0, objective.0
            ),
            Self::GivenUpBeforeDue { route, give_up_after, due_after } => write!(
                f,
                "route {route}: items may be given up after {} ms, before they are due after {} ms",
                give_up_after.0, due_after.0
            ),
            Self::ZeroAttempts { route } => {
                write!(f, "route {route}: 0 attempts count as 1")
            }
            Self::DuplicateService { service } => {
                write!(f, "service {service}: only the first service of this name is used")
            }
            Self::UnusedService { service } => write!(f, "service {service}: no route uses it"),
            Self::EventExceedsMemory { service } => write!(
                f,
                "service {service}: one event has more tokens than fit into the memory of an engine"
            ),
            Self::ScaledToZero { service } => write!(
                f,
                "service {service}: the maximum of scaling is 0, but routes use the service"
            ),
            Self::ZeroLimit(limit) => f.write_str(match limit {
                RequestLimit::HeadBytes => "limits: the largest head of a request is 0 bytes",
                RequestLimit::BodyBytes => "limits: the largest body of a request is 0 bytes",
                RequestLimit::IdleTimeout => "limits: the time that a connection may be idle is 0",
            }),
            Self::PrioritiesReplaced { priority } => write!(
                f,
                "workspaces: all have priority {priority}, so the priorities of routes have no \
                 effect on requests with a key"
            ),
        }
    }
}

impl RoutingConfig {
    /// Returns the errors of the configuration, and what is likely a mistake in it. `in_force` is the
    /// configuration that it is meant to replace, if that is known.
    #[must_use]
    pub fn review(&self, in_force: Option<&Self>) -> Vec<Finding> {
        let mut findings: Vec<Finding> = self.errors().into_iter().map(Finding::Invalid).collect();
        if let Some(old) = in_force
            && self.version <= old.version
            && self.document != old.document
        {
            let (version, in_force) = (self.version, old.version);
            findings.push(Finding::StaleVersion { version, in_force });
        }
        for route in &self.routes {
            review_route(route, &mut findings);
        }
        self.review_services(&mut findings);
        self.review_limits(&mut findings);
        findings.extend(self.replaced_priorities());
        findings
    }

    fn review_services(&self, findings: &mut Vec<Finding>) {
        let targets = self.routes.iter().flat_map(|route| &route.targets);
        let used: BTreeSet<&str> = targets.map(|target| &*target.service).collect();
        let mut names = BTreeSet::new();
        for spec in &self.services {
            let service = || spec.name.clone();
            if !names.insert(&*spec.name) {
                findings.push(Finding::DuplicateService { service: service() });
                continue;
            }
            let is_used = used.contains(&*spec.name);
            if !is_used {
                findings.push(Finding::UnusedService { service: service() });
            }
            if is_used && spec.scaling.as_ref().is_some_and(|scaling| scaling.max == 0) {
                findings.push(Finding::ScaledToZero { service: service() });
            }
            if has_too_little_memory(spec) {
                findings.push(Finding::EventExceedsMemory { service: service() });
            }
        }
    }

    fn review_limits(&self, findings: &mut Vec<Finding>) {
        let limits = [
            (RequestLimit::HeadBytes, self.limits.head_bytes),
            (RequestLimit::BodyBytes, self.limits.body_bytes),
            (RequestLimit::IdleTimeout, self.limits.idle_timeout.0),
        ];
        for (limit, value) in limits {
            if value == 0 {
                findings.push(Finding::ZeroLimit(limit));
            }
        }
    }

    fn replaced_priorities(&self) -> Option<Finding> {
        let priority = self.workspaces.first()?.priority?;
        let of_routes: BTreeSet<u32> = self.routes.iter().map(|route| route.priority).collect();
        let are_equal = self.workspaces.iter().all(|other| other.priority == Some(priority));
        (are_equal && of_routes.len() > 1).then_some(Finding::PrioritiesReplaced { priority })
    }
}

fn review_route(route: &Route, findings: &mut Vec<Finding>) {
    let name = || route.name.clone();
    let host = || route.host.clone();
    if route.host.contains(':') {
        findings.push(Finding::HostWithPort { route: name(), host: host() });
    }
    if route.host.contains(|c: char| c.is_ascii_uppercase()) {
        findings.push(Finding::HostWithUpperCase { route: name(), host: host() });
    }
    if route.prefix.contains(|c: char| matches!(c, '?' | '#') || c.is_ascii_whitespace()) {
        findings.push(Finding::UnmatchablePrefix { route: name() });
    }
    if route.targets.iter().any(|target| target.weight > 0) {
        for target in route.targets.iter().filter(|target| target.weight == 0) {
            let service = target.service.clone();
            findings.push(Finding::UnusedTarget { route: name(), service });
        }
    }
    let (timeout, objective) = (route.timeout, route.latency_objective);
    if timeout > Millis(0) && timeout < objective {
        findings.push(Finding::TimeoutBelowObjective { route: name(), timeout, objective });
    }
    let (give_up_after, due_after) = (route.give_up_after, route.due_after);
    if route.kind == RouteKind::Batch && give_up_after < due_after {
        findings.push(Finding::GivenUpBeforeDue { route: name(), give_up_after, due_after });
    }
    if route.max_attempts == 0 {
        findings.push(Finding::ZeroAttempts { route: name() });
    }
}

fn has_too_little_memory(spec: &ServiceSpec) -> bool {
    let Some(engine) = &spec.engine else { return false };
    engine.memory_tokens < u64::from(engine.tokens_per_event)
}
