//! Requests that crash the upstreams that begin to run them, in a simulated deployment.

use chestnutdrift_core::gateway::board::{QUARANTINE_CRASHES, Suspects};
use chestnutdrift_core::gateway::{Answer, Call, Event, Forward, ForwardEnd, Gateway, LateEnd};
use chestnutdrift_core::{ErrorKind, Fingerprint, HostId, Millis, Ran, RequestTag};

use crate::deployment::{Deployment, SimEngine, job};

const STORE: HostId = HostId(1);
const STORES: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const ENTRIES: [HostId; 3] = [HostId(101), HostId(102), HostId(103)];
const UPSTREAMS: u32 = 20;

/// How long after the third crash hosts may still not know of it, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// The time between two arrivals of a request, in milliseconds.
const ARRIVAL_INTERVAL_MS: u64 = 700;

/// How long a crash counts against a request, in milliseconds.
const RETENTION_MS: u64 = 300_000;

/// How long a success speaks for a request, in milliseconds.
const SUCCESS_RETENTION_MS: u64 = 10_000;

/// The most times that a request may be sent once hosts know that it crashed three upstreams.
const MAX_LATE_SENDS: usize = 3;

/// Returns a deployment in which all hosts know the upstreams of one service.
fn deployment() -> Deployment {
    let mut deployment = Deployment::new(7, 3, 3);
    deployment.start_serving();
    for number in 1..=UPSTREAMS {
        announce(&mut deployment, number, 1);
    }
    deployment.run(500);
    deployment
}

fn announce(deployment: &mut Deployment, number: u32, started_at: u64) {
    deployment.announce_desk(STORE, number, started_at, 1);
}

fn request(path: &str) -> Call {
    request_with(Fingerprint::new(&[path.as_bytes()]))
}

fn request_with(fingerprint: Fingerprint) -> Call {
    Call::Request {
        host: "desk.example".into(),
        path: "/desk/1".into(),
        fingerprint,
        resumes: None,
        key: None,
    }
}

fn ended() -> ForwardEnd {
    ForwardEnd::UpstreamEnded { detail: "connection closed".into() }
}

fn reset() -> ForwardEnd {
    ForwardEnd::Broken { detail: "connection reset".into() }
}

fn delivered() -> ForwardEnd {
    ForwardEnd::Delivered { status: 200 }
}

/// Sends a request to an entry, ends each of its attempts with `end`, and returns its tag and how
/// often it was sent to upstreams.
fn arrive(
    deployment: &mut Deployment,
    entry: HostId,
    path: &str,
    end: impl Fn() -> ForwardEnd,
) -> (RequestTag, usize) {
    let tag = deployment.send_call(entry, request(path));
    let sends = finish(deployment, entry, tag, end);
    (tag, sends)
}

/// Ends each attempt of a request with `end`, and returns the number of attempts.
fn finish(
    deployment: &mut Deployment,
    entry: HostId,
    tag: RequestTag,
    end: impl Fn() -> ForwardEnd,
) -> usize {
    deployment.run(5);
    let mut sends = 0;
    while let Some(forward) = take_forward(deployment, tag) {
        sends += 1;
        deployment.deliver(entry, Event::ForwardEnded { attempt: forward.attempt, end: end() });
        deployment.run(5);
    }
    sends
}

fn take_forward(deployment: &mut Deployment, tag: RequestTag) -> Option<Forward> {
    let index = deployment.forwards.iter().position(|(_, forward)| forward.tag == tag)?;
    Some(deployment.forwards.remove(index).1)
}

fn quarantined(deployment: &Deployment) -> u64 {
    let gateways = ENTRIES.iter().map(|entry| deployment.gateway(*entry));
    gateways.map(|gateway: &Gateway| gateway.board().counters.quarantined).sum()
}

/// Guards against hosts that each sent a request on that had crashed upstream after upstream at
/// others.
#[test]
fn a_request_that_crashed_three_upstreams_is_sent_on_by_no_host() {
    let mut deployment = deployment();
    let (mut crashes, mut third_crash, mut late) = (0, None, 0);
    for round in 0..20 {
        let (_, sends) = arrive(&mut deployment, ENTRIES[round % 3], "deadly", ended);
        if third_crash.is_some_and(|at| deployment.now > at + CONTACT_MS) {
            late += sends;
        }
        crashes += sends;
        if crashes >= 3 {
            third_crash.get_or_insert(deployment.now);
        }
        deployment.run(ARRIVAL_INTERVAL_MS);
    }
    assert!(third_crash.is_some(), "it ran");
    assert!(late <= MAX_LATE_SENDS, "sent {late} times later than the hosts must know");
}

/// Guards against holding a request until its deadline, or a vague answer, once it is known to
/// crash upstreams: it has not run, and the caller learns for how long it will not.
#[test]
fn a_quarantined_request_is_refused_at_once_as_not_run() {
    let mut deployment = deployment();
    for entry in &ENTRIES[..2] {
        arrive(&mut deployment, *entry, "deadly", ended);
    }
    deployment.run(CONTACT_MS);
    let (tag, sends) = arrive(&mut deployment, ENTRIES[2], "deadly", ended);
    assert_eq!(sends, 0);
    let Some(Answer::Problem(problem)) = deployment.answers.get(&tag) else {
        panic!("no refusal within 10 ms: {:?}", deployment.answers.get(&tag));
    };
    assert_eq!((problem.kind, problem.ran), (ErrorKind::Unavailable, Ran::No));
    let delay = problem.retry_after_ms.expect("a delay");
    assert!(delay > 200_000 && delay < 300_000, "{delay} ms");
    let (_, sends) = arrive(&mut deployment, ENTRIES[2], "another", delivered);
    assert_eq!(sends, 1, "another request is sent on");
}

/// Guards against the retry, within one attempt of a caller, of a request that crashed its third
/// upstream: it may have run, which the answer must say.
#[test]
fn a_request_that_crashes_its_third_upstream_is_not_retried() {
    let mut deployment = deployment();
    let (_, sends) = arrive(&mut deployment, ENTRIES[0], "deadly", ended);
    assert_eq!(sends, 2);
    let (tag, sends) = arrive(&mut deployment, ENTRIES[0], "deadly", ended);
    assert_eq!(sends, 1);
    let Some(Answer::Problem(problem)) = deployment.answers.get(&tag) else { panic!("no answer") };
    assert_eq!((problem.kind, problem.ran), (ErrorKind::OutcomeUnknown, Ran::Unknown));
    assert_eq!(quarantined(&deployment), 1);
}

/// Guards against a request that is slow before it crashes its upstream, and moves to another one
/// although it has been quarantined since.
#[test]
fn a_slow_request_that_was_quarantined_meanwhile_does_not_move() {
    let mut deployment = deployment();
    arrive(&mut deployment, ENTRIES[0], "deadly", ended);
    let tag = deployment.send_call(ENTRIES[1], request("deadly"));
    deployment.run(5);
    assert!(take_forward(&mut deployment, tag).is_some(), "it runs");
    arrive(&mut deployment, ENTRIES[0], "deadly", ended);
    deployment.run(1_000);
    assert!(take_forward(&mut deployment, tag).is_none(), "sent once more");
}

/// Guards against refusing requests whose upstreams reset connections, or whose answers are lost,
/// but go on running.
#[test]
fn requests_whose_connections_are_reset_are_never_quarantined() {
    let mut deployment = deployment();
    for round in 0..20 {
        let (_, sends) = arrive(&mut deployment, ENTRIES[round % 3], "innocent", reset);
        assert!(sends > 0, "refused in round {round}");
        deployment.run(ARRIVAL_INTERVAL_MS);
    }
    assert_eq!(quarantined(&deployment), 0);
}

/// Guards against refusing a request that only ran beside one that crashes upstreams: a success at
/// any host clears it at all of them.
#[test]
fn a_success_clears_a_request_at_all_hosts() {
    let mut deployment = deployment();
    for _ in 0..4 {
        arrive(&mut deployment, ENTRIES[0], "innocent", ended);
        deployment.run(CONTACT_MS);
        arrive(&mut deployment, ENTRIES[1], "innocent", delivered);
        deployment.run(CONTACT_MS);
    }
    assert_eq!(quarantined(&deployment), 0);
}

/// Guards against refusing a request that many callers send, after upstreams ended together for
/// another reason.
#[test]
fn a_request_that_just_succeeded_is_not_quarantined_when_upstreams_end_together() {
    let mut deployment = deployment();
    arrive(&mut deployment, ENTRIES[2], "popular", delivered);
    let tags = ENTRIES.map(|entry| deployment.send_call(entry, request("popular")));
    for (entry, tag) in ENTRIES.into_iter().zip(tags) {
        assert_eq!(finish(&mut deployment, entry, tag, ended), 2);
    }
    deployment.run(CONTACT_MS);
    for entry in ENTRIES {
        let (_, sends) = arrive(&mut deployment, entry, "popular", delivered);
        assert_eq!(sends, 1, "refused by {entry:?}");
    }
}

/// Guards against a request that crashes upstreams since a change of theirs, and is sent on for good
/// because it succeeded before.
#[test]
fn an_old_success_does_not_keep_a_request_from_quarantine() {
    let mut deployment = deployment();
    arrive(&mut deployment, ENTRIES[2], "deadly", delivered);
    deployment.run(SUCCESS_RETENTION_MS);
    for entry in &ENTRIES[..2] {
        arrive(&mut deployment, *entry, "deadly", ended);
    }
    deployment.run(CONTACT_MS);
    let (_, sends) = arrive(&mut deployment, ENTRIES[2], "deadly", ended);
    assert_eq!(sends, 0);
}

/// Guards against a host that restarted after the crashes and sends the request on again.
#[test]
fn a_host_that_restarts_learns_what_is_quarantined() {
    let mut deployment = deployment();
    for entry in &ENTRIES[..2] {
        arrive(&mut deployment, *entry, "deadly", ended);
    }
    deployment.run(30_000);
    deployment.kill(ENTRIES[2]);
    deployment.start(ENTRIES[2]);
    deployment.run(CONTACT_MS);
    let (_, sends) = arrive(&mut deployment, ENTRIES[2], "deadly", ended);
    assert_eq!(sends, 0);
}

/// Guards against a request that is sent on without limit by a host that reaches no store host.
#[test]
fn a_host_without_store_hosts_quarantines_what_it_saw_itself() {
    let mut deployment = deployment();
    for store in STORES {
        deployment.cut(store, ENTRIES[0], true);
    }
    deployment.run(CONTACT_MS);
    let mut sends = 0;
    for _ in 0..10 {
        sends += arrive(&mut deployment, ENTRIES[0], "deadly", ended).1;
        deployment.run(ARRIVAL_INTERVAL_MS);
    }
    assert_eq!(sends, 3);
    for store in STORES {
        deployment.cut(store, ENTRIES[0], false);
    }
}

/// Guards against hosts that were cut off from each other for long and then learn nothing of what
/// the other side saw meanwhile.
#[test]
fn hosts_that_were_cut_off_learn_what_was_quarantined_meanwhile() {
    let mut deployment = deployment();
    arrive(&mut deployment, ENTRIES[0], "known to all", ended);
    deployment.run(CONTACT_MS);
    for store in STORES {
        deployment.cut(store, ENTRIES[0], true);
    }
    for _ in 0..2 {
        arrive(&mut deployment, ENTRIES[0], "seen by the one", ended);
        arrive(&mut deployment, ENTRIES[1], "seen by others", ended);
    }
    deployment.run(20_000);
    for store in STORES {
        deployment.cut(store, ENTRIES[0], false);
    }
    deployment.run(CONTACT_MS);
    let (_, sends) = arrive(&mut deployment, ENTRIES[0], "seen by others", ended);
    assert_eq!(sends, 0);
    let (_, sends) = arrive(&mut deployment, ENTRIES[1], "seen by the one", ended);
    assert_eq!(sends, 0);
}

/// Guards against messages about crashes that are lost for good.
#[test]
fn hosts_learn_what_is_quarantined_although_messages_are_lost() {
    let mut deployment = deployment();
    deployment.drop_percent = 30;
    for entry in &ENTRIES[..2] {
        arrive(&mut deployment, *entry, "deadly", ended);
    }
    deployment.run(CONTACT_MS);
    let (_, sends) = arrive(&mut deployment, ENTRIES[2], "deadly", ended);
    assert_eq!(sends, 0);
}

/// Sends a request whose answer is delivered while it still arrives, and returns whether it was sent.
fn stream(deployment: &mut Deployment, entry: HostId, path: &str, end: LateEnd) -> bool {
    let tag = deployment.send_call(entry, request(path));
    deployment.run(5);
    let Some(forward) = take_forward(deployment, tag) else { return false };
    let (attempt, upstream) = (forward.attempt, forward.upstream.key);
    let begun = ForwardEnd::Begun { status: 200 };
    deployment.deliver(entry, Event::ForwardEnded { attempt, end: begun });
    deployment.run(100);
    let fingerprint = forward.fingerprint;
    deployment.deliver(entry, Event::LateEnd { upstream, fingerprint, end });
    deployment.run(CONTACT_MS);
    true
}

/// Guards against a request that crashes upstreams after the head of their answer, which was taken
/// for a success.
#[test]
fn a_request_that_crashes_upstreams_amid_their_answers_is_quarantined() {
    let mut deployment = deployment();
    let mut sends = 0;
    for round in 0..9 {
        let entry = ENTRIES[round % 3];
        sends += usize::from(stream(&mut deployment, entry, "deadly", LateEnd::UpstreamEnded));
    }
    assert_eq!(sends, QUARANTINE_CRASHES);
}

/// Guards against refusing a request that ran beside one that crashes upstreams, and whose answers
/// are large or streams.
#[test]
fn an_answer_that_arrived_in_full_clears_a_request() {
    let mut deployment = deployment();
    for _ in 0..4 {
        arrive(&mut deployment, ENTRIES[0], "innocent", ended);
        deployment.run(CONTACT_MS);
        assert!(stream(&mut deployment, ENTRIES[1], "innocent", LateEnd::Complete));
    }
    assert_eq!(quarantined(&deployment), 0);
}

/// Guards against a request that is refused for good: its crashes expire at every host.
#[test]
fn a_quarantine_expires() {
    let mut deployment = deployment();
    for entry in &ENTRIES[..2] {
        arrive(&mut deployment, *entry, "deadly", ended);
    }
    deployment.run(RETENTION_MS + 1_000);
    for number in 1..=UPSTREAMS {
        announce(&mut deployment, number, 2);
    }
    deployment.run(500);
    let (_, sends) = arrive(&mut deployment, ENTRIES[2], "deadly", delivered);
    assert_eq!(sends, 1);
}

/// Guards against refusing jobs: their items are owed, whatever crashed under a request with the
/// same content.
#[test]
fn jobs_are_never_quarantined() {
    let mut deployment = deployment();
    deployment.add_engine(SimEngine::new(1));
    for _ in 0..2 {
        let tag = deployment.send_call(ENTRIES[0], request_with(Fingerprint::default()));
        finish(&mut deployment, ENTRIES[0], tag, ended);
    }
    let tag = deployment.submit(ENTRIES[0], job("job-1", 4, 1));
    deployment.run(3_000);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    deployment.run(5_000);
    let page = deployment.results(STORE, "job-1", 0).expect("results");
    assert_eq!(page.results.len(), 4);
}

/// Guards against a table that grows with each request that ran on an upstream that ended.
#[test]
fn the_table_of_suspects_is_bounded_and_keeps_the_quarantined() {
    let mut suspects = Suspects::default();
    let deadly = Fingerprint::new(&[b"deadly"]);
    for upstream in 0..QUARANTINE_CRASHES as u64 {
        suspects.record_crash(deadly, upstream, Millis(1));
    }
    for number in 0..5_000_u32 {
        let fingerprint = Fingerprint::new(&[&number.to_le_bytes()]);
        suspects.record_crash(fingerprint, 1, Millis(2 + u64::from(number)));
    }
    assert!(suspects.len() <= 1_024, "{} suspects", suspects.len());
    assert!(suspects.quarantined_until(deadly, Millis(6_000)).is_some());
}

/// Guards against hosts that send each other the same table without end, or never, as their digests
/// depend on the order of what they learned.
#[test]
fn the_digest_of_a_table_depends_only_on_its_content() {
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    let [first, second] = [Fingerprint::new(&[b"first"]), Fingerprint::new(&[b"second"])];
    for upstream in 0..4 {
        one.record_crash(first, upstream, Millis(1));
    }
    one.record_crash(second, 9, Millis(2));
    one.clear(first, Millis(3));
    other.record_crash(second, 9, Millis(4));
    assert_ne!(one.digest(), other.digest());
    for record in one.changed_since(Millis(0), Millis(5)) {
        other.merge(&record, Millis(5));
    }
    assert_eq!(one.digest(), other.digest());
    for suspects in [&mut one, &mut other] {
        suspects.expire(Millis(RETENTION_MS + 10));
        assert!(suspects.is_empty());
        assert_eq!(suspects.digest(), 0);
    }
}

/// Guards against messages that leave out the quarantined requests, in favour of cleared ones.
#[test]
fn records_of_quarantined_requests_are_sent_before_cleared_ones() {
    let mut suspects = Suspects::default();
    for number in 0..300_u32 {
        let innocent = Fingerprint::new(&[&number.to_le_bytes()]);
        for upstream in 0..4 {
            suspects.record_crash(innocent, upstream, Millis(1));
        }
        suspects.clear(innocent, Millis(1));
    }
    let deadly = Fingerprint::new(&[b"deadly"]);
    for upstream in 0..3 {
        suspects.record_crash(deadly, upstream, Millis(1));
    }
    let records = suspects.changed_since(Millis(0), Millis(5));
    assert!(records.iter().any(|record| record.fingerprint == deadly));
}

/// Guards against crashes that are not counted, as the upstream started again, under the same id,
/// before the end of the attempt was seen.
#[test]
fn a_crash_counts_although_the_upstream_has_started_again() {
    let mut deployment = deployment();
    for round in 0..3 {
        let tag = deployment.send_call(ENTRIES[0], request("deadly"));
        deployment.run(5);
        let forward = take_forward(&mut deployment, tag).expect("an upstream");
        let number = forward.upstream.id.trim_start_matches("desk-").parse().expect("a number");
        announce(&mut deployment, number, 2 + round);
        deployment.run(350);
        let attempt = forward.attempt;
        deployment.deliver(ENTRIES[0], Event::ForwardEnded { attempt, end: ended() });
        finish(&mut deployment, ENTRIES[0], tag, reset);
    }
    let (_, sends) = arrive(&mut deployment, ENTRIES[0], "deadly", ended);
    assert_eq!(sends, 0);
}
