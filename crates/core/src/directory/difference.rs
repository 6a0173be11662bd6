//! The difference of two routing configurations. Keys are counted, never shown.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter};

use crate::directory::{
    ApiKey, EngineSpec, Route, RoutingConfig, ScalingSpec, ServiceSpec, Target, Workspace,
};

/// The part of a routing configuration that a change is in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// The configuration itself.
    Configuration,
    /// A route, by its host and prefix.
    Route(Box<str>),
    /// A service, by its name.
    Service(Box<str>),
    /// The limits on the requests of callers.
    Limits,
    /// A workspace, by its name.
    Workspace(Box<str>),
}

/// A change from one routing configuration to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// What is changed.
    pub subject: Subject,
    /// How it is changed.
    pub kind: ChangeKind,
}

/// How a part of a routing configuration is changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeKind {
    /// It is added.
    Added,
    /// It is removed.
    Removed,
    /// A field has another value.
    Field {
        /// The field.
        name: &'static str,
        /// The old value.
        from: Box<str>,
        /// The new value.
        to: Box<str>,
    },
    /// Keys are added or removed.
    Keys {
        /// How many are added.
        added: usize,
        /// How many are removed.
        removed: usize,
    },
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match &self.subject {
            Subject::Configuration => write!(f, "configuration: ")?,
            Subject::Route(route) => write!(f, "route {route}: ")?,
            Subject::Service(service) => write!(f, "service {service}: ")?,
            Subject::Limits => write!(f, "limits: ")?,
            Subject::Workspace(workspace) => write!(f, "workspace {workspace}: ")?,
        }
        match &self.kind {
            ChangeKind::Added => f.write_str("added"),
            ChangeKind::Removed => f.write_str("removed"),
            ChangeKind::Field { name, from, to } => write!(f, "{name} from {from} to {to}"),
            ChangeKind::Keys { added, removed } => {
                write!(f, "{added} keys added, {removed} keys removed")
            }
        }
    }
}

/// The fields of a part of a configuration, each with its value as text.
type Fields = Vec<(&'static str, String)>;

/// A part of a configuration in a form that can be compared.
#[derive(Default)]
struct Part<'a> {
    fields: Fields,
    keys: BTreeSet<&'a ApiKey>,
}

type Parts<'a> = BTreeMap<Box<str>, Part<'a>>;

impl RoutingConfig {
    /// Returns the changes from another configuration to this one.
    #[must_use]
    pub fn changes_since(&self, old: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        let version = |cfg: &Self| vec![("version", cfg.version.to_string())];
        push_fields(&Subject::Configuration, &version(old), &version(self), &mut changes);
        push_parts(Subject::Route, &routes(old), &routes(self), &mut changes);
        push_parts(Subject::Service, &services(old), &services(self), &mut changes);
        push_fields(&Subject::Limits, &limits(old), &limits(self), &mut changes);
        push_parts(Subject::Workspace, &workspaces(old), &workspaces(self), &mut changes);
        changes
    }
}

fn push_parts(
    subject: impl Fn(Box<str>) -> Subject,
    old: &Parts<'_>,
    new: &Parts<'_>,
    changes: &mut Vec<Change>,
) {
    let absent = Part::default();
    let names: BTreeSet<&Box<str>> = old.keys().chain(new.keys()).collect();
    for name in names {
        let subject = subject(name.clone());
        let mut push = |kind| changes.push(Change { subject: subject.clone(), kind });
        match (old.get(name), new.get(name)) {
            (None, _) => push(ChangeKind::Added),
            (_, None) => push(ChangeKind::Removed),
            (Some(old), Some(new)) => push_fields(&subject, &old.fields, &new.fields, changes),
        }
        let old_keys = &old.get(name).unwrap_or(&absent).keys;
        let new_keys = &new.get(name).unwrap_or(&absent).keys;
        let added = new_keys.difference(old_keys).count();
        let removed = old_keys.difference(new_keys).count();
        if added + removed > 0 {
            changes.push(Change { subject, kind: ChangeKind::Keys { added, removed } });
        }
    }
}

fn push_fields(subject: &Subject, old: &Fields, new: &Fields, changes: &mut Vec<Change>) {
    for ((name, from), (_, to)) in old.iter().zip(new) {
        if from == to {
            continue;
        }
        let (from, to) = (from.as_str().into(), to.as_str().into());
        changes
            .push(Change { subject: subject.clone(), kind: ChangeKind::Field { name, from, to } });
    }
}

/// Returns parts by name; of several with one name, the first counts, as it does for a host.
fn parts<'a>(named: impl Iterator<Item = (Box<str>, Part<'a>)>) -> Parts<'a> {
    let mut parts = Parts::new();
    for (name, part) in named {
        parts.entry(name).or_insert(part);
    }
    parts
}

fn routes(cfg: &RoutingConfig) -> Parts<'_> {
    let name = |route: &Route| format!("{}{}", route.host, route.prefix).into();
    let part = |route| Part { fields: route_fields(route), keys: BTreeSet::new() };
    parts(cfg.routes.iter().map(|route| (name(route), part(route))))
}

fn services(cfg: &RoutingConfig) -> Parts<'_> {
    let part = |spec| Part { fields: service_fields(spec), keys: BTreeSet::new() };
    parts(cfg.services.iter().map(|spec| (spec.name.clone(), part(spec))))
}

fn workspaces(cfg: &RoutingConfig) -> Parts<'_> {
    parts(cfg.workspaces.iter().map(|workspace| {
        let Workspace { name, keys, priority } = workspace;
        let priority = priority.map_or("that of the route".into(), |value| value.to_string());
        let part = Part { fields: vec![("priority", priority)], keys: keys.iter().collect() };
        (name.clone(), part)
    }))
}

fn limits(cfg: &RoutingConfig) -> Fields {
    vec![
        ("head bytes", cfg.limits.head_bytes.to_string()),
        ("body bytes", cfg.limits.body_bytes.to_string()),
        ("idle timeout", format!("{} ms", cfg.limits.idle_timeout.0)),
    ]
}

fn route_fields(route: &Route) -> Fields {
    let share = |target: &Target| format!("{}={}", target.service, target.weight);
    let targets: Vec<String> = route.targets.iter().map(share).collect();
    vec![
        ("name", route.name.to_string()),
        ("kind", format!("{:?}", route.kind)),
        ("timeout", format!("{} ms", route.timeout.0)),
        ("latency objective", format!("{} ms", route.latency_objective.0)),
        ("priority", route.priority.to_string()),
        ("targets", targets.join(", ")),
        ("attempts", route.max_attempts.to_string()),
        ("give up", format!("{} ms", route.give_up_after.0)),
        ("due", format!("{} ms", route.due_after.0)),
        ("single version", route.single_version.to_string()),
        ("resumable", route.resumable.to_string()),
        ("public", route.public.to_string()),
    ]
}

fn service_fields(spec: &ServiceSpec) -> Fields {
    let engine =
        |value: fn(&EngineSpec) -> String| spec.engine.as_ref().map_or("none".into(), value);
    let scaling =
        |value: fn(&ScalingSpec) -> String| spec.scaling.as_ref().map_or("none".into(), value);
    vec![
        ("connections", spec.max_connections.to_string()),
        ("engine slots", engine(|engine| engine.slots.to_string())),
        ("engine memory", engine(|engine| format!("{} tokens", engine.memory_tokens))),
        ("tokens per event", engine(|engine| engine.tokens_per_event.to_string())),
        ("models", engine(|engine| engine.models.join(", "))),
        ("scaling minimum", scaling(|scaling| scaling.min.to_string())),
        ("scaling maximum", scaling(|scaling| scaling.max.to_string())),
        ("start time", scaling(|scaling| format!("{} ms", scaling.start_time.0))),
        ("reclaimable price", scaling(|scaling| scaling.reclaimable_price.to_string())),
        ("zone prices", scaling(|scaling| format!("{:?}", scaling.zone_prices))),
    ]
}
