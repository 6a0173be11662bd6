//! A planned stop of one entry while the deployment is calm.

use std::sync::Arc;

use chestnutdrift_core::directory::{Route, RouteKind, RoutingConfig};
use chestnutdrift_core::gateway::{Answer, Call};
use chestnutdrift_core::{Fingerprint, Millis, Ran, RequestTag};
use test_case::test_case;

use crate::deployment::{Deployment, routing};
use crate::directory::{ENTRY, STORES, started};

/// The time that the deployment gives a host to stop, and the time by which ours has exited.
const GRACE_MS: u64 = 8_000;

/// Returns a deployment with a desk that never answers, whose route is of a kind.
fn with_silent_desk(kind: RouteKind) -> Deployment {
    let mut deployment = started(31);
    let mut changed: RoutingConfig = Arc::unwrap_or_clone(routing(2));
    let desk: &mut Route = &mut changed.routes[0];
    (desk.kind, desk.timeout) = (kind, Millis(10_000));
    let put = deployment.call(STORES[0], Call::PutRouting(Arc::new(changed)), 900);
    assert_eq!(put, Some(Answer::Done));
    deployment.announce_desk(STORES[0], 1, 1, 1);
    deployment.run(2_000);
    deployment
}

fn request(deployment: &mut Deployment) -> RequestTag {
    let (host, path) = ("desk.example".into(), "/desk/1".into());
    let call =
        Call::Request { host, path, fingerprint: Fingerprint::default(), resumes: None, key: None };
    deployment.send_call(ENTRY, call)
}

/// Guards against requests that a stopping host took late in its grace, passed on, and could not
/// answer before its end.
#[test_case(RouteKind::Idempotent, 6_200; "repeatable, at the end of the grace")]
#[test_case(RouteKind::NonIdempotent, 6_200; "not repeatable, at the end of the grace")]
#[test_case(RouteKind::NonIdempotent, 3_500; "not repeatable, late in the grace")]
#[test_case(RouteKind::Stream, 3_500; "a stream, late in the grace")]
fn a_request_that_comes_late_in_the_grace_is_refused_as_not_run(kind: RouteKind, after_ms: u64) {
    let mut deployment = with_silent_desk(kind);
    // Another request keeps the host from its exit.
    request(&mut deployment);
    deployment.run(50);
    assert_eq!(deployment.forwards.len(), 1);
    deployment.stop(ENTRY);
    deployment.run(after_ms);
    let late = request(&mut deployment);
    deployment.run(100);
    let Some(Answer::Problem(problem)) = deployment.answers.get(&late) else {
        panic!("{:?}", deployment.answers.get(&late))
    };
    assert_eq!(problem.ran, Ran::No);
    assert!(problem.retry_after_ms.is_some(), "another host serves it");
    assert_eq!(deployment.forwards.len(), 1, "it was passed on");
}

#[test_case(RouteKind::Idempotent)]
#[test_case(RouteKind::NonIdempotent)]
#[test_case(RouteKind::Stream)]
fn each_request_that_a_stopping_host_takes_is_answered_before_its_exit(kind: RouteKind) {
    let mut deployment = with_silent_desk(kind);
    let mut tags = vec![request(&mut deployment)];
    deployment.run(50);
    deployment.stop(ENTRY);
    for _ in 0..GRACE_MS / 100 {
        if !deployment.hosts().contains(&ENTRY) {
            break;
        }
        tags.push(request(&mut deployment));
        deployment.run(100);
    }
    assert!(!deployment.hosts().contains(&ENTRY), "the host did not exit");
    // The last request may cross the exit; nothing reads it then.
    tags.pop();
    for tag in &tags {
        assert!(deployment.answers.contains_key(tag), "{tag:?} has no answer");
    }
}
