//! Entry hosts that have lost their own links to the upstreams, while other hosts reach them.

use chestnutdrift_core::gateway::{Answer, Call, Event, Forward, ForwardEnd};
use chestnutdrift_core::{ErrorKind, Fingerprint, HostId, Ran, RequestTag};

use crate::deployment::Deployment;

const STORE: HostId = HostId(1);
const ENTRY: HostId = HostId(101);

/// The most attempts of a request, by the route.
const MAX_ATTEMPTS: usize = 2;

/// The most connections that a host relays at a time.
const MAX_RELAYED: usize = 256;

/// How long announcements take from a store to the other hosts, with a margin, in milliseconds.
const SPREAD_MS: u64 = 1_500;

/// How long a connection that can't be opened takes to fail, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// The time between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 200;

/// How long a request takes at an upstream, in milliseconds.
const RESPONSE_MS: u64 = 20;

fn start(seed: u64, upstreams: u32) -> Deployment {
    let mut deployment = Deployment::new(seed, 3, 2);
    deployment.start_serving();
    for number in 1..=upstreams {
        deployment.announce_desk(STORE, number, 1, 1);
    }
    deployment.run(SPREAD_MS);
    deployment
}

fn send(deployment: &mut Deployment, path: &str) -> RequestTag {
    let fingerprint = Fingerprint::new(&[path.as_bytes()]);
    let (host, path) = ("desk.example".into(), "/desk/1".into());
    let call = Call::Request { host, path, fingerprint, resumes: None, key: None };
    let tag = deployment.send_call(ENTRY, call);
    deployment.run(5);
    tag
}

fn take_forward(deployment: &mut Deployment, tag: RequestTag) -> Option<Forward> {
    let index = deployment.forwards.iter().position(|(_, forward)| forward.tag == tag)?;
    Some(deployment.forwards.remove(index).1)
}

/// The attempts of a request.
#[derive(Debug, Default, PartialEq, Eq)]
struct Served {
    direct: usize,
    relayed: usize,
    delivered: bool,
}

/// Sends a request through an entry whose own connections time out, and plays its attempts.
fn request(deployment: &mut Deployment, path: &str) -> Served {
    let tag = send(deployment, path);
    let mut served = Served::default();
    while let Some(forward) = take_forward(deployment, tag) {
        let (upstream, attempt) = (forward.upstream.key, forward.attempt);
        let end = if forward.upstream.path.direct {
            served.direct += 1;
            deployment.run(CONNECT_TIMEOUT_MS);
            deployment.deliver(ENTRY, Event::DirectConnection { upstream, opened: false });
            ForwardEnd::NotSent { detail: "no connection".into() }
        } else {
            served.relayed += 1;
            served.delivered = true;
            deployment.run(RESPONSE_MS);
            ForwardEnd::Delivered { status: 200 }
        };
        deployment.deliver(ENTRY, Event::ForwardEnded { attempt, end });
        deployment.run(5);
    }
    served
}

/// Guards against callers whose requests fail at each entry without links to the upstreams.
#[test]
fn an_entry_without_links_to_the_upstreams_serves_requests_over_another_host() {
    let mut deployment = start(51, 3);
    let mut delivered = Vec::new();
    for number in 0..10 {
        delivered.push(request(&mut deployment, &format!("request-{number}")).delivered);
        deployment.run(REQUEST_INTERVAL_MS);
    }
    assert_eq!(delivered, [true; 10]);
}

/// Reports the end of the last probe of the entry.
fn answer_probe(deployment: &mut Deployment, opened: bool) {
    let (_, host, upstream) = *deployment.probes.last().expect("a probe");
    assert_eq!(host, ENTRY);
    deployment.deliver(ENTRY, Event::DirectConnection { upstream, opened });
    deployment.run(5);
}

/// Starts a deployment whose entry has lost its links to the upstreams.
fn start_stranded(seed: u64) -> Deployment {
    let mut deployment = start(seed, 3);
    request(&mut deployment, "first");
    answer_probe(&mut deployment, false);
    let lost = deployment.timeline.iter().filter(|event| event.detail.contains("links=lost"));
    assert_eq!(lost.map(|event| event.host).collect::<Vec<_>>(), [ENTRY]);
    deployment
}

/// Guards against hosts that learn nothing from one failed connection for the next request.
#[test]
fn once_the_links_are_lost_no_request_waits_for_a_connection_over_them() {
    let mut deployment = start_stranded(52);
    for number in 10..20 {
        let served = request(&mut deployment, &format!("request-{number}"));
        assert_eq!(served, Served { direct: 0, relayed: 1, delivered: true });
        deployment.run(REQUEST_INTERVAL_MS);
    }
}

/// Guards against links that count as sound by one lucky connection, and against relays that outlast
/// the cut.
#[test]
fn requests_use_own_links_again_after_two_connections_in_a_row() {
    let mut deployment = start_stranded(53);
    for opened in [true, false, true] {
        answer_probe(&mut deployment, opened);
        let served = request(&mut deployment, &format!("request-{opened}"));
        assert_eq!(served, Served { direct: 0, relayed: 1, delivered: true });
    }
    answer_probe(&mut deployment, true);
    let tag = send(&mut deployment, "own");
    assert!(take_forward(&mut deployment, tag).expect("an attempt").upstream.path.direct);
}

/// Guards against probes of the own links with the requests of callers, and against many of them.
#[test]
fn lost_links_are_probed_twice_a_second_and_sound_ones_never() {
    let mut deployment = start(54, 3);
    deployment.run(5_000);
    assert!(deployment.probes.is_empty());
    let mut deployment = start_stranded(54);
    deployment.probes.clear();
    deployment.run(10_000);
    let count = deployment.probes.len();
    assert!((19..=21).contains(&count), "{count} probes in 10 s");
    assert!(deployment.probes.iter().all(|(_, host, _)| *host == ENTRY));
}

/// Guards against one dead upstream that moves the requests to other upstreams to relays.
#[test]
fn one_unreachable_upstream_is_no_loss_of_links() {
    let mut deployment = start(55, 3);
    let served = request(&mut deployment, "first");
    assert_eq!(served, Served { direct: 1, relayed: 1, delivered: true });
    answer_probe(&mut deployment, true);
    let tag = send(&mut deployment, "next");
    assert!(take_forward(&mut deployment, tag).expect("an attempt").upstream.path.direct);
}

/// Guards against upstreams that are avoided, here or elsewhere, for the lost links of one host.
#[test]
fn lost_links_of_a_host_are_held_against_no_upstream() {
    let deployment = start_stranded(56);
    let upstreams = |id| deployment.gateway(id).board().upstreams.values();
    let now = deployment.gateway(ENTRY).board().now.mono;
    assert_eq!(upstreams(ENTRY).filter(|upstream| upstream.is_avoided_over_relays(now)).count(), 0);
    for id in deployment.hosts() {
        assert!(upstreams(id).all(|upstream| upstream.ended_at.is_none()), "{id:?}");
    }
}

/// Guards against more attempts than the route allows where relays fail too, and against an error that
/// does not say that nothing ran.
#[test]
fn a_request_that_no_path_can_send_ends_as_not_run_within_its_attempts() {
    let mut deployment = start_stranded(57);
    let tag = send(&mut deployment, "unsent");
    let mut attempts = 0;
    while let Some(forward) = take_forward(&mut deployment, tag) {
        attempts += 1;
        let end = ForwardEnd::NotSent { detail: "no relay".into() };
        deployment.deliver(ENTRY, Event::ForwardEnded { attempt: forward.attempt, end });
        deployment.run(5);
    }
    assert_eq!(attempts, MAX_ATTEMPTS);
    let Some(Answer::Problem(problem)) = deployment.answers.get(&tag) else { panic!("no answer") };
    assert_eq!((problem.kind, problem.ran), (ErrorKind::Unavailable, Ran::No));
}

/// Guards against hosts without a live store that wait for relays.
#[test]
fn without_a_store_requests_use_own_links_as_before() {
    let mut deployment = start_stranded(58);
    for store in 1..=3 {
        deployment.kill(HostId(store));
    }
    deployment.run(5_000);
    let tag = send(&mut deployment, "own");
    assert!(take_forward(&mut deployment, tag).expect("an attempt").upstream.path.direct);
}

fn relay(deployment: &mut Deployment, upstream: &str) -> (RequestTag, Option<Answer>) {
    let tag = deployment.send_call(STORE, Call::Relay { upstream: upstream.into() });
    deployment.run(5);
    (tag, deployment.answers.get(&tag).cloned())
}

fn is_refused(answer: Option<&Answer>) -> bool {
    matches!(answer, Some(Answer::Problem(problem)) if problem.ran == Ran::No)
}

/// Guards against relays that lead to other addresses than those of upstreams, hold more connections
/// than their bound, or begin while the host stops.
#[test]
fn a_store_relays_a_bounded_number_of_connections_to_known_upstreams() {
    let mut deployment = start(59, 3);
    let (first, answer) = relay(&mut deployment, "desk-1");
    assert_eq!(answer, Some(Answer::RelayTo { address: "10.0.1.1:8000".into() }));
    assert!(is_refused(relay(&mut deployment, "10.0.1.1:8000").1.as_ref()));
    for _ in 1..MAX_RELAYED {
        assert!(matches!(relay(&mut deployment, "desk-1").1, Some(Answer::RelayTo { .. })));
    }
    assert!(is_refused(relay(&mut deployment, "desk-1").1.as_ref()));
    deployment.deliver(STORE, Event::CallerGone { tag: first });
    assert!(matches!(relay(&mut deployment, "desk-1").1, Some(Answer::RelayTo { .. })));
    deployment.stop(STORE);
    deployment.run(5);
    assert!(is_refused(relay(&mut deployment, "desk-2").1.as_ref()));
}
