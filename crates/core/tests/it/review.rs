//! The review of a routing configuration, and the difference of two.

use chestnutdrift_core::Millis;
use chestnutdrift_core::directory::{
    ApiKey, EngineSpec, RoutingConfig, ScalingSpec, ServiceSpec, Severity, Target, Workspace,
};
use test_case::test_case;

use crate::deployment::documents::routing;

fn config() -> RoutingConfig {
    let mut cfg = (*routing(7)).clone();
    cfg.workspaces = ["blue", "red"].map(|name| workspace(name, &["secret-1"], None)).to_vec();
    cfg.workspaces[1].keys = vec![ApiKey::new("secret-2")];
    cfg
}

fn workspace(name: &str, keys: &[&str], priority: Option<u32>) -> Workspace {
    let keys = keys.iter().map(|key| ApiKey::new(*key)).collect();
    Workspace { name: name.into(), keys, priority }
}

fn service(name: &str) -> ServiceSpec {
    ServiceSpec { name: name.into(), max_connections: 0, engine: None, scaling: None }
}

fn scaling(min: u32, max: u32) -> Option<ScalingSpec> {
    let (start_time, zone_prices) = (Millis(4_000), [].into());
    Some(ScalingSpec { min, max, start_time, reclaimable_price: 220, zone_prices })
}

fn findings(cfg: &RoutingConfig) -> Vec<(Severity, String)> {
    let findings = cfg.review(None);
    findings.iter().map(|finding| (finding.severity(), finding.to_string())).collect()
}

/// Guards against warnings about a usual configuration, which would hide the ones that matter.
#[test_case(|_| (); "as it is")]
#[test_case(|cfg| cfg.routes[0].give_up_after = Millis(0); "requests are not given up")]
#[test_case(|cfg| cfg.workspaces[0].priority = Some(0); "one workspace before all others")]
#[test_case(|cfg| cfg.services[0].max_connections = 0; "no limit on connections")]
#[test_case(|cfg| cfg.routes[1].host = cfg.routes[0].host.clone(); "two prefixes of a host")]
#[test_case(|cfg| cfg.services[0].scaling = scaling(0, 3); "a service that may have no upstreams")]
fn a_usual_configuration_has_no_findings(change: fn(&mut RoutingConfig)) {
    let mut cfg = config();
    change(&mut cfg);
    assert_eq!(findings(&cfg), []);
}

/// Guards against mistakes that the review misses, or reports as something else too.
#[test_case(|cfg| cfg.routes[0].host = "desk.example:80".into(), "without a port"; "port")]
#[test_case(|cfg| cfg.routes[0].host = "Desk.example".into(), "letter case"; "upper case")]
#[test_case(|cfg| cfg.routes[0].prefix = "/desk?/".into(), "no path contains"; "query in a prefix")]
#[test_case(|cfg| cfg.routes[0].targets.push(Target { service: "engines".into(), weight: 0 }),
    "its weight is 0"; "weight of 0 beside another")]
#[test_case(|cfg| cfg.routes[0].timeout = Millis(199), "199 ms is shorter"; "timeout")]
#[test_case(|cfg| cfg.routes[1].give_up_after = Millis(7_499), "due after 7500 ms"; "given up")]
#[test_case(|cfg| cfg.routes[0].max_attempts = 0, "count as 1"; "no attempts")]
#[test_case(|cfg| cfg.services.push(service("spare")), "no route uses it"; "unused service")]
#[test_case(|cfg| cfg.services.push(service("desk")), "only the first"; "service twice")]
#[test_case(|cfg| cfg.services[0].scaling = scaling(0, 0), "maximum of scaling is 0"; "no scaling")]
#[test_case(|cfg| cfg.services[1].engine = Some(EngineSpec { slots: 4, memory_tokens: 63,
    tokens_per_event: 64, models: Vec::new() }), "more tokens than fit"; "memory")]
#[test_case(|cfg| cfg.limits.head_bytes = 0, "head of a request is 0"; "head")]
#[test_case(|cfg| cfg.limits.body_bytes = 0, "body of a request is 0"; "body")]
#[test_case(|cfg| cfg.limits.idle_timeout = Millis(0), "may be idle is 0"; "idle timeout")]
#[test_case(|cfg| {
    cfg.routes[0].priority = 5;
    cfg.workspaces.iter_mut().for_each(|workspace| workspace.priority = Some(1));
}, "all have priority 1"; "same priority for all")]
fn a_likely_mistake_is_one_warning(change: fn(&mut RoutingConfig), text: &str) {
    let mut cfg = config();
    change(&mut cfg);
    let found = findings(&cfg);
    assert!(matches!(&found[..], [(Severity::Warning, line)] if line.contains(text)), "{found:?}");
    assert_eq!(cfg.check(), Ok(()), "a warning must not refuse a configuration");
}

/// Guards against a review that stops at the first error, or disagrees with what a host refuses.
#[test]
fn all_errors_are_reported_at_once() {
    let mut cfg = config();
    cfg.services[0].scaling = scaling(2, 1);
    cfg.routes[0].timeout = Millis(0);
    cfg.routes[0].prefix = "desk".into();
    cfg.routes[1].targets =
        ["lost", "gone"].map(|name| Target { service: name.into(), weight: 0 }).to_vec();
    cfg.workspaces[1] = workspace("blue", &["", "secret-1"], None);
    let found = findings(&cfg);
    let errors = found.iter().filter(|(severity, _)| *severity == Severity::Error);
    let errors: Vec<&str> = errors.map(|(_, line)| line.as_str()).collect();
    let expected = [
        "service desk: the minimum",
        "route desk: the prefix",
        "route desk: the timeout",
        "route jobs: service lost",
        "route jobs: service gone",
        "route jobs: the weights",
        "workspace 1 (blue): another workspace",
        "workspace 1 (blue): key 0",
        "workspace 1 (blue): key 1",
    ];
    assert_eq!(errors.len(), expected.len(), "{errors:?}");
    assert!(errors.iter().zip(expected).all(|(line, start)| line.starts_with(start)), "{errors:?}");
    assert_eq!(cfg.check().map_err(|error| error.to_string()), Err(errors[0].to_string()));
}

/// Guards against a configuration that hosts acknowledge and ignore.
#[test_case(6, 1; "lower")]
#[test_case(7, 1; "equal")]
#[test_case(8, 0; "higher")]
fn a_version_that_is_not_above_the_one_in_force_is_an_error(version: u64, errors: usize) {
    let mut cfg = config();
    (cfg.version, cfg.document) = (version, "other".into());
    let found = cfg.review(Some(&config()));
    assert_eq!(found.len(), errors, "{found:?}");
    assert!(found.iter().all(|finding| finding.severity() == Severity::Error));
    assert_eq!(config().review(Some(&config())), [], "the configuration in force itself");
}

/// Guards against changes that are missed, and against keys in what is shown.
#[test]
fn the_difference_names_each_change_and_no_key() {
    let (old, mut new) = (config(), config());
    assert_eq!(new.changes_since(&old), []);
    new.version = 8;
    new.routes[0].timeout = Millis(1_500);
    new.routes[1].prefix = "/tasks/".into();
    new.services[1].engine.as_mut().expect("an engine").slots = 8;
    new.limits.body_bytes = 2;
    new.workspaces = vec![
        workspace("blue", &["secret-3", "secret-4"], Some(1)),
        workspace("green", &["secret-2"], None),
    ];
    let changes = new.changes_since(&old);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let expected = [
        "configuration: version from 7 to 8",
        "route desk.example/desk/: timeout from 1200 ms to 1500 ms",
        "route jobs.example/jobs/: removed",
        "route jobs.example/tasks/: added",
        "service engines: engine slots from 4 to 8",
        "limits: body bytes from 1048576 to 2",
        "workspace blue: priority from that of the route to 1",
        "workspace blue: 2 keys added, 1 keys removed",
        "workspace green: added",
        "workspace green: 1 keys added, 0 keys removed",
        "workspace red: removed",
        "workspace red: 0 keys added, 1 keys removed",
    ];
    assert_eq!(lines, expected);
    assert!(!format!("{changes:?}").contains("secret"), "{changes:?}");
}
