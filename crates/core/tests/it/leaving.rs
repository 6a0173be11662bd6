//! Upstreams that say in an answer that they leave.

use std::collections::BTreeMap;

use chestnutdrift_core::gateway::board::LeaveSource;
use chestnutdrift_core::gateway::{Announcement, Answer, Call, Event, Forward, ForwardEnd, Query};
use chestnutdrift_core::{ErrorKind, Fingerprint, HostId, Millis, Ran, UpstreamKey};

use crate::deployment::{Deployment, SimEngine, job};

const STORE: HostId = HostId(1);
const STORES: u32 = 3;
const ENTRY: HostId = HostId(101);
const OTHER_ENTRY: HostId = HostId(102);

/// How long an announcement takes from a store to the other hosts, with a margin, in milliseconds.
const SPREAD_MS: u64 = 1_500;

/// How long the statement of an upstream takes from one entry to another, in milliseconds: two
/// delays of 200 ms, and four hops.
const MAX_REPORT_MS: u64 = 500;

pub(crate) fn announcement(id: &str, started_at: u64, seq: u64) -> Announcement {
    Announcement {
        id: id.into(),
        service: "desk".into(),
        address: "10.0.0.8:8000".into(),
        zone: "zone-1".into(),
        slots: 8,
        leaving: false,
        started_at,
        seq,
        versions: Vec::new(),
        software: "v1".into(),
        reclaimable: false,
        leaves_in: None,
    }
}

pub(crate) fn announce(deployment: &mut Deployment, announced: Announcement) {
    deployment.send_call(STORE, Call::Announce(announced));
    deployment.run(SPREAD_MS);
}

pub(crate) fn start(seed: u64) -> Deployment {
    let mut deployment = Deployment::new(seed, STORES, 2);
    deployment.start_serving();
    for id in ["desk-1", "desk-2"] {
        announce(&mut deployment, announcement(id, 1, 5));
    }
    deployment
}

fn cut_from_stores(deployment: &mut Deployment, entry: HostId, cut: bool) {
    for store in 1..=STORES {
        deployment.cut(entry, HostId(store), cut);
    }
}

fn key(deployment: &Deployment, host: HostId, id: &str) -> UpstreamKey {
    deployment.gateway(host).board().upstream_index[id]
}

/// Reports that an answer to a host said that an upstream leaves.
fn say_leaving(deployment: &mut Deployment, host: HostId, id: &str) {
    let upstream = key(deployment, host, id);
    let answer = "status=200".into();
    deployment.deliver(host, Event::UpstreamLeaving { upstream, answer });
    deployment.run(1);
}

fn request() -> Call {
    let fingerprint = Fingerprint::new(&[b"/desk/1"]);
    Call::Request {
        host: "desk.example".into(),
        path: "/desk/1".into(),
        fingerprint,
        resumes: None,
        key: None,
    }
}

/// Sends requests to an entry and returns how many of them went to each of the upstreams.
pub(crate) fn forwards(deployment: &mut Deployment, entry: HostId, ids: [&str; 2]) -> [usize; 2] {
    let before = deployment.forwards.len();
    for _ in 0..10 {
        deployment.call(entry, request(), 20);
    }
    let sent = &deployment.forwards[before..];
    ids.map(|id| {
        let to = |(host, forward): &&(HostId, _)| {
            let forward: &Forward = forward;
            *host == entry && *forward.upstream.id == *id
        };
        sent.iter().filter(to).count()
    })
}

/// Guards against requests to an upstream that says that it leaves while its announcements say that
/// it is ready, on a host that hears from no store.
#[test]
fn an_upstream_that_says_it_leaves_gets_no_request_from_a_host_cut_off_from_the_stores() {
    let mut deployment = start(31);
    cut_from_stores(&mut deployment, ENTRY, true);
    deployment.run(5_000);
    say_leaving(&mut deployment, ENTRY, "desk-1");
    let [leaving, other] = forwards(&mut deployment, ENTRY, ["desk-1", "desk-2"]);
    assert_eq!(leaving, 0);
    assert!(other > 0);
    let log = deployment.timeline.iter().filter(|event| &*event.subject == "desk-1");
    let said = log.filter(|event| event.detail.contains("said that it leaves: status=200"));
    assert_eq!(said.filter(|event| event.host == ENTRY).count(), 1, "one log line of this host");
}

/// Guards against announcements of an instance that bring it back after it said that it leaves.
#[test]
fn no_announcement_of_the_same_instance_brings_a_leaving_upstream_back() {
    let mut deployment = start(32);
    say_leaving(&mut deployment, ENTRY, "desk-1");
    for seq in [4, 5, 6, 60] {
        announce(&mut deployment, announcement("desk-1", 1, seq));
        let [leaving, _] = forwards(&mut deployment, ENTRY, ["desk-1", "desk-2"]);
        assert_eq!(leaving, 0, "after announcement {seq}");
    }
    cut_from_stores(&mut deployment, ENTRY, true);
    deployment.run(5_000);
    cut_from_stores(&mut deployment, ENTRY, false);
    deployment.run(5_000);
    let [leaving, _] = forwards(&mut deployment, ENTRY, ["desk-1", "desk-2"]);
    assert_eq!(leaving, 0, "after a cut");
}

/// Guards against a new instance that gets nothing because the one before it said that it leaves.
#[test]
fn a_new_instance_serves_at_once_after_one_that_said_it_leaves() {
    let mut deployment = start(33);
    let old = key(&deployment, ENTRY, "desk-1");
    say_leaving(&mut deployment, ENTRY, "desk-1");
    say_leaving(&mut deployment, ENTRY, "desk-2");
    announce(&mut deployment, announcement("desk-1", 2, 1));
    let [restarted, _] = forwards(&mut deployment, ENTRY, ["desk-1", "desk-2"]);
    assert!(restarted > 0, "the same id with a later start");
    announce(&mut deployment, announcement("desk-3", 1, 1));
    let [other, _] = forwards(&mut deployment, ENTRY, ["desk-3", "desk-2"]);
    assert!(other > 0, "another id at the same address");
    // A late answer of the old instance.
    let late = Event::UpstreamLeaving { upstream: old, answer: "status=200".into() };
    deployment.deliver(ENTRY, late);
    announce(&mut deployment, announcement("desk-1", 1, 90));
    let [restarted, _] = forwards(&mut deployment, ENTRY, ["desk-1", "desk-2"]);
    assert!(restarted > 0, "after a late answer and a late announcement");
}

/// Guards against a request or a stream that is broken off because its upstream says that it leaves.
#[test]
fn what_runs_at_a_leaving_upstream_runs_on() {
    let mut deployment = start(34);
    let tag = deployment.send_call(ENTRY, request());
    deployment.run(20);
    let (_, running) = deployment.forwards.last().cloned().expect("a forward");
    say_leaving(&mut deployment, ENTRY, &running.upstream.id);
    deployment.run(100);
    assert!(!deployment.answers.contains_key(&tag));
    let upstream = deployment.gateway(ENTRY).board().upstreams.get(running.upstream.key);
    let upstream = upstream.expect("the upstream");
    assert_eq!(upstream.in_flight, 1);
    assert_eq!(upstream.said_leaving.map(|said| said.source), Some(LeaveSource::Answer));
}

/// Guards against requests that wait although every upstream of their service leaves.
#[test]
fn a_request_is_rejected_at_once_where_all_upstreams_leave() {
    let mut deployment = start(35);
    say_leaving(&mut deployment, ENTRY, "desk-1");
    say_leaving(&mut deployment, ENTRY, "desk-2");
    let answer = deployment.call(ENTRY, request(), 2);
    let Some(Answer::Problem(problem)) = answer else { panic!("{answer:?}") };
    assert_eq!((problem.kind, problem.ran), (ErrorKind::Unavailable, Ran::No));
    assert!(problem.retry_after_ms.is_some());
    let page = deployment.call(ENTRY, Call::Query(Query::Counters), 2);
    let Some(Answer::Counters(counters)) = page else { panic!("{page:?}") };
    assert_eq!(counters.upstreams_leaving, 2);
}

/// Guards against orders that change an upstream that has said that it leaves.
#[test]
fn a_leaving_engine_gets_no_order() {
    let mut deployment = Deployment::new(36, STORES, 2);
    let leader = deployment.start_serving();
    for number in [1, 2] {
        deployment.add_engine(SimEngine::new(number));
    }
    deployment.run(SPREAD_MS + 3_000);
    say_leaving(&mut deployment, leader, "engine-1");
    let named = Call::NameVersion { model: "model".into(), version: 2 };
    assert_eq!(deployment.call(leader, named, 900), Some(Answer::Done));
    deployment.run(8_000);
    let ordered: Vec<&str> =
        deployment.orders.iter().map(|(_, _, order)| &*order.upstream.id).collect();
    assert!(ordered.contains(&"engine-2"), "{ordered:?}");
    assert!(!ordered.contains(&"engine-1"), "{ordered:?}");
}

/// Guards against callers that meet a leaving upstream again at another host.
#[test]
fn other_hosts_learn_soon_that_an_upstream_said_it_leaves() {
    for seed in 37..47 {
        let mut deployment = start(seed);
        say_leaving(&mut deployment, ENTRY, "desk-1");
        deployment.run(MAX_REPORT_MS);
        let [leaving, other] = forwards(&mut deployment, OTHER_ENTRY, ["desk-1", "desk-2"]);
        assert_eq!(leaving, 0, "seed {seed}");
        assert!(other > 0, "seed {seed}");
        announce(&mut deployment, announcement("desk-1", 2, 1));
        let [restarted, _] = forwards(&mut deployment, OTHER_ENTRY, ["desk-1", "desk-2"]);
        assert!(restarted > 0, "seed {seed}: a new instance serves there too");
    }
}

/// Guards against callers that meet a leaving upstream where a store host was told by it.
#[test]
fn all_entries_learn_soon_what_an_upstream_said_to_a_store_host() {
    for seed in 47..57 {
        let mut deployment = start(seed);
        say_leaving(&mut deployment, HostId(2), "desk-1");
        deployment.run(MAX_REPORT_MS);
        for entry in [ENTRY, OTHER_ENTRY] {
            let [leaving, other] = forwards(&mut deployment, entry, ["desk-1", "desk-2"]);
            assert_eq!(leaving, 0, "seed {seed}, {entry:?}");
            assert!(other > 0, "seed {seed}, {entry:?}");
        }
    }
}

/// Guards against a statement that is lost because its host could not pass it on at once.
#[test]
fn other_hosts_learn_what_a_host_saw_while_it_was_cut_off_from_the_stores() {
    let mut deployment = start(57);
    cut_from_stores(&mut deployment, ENTRY, true);
    deployment.run(5_000);
    say_leaving(&mut deployment, ENTRY, "desk-1");
    deployment.run(5_000);
    cut_from_stores(&mut deployment, ENTRY, false);
    deployment.run(SPREAD_MS + 1_000);
    let [leaving, other] = forwards(&mut deployment, OTHER_ENTRY, ["desk-1", "desk-2"]);
    assert_eq!(leaving, 0);
    assert!(other > 0);
}

/// Guards against a report on an instance that comes after the next instance has joined.
#[test]
fn a_late_report_on_an_instance_does_not_stop_the_next_one() {
    let mut deployment = start(58);
    cut_from_stores(&mut deployment, ENTRY, true);
    deployment.run(5_000);
    say_leaving(&mut deployment, ENTRY, "desk-1");
    announce(&mut deployment, announcement("desk-1", 2, 1));
    cut_from_stores(&mut deployment, ENTRY, false);
    deployment.run(5_000);
    for entry in [ENTRY, OTHER_ENTRY] {
        let [restarted, _] = forwards(&mut deployment, entry, ["desk-1", "desk-2"]);
        assert!(restarted > 0, "{entry:?}");
    }
}

/// Guards against a statement that hosts forget once those that passed it on have started again.
#[test]
fn a_statement_outlives_restarts_of_the_hosts_that_passed_it_on() {
    let mut deployment = start(59);
    say_leaving(&mut deployment, ENTRY, "desk-1");
    deployment.run(1_000);
    for host in [HostId(1), HostId(2), HostId(3), OTHER_ENTRY] {
        deployment.kill(host);
        deployment.run(200);
        deployment.start(host);
        deployment.run(5_000);
    }
    for id in ["desk-1", "desk-2"] {
        announce(&mut deployment, announcement(id, 1, 70));
    }
    for entry in [ENTRY, OTHER_ENTRY] {
        let [leaving, other] = forwards(&mut deployment, entry, ["desk-1", "desk-2"]);
        assert_eq!(leaving, 0, "{entry:?}");
        assert!(other > 0, "{entry:?}");
    }
}

/// Guards against a request that waits after the last upstream refused it and said that it leaves.
#[test]
fn a_refused_request_is_rejected_at_once_where_all_upstreams_leave() {
    let mut deployment = start(60);
    let tag = deployment.send_call(ENTRY, request());
    deployment.run(20);
    let (_, running) = deployment.forwards.last().cloned().expect("a forward");
    say_leaving(&mut deployment, ENTRY, "desk-1");
    say_leaving(&mut deployment, ENTRY, "desk-2");
    let end = ForwardEnd::NotRun { status: 503, other_instance: false };
    deployment.deliver(ENTRY, Event::ForwardEnded { attempt: running.attempt, end });
    deployment.run(2);
    let Some(Answer::Problem(problem)) = deployment.answers.get(&tag) else {
        panic!("{:?}", deployment.answers.get(&tag))
    };
    assert_eq!((problem.kind, problem.ran), (ErrorKind::Unavailable, Ran::No));
    assert!(problem.retry_after_ms.is_some());
}

/// Guards against an upstream that says it leaves and never goes, and that no operator sees.
#[test]
fn an_upstream_that_never_goes_is_counted_until_a_new_instance_joins() {
    let mut deployment = start(61);
    say_leaving(&mut deployment, ENTRY, "desk-1");
    for seq in 10..70 {
        for id in ["desk-1", "desk-2"] {
            deployment.send_call(STORE, Call::Announce(announcement(id, 1, seq)));
        }
        deployment.run(1_000);
    }
    assert_eq!(leaving_states(&mut deployment), (1, 1));
    announce(&mut deployment, announcement("desk-1", 2, 1));
    assert_eq!(leaving_states(&mut deployment), (0, 0));
}

/// Returns how many upstreams the metrics of an entry count as leaving, and how many its list does.
fn leaving_states(deployment: &mut Deployment) -> (u64, usize) {
    let page = deployment.call(ENTRY, Call::Query(Query::Counters), 2);
    let Some(Answer::Counters(counters)) = page else { panic!("{page:?}") };
    let page = deployment.call(ENTRY, Call::Query(Query::Upstreams), 2);
    let Some(Answer::Upstreams(views)) = page else { panic!("{page:?}") };
    let leaving = views.iter().filter(|view| &*view.state == "leaving").count();
    (counters.upstreams_leaving, leaving)
}

/// Guards against items that are broken off at an engine that leaves, or are given to it.
#[test]
fn items_at_a_leaving_engine_run_on_and_no_further_ones_come() {
    let mut deployment = Deployment::new(62, STORES, 1);
    deployment.event_interval_ms = 200;
    for number in [1, 2] {
        deployment.add_engine(SimEngine::new(number));
    }
    let leader = deployment.start_serving();
    deployment.run(SPREAD_MS);
    deployment.submit(ENTRY, job("job", 64, 1));
    deployment.run(300);
    let started = |deployment: &Deployment| {
        let engine = deployment.engines.iter().find(|engine| &*engine.id == "engine-1");
        engine.expect("the engine").started_runs.len()
    };
    let upstream = key(&deployment, leader, "engine-1");
    assert!(
        deployment.gateway(leader).board().upstreams[upstream].in_flight > 0,
        "items run there"
    );
    let before = started(&deployment);
    say_leaving(&mut deployment, leader, "engine-1");
    deployment.run(20_000);
    assert_eq!(started(&deployment), before);
    let ended = deployment.timeline.iter().filter(|event| event.detail.contains(" end="));
    let broken_off = ended.filter(|event| !event.detail.ends_with("end=Whole")).count();
    assert_eq!(broken_off, 0, "runs that were broken off");
    let results = deployment.results(ENTRY, "job", 0).expect("a page");
    assert_eq!(results.results.len(), 64);
}

/// Guards against items that are lost with their engine although its departure was announced in time,
/// and against items that are moved although they end before.
#[test]
fn items_that_end_after_their_engine_is_gone_move_in_time() {
    let mut deployment = Deployment::new(63, STORES, 1);
    (deployment.event_interval_ms, deployment.events_per_item) = (47, Some(150));
    (deployment.engine_slots, deployment.runs) = (8, Some(BTreeMap::new()));
    for number in 1..=3 {
        deployment.add_engine(SimEngine::new(number));
    }
    let leader = deployment.start_serving();
    let submit = |deployment: &mut Deployment, id: &str| {
        let mut body = job(id, 6, 1);
        body.items.iter_mut().for_each(|item| item.expected_tokens = 150 * 64);
        deployment.submit(ENTRY, body);
    };
    submit(&mut deployment, "early");
    deployment.run(5_500);
    submit(&mut deployment, "late");
    deployment.run(1_000);
    // The early items still run for a second, the late ones for six.
    let on_engine = |deployment: &Deployment| {
        let board = deployment.gateway(leader).board();
        board.upstreams[board.upstream_index["engine-1"]].in_flight
    };
    assert_eq!(on_engine(&deployment), 4);
    deployment.engines[0].leaving = true;
    deployment.engines[0].seq += 1;
    let mut announced = deployment.engines[0].announcement(8);
    (announced.reclaimable, announced.leaves_in) = (true, Some(Millis(2_300)));
    deployment.send_call(STORE, Call::Announce(announced));
    deployment.run(500);
    assert_eq!(on_engine(&deployment), 2, "the late items move at once");
    deployment.run(1_800);
    assert_eq!(deployment.take_away("engine-1"), 0, "runs that broke off");
    deployment.run(10_000);
    let moved = deployment.gateway(leader).board().counters.items_moved_in_time;
    assert_eq!(moved, 2);
    let resumed = deployment.engines[1..].iter().flat_map(|engine| &engine.started_runs);
    assert_eq!(resumed.filter(|(_, first)| *first > 1).count(), 2, "the text goes on");
    for id in ["early", "late"] {
        let results = deployment.results(ENTRY, id, 0).expect("a page");
        assert_eq!(results.results.len(), 6);
    }
}

/// Guards against items that stay on an engine to its end because its notice came after the
/// announcement that it leaves.
#[test]
fn a_notice_after_the_first_statement_reaches_other_hosts() {
    let mut deployment = start(64);
    let mut announced = announcement("desk-1", 1, 6);
    announced.leaving = true;
    announce(&mut deployment, announced.clone());
    (announced.seq, announced.leaves_in) = (7, Some(Millis(20_000)));
    announce(&mut deployment, announced);
    let upstream = key(&deployment, ENTRY, "desk-1");
    let notice = deployment.gateway(ENTRY).board().upstreams[upstream].leave_notice;
    assert!(notice.is_some());
}
