//! Maps methods and paths to routes.

use chestnutdrift_core::ErrorKind;

/// The operation that a method and a path stand for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Route {
    Chat,
    Service { service: Box<str>, path: Box<str> },
    Submit { trainer: Box<str>, step: u64 },
    Fetch { trainer: Box<str> },
    Publish { trainer: Box<str> },
    Announce,
    Load,
    Leave,
    Settings,
    Hosts,
    Upstreams,
    Trainers,
    Timeline,
    Change,
    Order,
    Drain,
    Health,
    Ready,
    Metrics,
}

/// Finds the route of a method and path; an unknown path and a wrong method are errors.
pub(super) fn route(method: &str, path: &str) -> Result<Route, ErrorKind> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let (expected, route) = find_route(&segments).ok_or(ErrorKind::NotFound)?;
    if expected == method { Ok(route) } else { Err(ErrorKind::MethodNotAllowed) }
}

fn find_route(segments: &[&str]) -> Option<(&'static str, Route)> {
    let found = match segments {
        ["healthz"] => ("GET", Route::Health),
        ["readyz"] => ("GET", Route::Ready),
        ["metrics"] => ("GET", Route::Metrics),
        ["v1", "chat", "completions"] => ("POST", Route::Chat),
        ["v1", "services", service, path @ ..] if !service.is_empty() => {
            ("POST", Route::Service { service: (*service).into(), path: path.join("/").into() })
        }
        ["v1", "trainers", trainer, rest @ ..] if !trainer.is_empty() => {
            return find_trainer_route(trainer, rest);
        }
        ["v1", "upstreams", "announce"] => ("POST", Route::Announce),
        ["v1", "upstreams", "load"] => ("POST", Route::Load),
        ["v1", "upstreams", "leave"] => ("POST", Route::Leave),
        ["v1", "operator", "settings"] => ("GET", Route::Settings),
        ["v1", "operator", "hosts"] => ("GET", Route::Hosts),
        ["v1", "operator", "upstreams"] => ("GET", Route::Upstreams),
        ["v1", "operator", "trainers"] => ("GET", Route::Trainers),
        ["v1", "operator", "timeline"] => ("GET", Route::Timeline),
        ["v1", "operator", "orders"] => ("POST", Route::Order),
        ["v1", "operator", "changes"] => ("POST", Route::Change),
        ["v1", "operator", "drain"] => ("POST", Route::Drain),
        _ => return None,
    };
    Some(found)
}

fn find_trainer_route(trainer: &str, rest: &[&str]) -> Option<(&'static str, Route)> {
    let trainer = trainer.into();
    match rest {
        ["steps", step, "groups"] => {
            let step = step.parse().ok()?;
            Some(("POST", Route::Submit { trainer, step }))
        }
        ["samples"] => Some(("GET", Route::Fetch { trainer })),
        ["versions"] => Some(("POST", Route::Publish { trainer })),
        _ => None,
    }
}
