//! Upstreams whose process has ended without a word, and that are announced as before.

use chestnutdrift_core::gateway::{Answer, Call, Event, Forward, ForwardEnd};
use chestnutdrift_core::{ErrorKind, Fingerprint, HostId, Ran, RequestTag};

use crate::deployment::Deployment;

const STORE: HostId = HostId(1);
const ENTRY: HostId = HostId(101);
const OTHER_ENTRY: HostId = HostId(102);

/// How long an announcement takes from a store to the other hosts, with a margin, in milliseconds.
const SPREAD_MS: u64 = 1_500;

/// How long an upstream counts as ended at most, in milliseconds.
const RETENTION_MS: u64 = 5_000;

/// More requests than one upstream runs at a time.
const REQUESTS_AT_A_TIME: usize = 9;

fn announce(deployment: &mut Deployment, number: u32, started_at: u64, seq: u64) {
    deployment.announce_desk(STORE, number, started_at, seq);
}

fn start(seed: u64, upstreams: u32) -> Deployment {
    let mut deployment = Deployment::new(seed, 3, 2);
    deployment.start_serving();
    for number in 1..=upstreams {
        announce(&mut deployment, number, 1, 1);
    }
    deployment.run(SPREAD_MS);
    deployment
}

fn send(deployment: &mut Deployment, entry: HostId, path: &str) -> RequestTag {
    let fingerprint = Fingerprint::new(&[path.as_bytes()]);
    let (host, path) = ("desk.example".into(), "/desk/1".into());
    let tag = deployment
        .send_call(entry, Call::Request { host, path, fingerprint, resumes: None, key: None });
    deployment.run(5);
    tag
}

fn take_forward(deployment: &mut Deployment, tag: RequestTag) -> Option<Forward> {
    let index = deployment.forwards.iter().position(|(_, forward)| forward.tag == tag)?;
    Some(deployment.forwards.remove(index).1)
}

fn end_attempt(deployment: &mut Deployment, entry: HostId, forward: &Forward, end: ForwardEnd) {
    deployment.deliver(entry, Event::ForwardEnded { attempt: forward.attempt, end });
    deployment.run(5);
}

fn refused() -> ForwardEnd {
    ForwardEnd::ConnectRefused { detail: "connection refused".into() }
}

fn delivered() -> ForwardEnd {
    ForwardEnd::Delivered { status: 200 }
}

/// Sends a request, ends its first attempt with `end` and the others with success, and returns the
/// number of the upstream that it met first.
fn meet(deployment: &mut Deployment, entry: HostId, end: &ForwardEnd) -> u32 {
    let tag = send(deployment, entry, "innocent");
    let first = take_forward(deployment, tag).expect("an upstream");
    end_attempt(deployment, entry, &first, end.clone());
    while let Some(forward) = take_forward(deployment, tag) {
        end_attempt(deployment, entry, &forward, delivered());
    }
    let number = first.upstream.id.trim_start_matches("desk-").parse();
    number.expect("a number")
}

/// Sends requests that are delivered, enough at a time to fill all upstreams, and returns how many of
/// them went to one upstream.
fn sends_to(deployment: &mut Deployment, entry: HostId, number: u32) -> usize {
    let id = format!("desk-{number}");
    let tags: Vec<RequestTag> =
        (0..REQUESTS_AT_A_TIME).map(|_| send(deployment, entry, "innocent")).collect();
    let mut sends = 0;
    for tag in tags {
        let Some(forward) = take_forward(deployment, tag) else { continue };
        sends += usize::from(*forward.upstream.id == *id);
        end_attempt(deployment, entry, &forward, delivered());
    }
    deployment.run(100);
    sends
}

/// Guards against requests that are sent on to an upstream whose end this host knows of, and against
/// an end that outlasts the next instance.
#[test]
fn an_upstream_that_refused_a_connection_gets_no_request_until_it_starts_again() {
    let mut deployment = start(41, 2);
    let ended = meet(&mut deployment, ENTRY, &refused());
    for _ in 0..4 {
        assert_eq!(sends_to(&mut deployment, ENTRY, ended), 0);
        deployment.run(900);
    }
    announce(&mut deployment, ended, 2, 1);
    deployment.run(SPREAD_MS);
    assert!(sends_to(&mut deployment, ENTRY, ended) > 0, "the next instance is used");
}

/// Guards against each host finding out by itself, with its callers' requests, that an upstream has
/// crashed.
#[test]
fn other_hosts_choose_no_upstream_that_one_host_saw_crash() {
    let mut deployment = start(42, 2);
    let crash = ForwardEnd::UpstreamEnded { detail: "connection closed".into() };
    let ended = meet(&mut deployment, ENTRY, &crash);
    deployment.run(500);
    assert_eq!(sends_to(&mut deployment, OTHER_ENTRY, ended), 0);
    deployment.run(RETENTION_MS);
    assert!(sends_to(&mut deployment, OTHER_ENTRY, ended) > 0, "it may be used again");
}

/// Guards against callers that are refused since both attempts of their request met upstreams that
/// had ended, while others are free.
#[test]
fn refused_connections_use_up_no_attempt() {
    let mut deployment = start(43, 4);
    let tag = send(&mut deployment, ENTRY, "innocent");
    for _ in 0..3 {
        let forward = take_forward(&mut deployment, tag).expect("another upstream");
        end_attempt(&mut deployment, ENTRY, &forward, refused());
    }
    let forward = take_forward(&mut deployment, tag).expect("the last upstream");
    end_attempt(&mut deployment, ENTRY, &forward, delivered());
    assert_eq!(deployment.gateway(ENTRY).board().counters.delivered, 1);
}

/// Guards against callers that wait in vain, or are not told that their request has not run, where
/// all upstreams have ended.
#[test]
fn a_request_is_refused_at_once_where_all_upstreams_have_ended() {
    let mut deployment = start(44, 2);
    let first = send(&mut deployment, ENTRY, "innocent");
    while let Some(forward) = take_forward(&mut deployment, first) {
        end_attempt(&mut deployment, ENTRY, &forward, refused());
    }
    let second = send(&mut deployment, ENTRY, "another");
    assert!(take_forward(&mut deployment, second).is_none(), "sent");
    for tag in [first, second] {
        let Some(Answer::Problem(problem)) = deployment.answers.get(&tag) else {
            panic!("no refusal within 5 ms");
        };
        assert_eq!((problem.kind, problem.ran), (ErrorKind::Unavailable, Ran::No));
        let delay = problem.retry_after_ms.expect("a delay");
        assert!((150..=1_000).contains(&delay), "{delay} ms");
    }
    announce(&mut deployment, 1, 2, 1);
    deployment.run(SPREAD_MS);
    assert!(sends_to(&mut deployment, ENTRY, 1) > 0);
}

/// Guards against a service that is lost for good, as a connection was refused although its only
/// upstream had not ended.
#[test]
fn an_upstream_that_was_taken_for_ended_is_used_again() {
    let mut deployment = start(45, 1);
    for _ in 0..3 {
        meet(&mut deployment, ENTRY, &refused());
        assert_eq!(sends_to(&mut deployment, ENTRY, 1), 0);
        deployment.run(RETENTION_MS);
        assert!(sends_to(&mut deployment, ENTRY, 1) > 0);
    }
}

/// Guards against delayed announcements that bring an upstream back which has ended.
#[test]
fn announcements_from_before_its_end_do_not_bring_an_upstream_back() {
    let mut deployment = start(46, 2);
    let ended = meet(&mut deployment, ENTRY, &refused());
    for (started_at, seq) in [(1, 1), (0, 9), (1, 2)] {
        announce(&mut deployment, ended, started_at, seq);
        deployment.run(400);
        let sends = sends_to(&mut deployment, ENTRY, ended);
        assert_eq!(sends, 0, "after announcement {started_at} {seq}");
    }
}

/// Guards against taking an upstream for ended that resets connections, as one beyond its limit does,
/// or that can't be reached.
#[test]
fn resets_and_timed_out_connections_are_no_end() {
    for end in [
        ForwardEnd::Broken { detail: "connection reset".into() },
        ForwardEnd::NotSent { detail: "no connection within 300ms".into() },
        ForwardEnd::NotRun { status: 503, other_instance: false },
    ] {
        let mut deployment = start(47, 2);
        let met = meet(&mut deployment, ENTRY, &end);
        assert!(sends_to(&mut deployment, ENTRY, met) > 0, "{end:?}");
    }
}
