//! The directory group: routing configurations, model versions, jobs and voters, through failures.

use chestnutdrift_core::directory::ItemOutcome;
use chestnutdrift_core::gateway::board::UpstreamHealth;
use chestnutdrift_core::gateway::{Announcement, Answer, Call, JobCaller, Role};
use chestnutdrift_core::{Fingerprint, HostId, Millis};
use test_case::test_case;

use crate::deployment::{Deployment, SimEngine, job, routing};

pub(crate) const STORES: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
pub(crate) const ENTRY: HostId = HostId(101);

/// Returns a running deployment of three stores, two entries and four engines, with a routing
/// configuration in force.
pub(crate) fn started(seed: u64) -> Deployment {
    let mut deployment = Deployment::new(seed, 3, 2);
    for number in 1..=4 {
        deployment.add_engine(SimEngine::new(number));
    }
    deployment.run(4_000);
    let put = deployment.call(STORES[1], Call::PutRouting(routing(1)), 900);
    assert_eq!(put, Some(Answer::Done));
    deployment.run(2_500);
    deployment
}

#[test]
fn a_routing_configuration_reaches_every_host_and_can_be_read_from_every_store() {
    let mut deployment = started(1);
    for id in [STORES[0], STORES[1], STORES[2], ENTRY, HostId(102)] {
        let version = deployment.gateway(id).board().routing.as_ref().map(|r| r.version);
        assert_eq!(version, Some(1), "{id:?}");
    }
    for id in STORES {
        let read = deployment.call(id, Call::GetRouting, 900);
        assert_eq!(read, Some(Answer::Routing("routing 1".into())), "{id:?}");
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
fn a_leader_is_elected_within_seconds_after_a_power_loss_of_all_stores(seed: u64) {
    let mut deployment = started(seed);
    let tag = deployment.submit(ENTRY, job("job", 40, 1));
    deployment.run(60);
    for id in STORES {
        deployment.kill(id);
    }
    deployment.run(1_300);
    for id in STORES {
        deployment.start(id);
    }
    deployment.run(4_000);
    let state = deployment.describe();
    assert!(deployment.leader().is_some(), "no leader 4 s after all stores restarted\n{state}");
    let accepted = deployment.answers.get(&tag) == Some(&Answer::Accepted);
    deployment.run(6_000);
    let page = deployment.results(ENTRY, "job", 0);
    assert!(!accepted || page.is_some_and(|page| page.results.len() == 40), "a job is lost");
    let read = deployment.call(STORES[0], Call::GetRouting, 900);
    assert_eq!(read, Some(Answer::Routing("routing 1".into())));
}

#[test_case(false; "alone")]
#[test_case(true; "with all others")]
fn a_restarted_leader_leads_again_at_once(all: bool) {
    let mut deployment = started(22);
    let old = deployment.leader().expect("a leader");
    let killed: Vec<HostId> = STORES.into_iter().filter(|id| all || *id == old).collect();
    for id in &killed {
        deployment.kill(*id);
    }
    deployment.run(500);
    for id in &killed {
        deployment.start(*id);
    }
    // The other stores start an election only after the election timeout, 1.2 s after the leader's
    // last message.
    deployment.run(400);
    assert_eq!(deployment.leader(), Some(old), "{}", deployment.describe());
}

#[test]
fn a_restarted_leader_that_fell_behind_is_not_elected() {
    let mut deployment = started(23);
    let old = deployment.leader().expect("a leader");
    deployment.kill(old);
    deployment.run(4_000);
    let new = deployment.leader().expect("another leader");
    assert_ne!(old, new);
    deployment.start(old);
    deployment.run(1_000);
    assert_eq!(deployment.leader(), Some(new), "{}", deployment.describe());
}

#[test]
fn each_item_of_a_job_has_one_result_that_is_the_same_on_every_entry() {
    let mut deployment = started(9);
    deployment.engines[0].break_percent = 50;
    let tag = deployment.submit(ENTRY, job("job", 40, 1));
    deployment.run(6_000);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    let first = deployment.results(ENTRY, "job", 0).expect("a page");
    assert_eq!((first.total, first.next), (40, 40));
    let second = deployment.results(HostId(102), "job", 0).expect("a page");
    assert_eq!(first, second);
    for entry in &first.results {
        let ItemOutcome::Completed { text, .. } = &entry.outcome else { panic!("{entry:?}") };
        let number = entry.id.trim_start_matches("job-");
        let expected: Vec<String> =
            (1..=text.lines().count()).map(|id| format!("{number}.{id}")).collect();
        assert_eq!(**text, *expected.join("\n"), "events are missing or doubled");
    }
}

/// Guards against a leader that cut all runs, and had whole texts run again, each time that answers to
/// its heartbeats came late.
#[test_case(true; "without its lease for a moment")]
#[test_case(false; "without a majority for longer")]
fn runs_were_cut_when_the_lease_lapsed_for_a_moment(is_short: bool) {
    let mut deployment = started(24);
    deployment.events_per_item = Some(200);
    let tag = deployment.submit(ENTRY, job("job", 12, 1));
    deployment.run(500);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    let leader = deployment.leader().expect("a leader");
    for other in STORES.into_iter().filter(|id| *id != leader) {
        deployment.cut(leader, other, true);
    }
    // The lease ends 0.9 s after the last heartbeat that was answered, the leadership after 1.2 s.
    let mut lapsed = false;
    for _ in 0..120 {
        deployment.run(10);
        lapsed |= deployment.leader().is_none();
        if lapsed && is_short {
            break;
        }
    }
    assert!(lapsed, "the lease never lapsed");
    deployment.run(if is_short { 0 } else { 3_000 });
    for other in STORES.into_iter().filter(|id| *id != leader) {
        deployment.cut(leader, other, false);
    }
    deployment.run(12_000);
    let page = deployment.results(ENTRY, "job", 0).expect("a page");
    assert_eq!(page.results.len(), 12);
    let runs: usize = deployment.engines.iter().map(|engine| engine.started_runs.len()).sum();
    if is_short {
        assert_eq!(deployment.leader(), Some(leader));
        assert_eq!(runs, 12, "each item runs once");
    } else {
        assert!(runs > 12, "another leader runs the items again");
    }
}

#[test]
fn a_frozen_leader_has_lost_its_lease_when_it_resumes_and_the_job_completes() {
    let mut deployment = started(11);
    let tag = deployment.submit(ENTRY, job("job", 40, 1));
    deployment.run(80);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    let old = deployment.leader().expect("a leader");
    deployment.freeze(old);
    deployment.run(4_000);
    let new = deployment.leader().expect("another leader");
    assert_ne!(old, new);
    deployment.thaw(old);
    assert!(!deployment.gateway(old).board().leads(), "it resumed with its lease");
    deployment.run(6_000);
    let page = deployment.results(ENTRY, "job", 0).expect("a page");
    assert_eq!(page.results.len(), 40);
}

#[test]
fn a_store_that_lost_its_disk_rejoins_before_a_second_disk_is_lost() {
    let mut deployment = started(12);
    let tag = deployment.submit(ENTRY, job("job", 20, 1));
    deployment.run(3_000);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    let leader = deployment.leader().expect("a leader");
    let first = *STORES.iter().find(|id| **id != leader).expect("a follower");
    for lost in [first, leader] {
        deployment.kill(lost);
        deployment.lose_disk(lost);
        deployment.run(500);
        deployment.start(lost);
        deployment.run(4_700);
    }
    let page = deployment.results(ENTRY, "job", 0).expect("a page");
    assert_eq!(page.results.len(), 20);
    let read = deployment.call(STORES[0], Call::GetRouting, 900);
    assert_eq!(read, Some(Answer::Routing("routing 1".into())));
}

#[test]
fn a_spare_store_replaces_a_retired_store() {
    let mut deployment = started(13);
    let spare = HostId(4);
    let rejected = deployment.call(STORES[0], Call::Retire { host: "store-1".into() }, 900);
    assert!(
        matches!(rejected, Some(Answer::Problem(_))),
        "too few stores would remain: {rejected:?}"
    );
    deployment.add(spare, Role::Store, false);
    deployment.run(3_000);
    let leader = deployment.leader().expect("a leader");
    let host: Box<str> = format!("store-{}", leader.0).into();
    let retired = deployment.call(leader, Call::Retire { host: host.clone() }, 900);
    assert_eq!(retired, Some(Answer::Done));
    deployment.run(6_000);
    let status = deployment.call(spare, Call::RetireStatus { host }, 900);
    assert_eq!(status, Some(Answer::Retiring { complete: true }));
    deployment.kill(leader);
    let next = deployment.leader().expect("another leader");
    assert_ne!(next, leader);
    let dead = *STORES.iter().find(|id| **id != leader && **id != next).expect("a follower");
    deployment.kill(dead);
    let read = deployment.call(next, Call::GetRouting, 900);
    assert_eq!(read, Some(Answer::Routing("routing 1".into())), "two of three voters are running");
}

#[test]
fn a_restarted_store_serves_no_results_page_before_it_has_caught_up() {
    let mut deployment = started(14);
    let restarted = STORES[2];
    deployment.submit(ENTRY, job("job", 60, 1));
    deployment.run(100);
    // More entries than fit into one append follow the job in the log, so the restarted store
    // catches up in several steps.
    deployment.kill(restarted);
    for number in 0..200 {
        let model = format!("other-{number}").into();
        deployment.send_call(STORES[0], Call::NameVersion { model, version: 2 });
    }
    deployment.run(4_000);
    let before = deployment.results(ENTRY, "job", 0).expect("a page").results.len();
    assert_eq!(before, 60);
    deployment.start(restarted);
    for _ in 0..200 {
        deployment.run(10);
        let call = Call::Results {
            job: "job".into(),
            after: 59,
            wait: Millis(0),
            caller: JobCaller::default(),
        };
        let Some(Answer::Results(page)) = deployment.call(restarted, call, 10) else { continue };
        assert_eq!(page.results.len(), 1, "a result that was already read is missing");
    }
}

#[test]
fn only_one_host_at_a_time_orders_engines_to_load_versions() {
    let mut deployment = started(15);
    deployment.run(2_000);
    for version in 2..=6 {
        let named = Call::NameVersion { model: "model".into(), version };
        assert_eq!(deployment.call(STORES[1], named, 900), Some(Answer::Done));
        if version == 4 {
            let leader = deployment.leader().expect("a leader");
            deployment.kill(leader);
            deployment.run(500);
            deployment.start(leader);
        }
        deployment.run(9_000);
        let versions = deployment.engines.iter().map(|engine| engine.versions["model"]);
        let oldest = versions.min();
        assert!(oldest >= Some(version - 1), "version {version}: an engine has {oldest:?}");
    }
    const ORDERER_LEASE_MS: u64 = 3_000;
    for pair in deployment.orders.windows(2) {
        let ((before, a, first), (after, b, second)) = (&pair[0], &pair[1]);
        assert!(
            a == b || after - before > ORDERER_LEASE_MS,
            "{a:?} and {b:?} gave orders within one lease"
        );
        assert!(second.fence >= first.fence);
    }
}

#[test]
fn an_isolated_leader_answers_no_reads_and_the_other_stores_continue() {
    let mut deployment = started(16);
    let old = deployment.leader().expect("a leader");
    for id in STORES {
        deployment.cut(old, id, true);
    }
    deployment.run(3_500);
    let other = *STORES.iter().find(|id| **id != old).expect("another store");
    let put = deployment.call(other, Call::PutRouting(routing(2)), 900);
    assert_eq!(put, Some(Answer::Done));
    let stale = deployment.call(old, Call::GetRouting, 1_500);
    assert!(matches!(stale, Some(Answer::Problem(_))), "{stale:?}");
    for id in STORES {
        deployment.cut(old, id, false);
    }
    deployment.run(2_500);
    let read = deployment.call(old, Call::GetRouting, 900);
    assert_eq!(read, Some(Answer::Routing("routing 2".into())));
    let entry = deployment.gateway(ENTRY).board().routing.as_ref().map(|r| r.version);
    assert_eq!(entry, Some(2));
}

#[test]
fn a_stopping_leader_transfers_its_leadership_at_once() {
    let mut deployment = started(18);
    let old = deployment.leader().expect("a leader");
    deployment.stop(old);
    deployment.run(300);
    let new = deployment.leader().expect("another leader within 300 ms");
    assert_ne!(old, new);
    deployment.run(2_000);
    let put = deployment.call(new, Call::PutRouting(routing(2)), 900);
    assert_eq!(put, Some(Answer::Done));
}

#[test]
fn at_least_a_third_of_the_engines_can_run_each_of_two_models_during_loads() {
    let mut deployment = started(19);
    // Of ten engines two load at a time, in 0.9 s each: eight loads in the 4 s between two versions
    // of the two models.
    for number in 5..=10 {
        deployment.add_engine(SimEngine::new(number));
    }
    deployment.run(2_000);
    for version in 2..=8 {
        for model in ["model", "other"] {
            let usable =
                deployment.engines.iter().filter(|engine| engine.versions[model] + 2 > version);
            let (usable, all) = (usable.count(), deployment.engines.len());
            assert!(usable * 3 >= all, "{usable} of {all} engines can run {model} {version}");
            let named = Call::NameVersion { model: model.into(), version };
            assert_eq!(deployment.call(STORES[1], named, 100), Some(Answer::Done));
        }
        deployment.run(4_000);
    }
}

/// Guards against an order of the process before a restart that arrives after one of its successor.
#[test]
fn a_restarted_leader_waits_for_orders_in_transit_and_a_new_leader_for_the_lease() {
    // The time for which the system retransmits, and a margin.
    const TRANSIT_MS: u64 = 2_300;
    const START_MS: u64 = 400;
    let mut deployment = started(24);
    deployment.run(2_000);
    let old = deployment.leader().expect("a leader");
    let named = |version| Call::NameVersion { model: "model".into(), version };
    let restart_and_order = |deployment: &mut Deployment, pause, version| {
        deployment.kill(old);
        deployment.run(pause);
        deployment.start(old);
        deployment.run(START_MS);
        let (store, from) =
            (*STORES.iter().find(|id| **id != old).expect("a store"), deployment.now);
        assert_eq!(deployment.call(store, named(version), 6_000), Some(Answer::Done));
        let order = deployment.orders.iter().find(|(_, _, order)| order.version == version);
        let (ordered_at, by, _) = order.expect("an order");
        (ordered_at - from, *by)
    };
    let (waited, by) = restart_and_order(&mut deployment, 300, 2);
    let since_start = waited + START_MS;
    let is_in_time = (TRANSIT_MS..=TRANSIT_MS + 1_100).contains(&since_start);
    assert!(by == old && is_in_time, "{by:?} gave an order {since_start} ms after its start");
    let (waited, by) = restart_and_order(&mut deployment, 2_900, 3);
    assert!(by != old && waited >= 300, "{by:?} gave an order after {waited} ms");
    const ORDERER_LEASE_MS: u64 = 3_000;
    for pair in deployment.orders.windows(2) {
        let ((before, a, _), (after, b, _)) = (&pair[0], &pair[1]);
        assert!(
            a == b || after - before > ORDERER_LEASE_MS,
            "{a:?} and {b:?} gave orders within one lease"
        );
    }
}

#[test]
fn a_model_whose_jobs_no_engine_can_run_is_loaded_first() {
    let mut deployment = started(25);
    deployment.run(2_000);
    deployment.submit(ENTRY, job("job", 8, 4));
    deployment.run(100);
    for (model, version) in [("other", 7), ("model", 5)] {
        let named = Call::NameVersion { model: model.into(), version };
        assert_eq!(deployment.call(STORES[0], named, 100), Some(Answer::Done));
    }
    // Of four engines one loads at a time, in 0.9 s.
    deployment.run(2_000);
    let able = deployment.engines.iter().filter(|engine| engine.versions["model"] >= 4).count();
    assert!(able >= 1, "no engine can run the job: {:?}", deployment.orders);
    deployment.run(1_500);
    let page = deployment.results(ENTRY, "job", 0).expect("a page");
    assert_eq!(page.results.len(), 8);
}

#[test]
fn conflicting_announcements_with_one_sequence_number_converge() {
    let mut deployment = started(26);
    let announcement = |version| Announcement {
        id: "desk-1".into(),
        service: "desk".into(),
        address: "10.0.0.8:8000".into(),
        zone: "zone-1".into(),
        slots: 4,
        leaving: false,
        started_at: 1,
        seq: 34,
        versions: vec![("model".into(), version)],
        software: "v1".into(),
        reclaimable: false,
        leaves_in: None,
    };
    let first_event = deployment.timeline.len();
    for (store, version) in STORES.into_iter().zip([3, 5, 3]) {
        deployment.send_call(store, Call::Announce(announcement(version)));
    }
    deployment.run(1_000);
    let changes = deployment.timeline[first_event..]
        .iter()
        .filter(|event| &*event.subject == "desk-1")
        .count();
    assert!(changes <= 12, "the hosts reported {changes} changes of one upstream");
    for id in STORES.into_iter().chain([ENTRY]) {
        let board = deployment.gateway(id).board();
        let upstream =
            board.upstreams.values().find(|upstream| &*upstream.announced.id == "desk-1");
        assert_eq!(upstream.map(|upstream| &upstream.announced), Some(&announcement(5)), "{id:?}");
    }
}

#[test]
fn failures_within_the_cooldown_of_an_upstream_count_as_one() {
    let mut health = UpstreamHealth::default();
    for _ in 0..12 {
        health.record_failure(Millis(1_000));
    }
    assert_eq!(health.avoid_until, Millis(1_250));
    health.record_failure(Millis(1_250));
    assert_eq!(health.avoid_until, Millis(1_750), "a failure after the cooldown doubles it");
}

#[test]
fn a_job_that_ends_with_results_in_flight_leaves_no_overdue_deadline() {
    let mut deployment = started(20);
    for index in 0..20 {
        let id = format!("job-{index}");
        deployment.submit(ENTRY, job(&id, 8, 1));
        deployment.run(80 + index * 7);
        deployment.send_call(ENTRY, Call::EndJob { job: id.into(), caller: JobCaller::default() });
        deployment.run(500);
        let leader = deployment.leader().expect("a leader");
        assert!(!deployment.is_overdue(leader), "job {index}");
    }
}

#[test]
fn a_request_without_an_alternative_upstream_leaves_no_overdue_deadline() {
    let mut deployment = started(21);
    let announcement = Announcement {
        id: "desk-1".into(),
        service: "desk".into(),
        address: "10.0.0.8:8000".into(),
        zone: "zone-1".into(),
        slots: 4,
        leaving: false,
        started_at: 1,
        seq: 1,
        versions: Vec::new(),
        software: "v1".into(),
        reclaimable: false,
        leaves_in: None,
    };
    deployment.send_call(STORES[0], Call::Announce(announcement));
    deployment.run(200);
    let request = Call::Request {
        host: "desk.example".into(),
        path: "/desk/1".into(),
        fingerprint: Fingerprint::default(),
        resumes: None,
        key: None,
    };
    deployment.send_call(ENTRY, request);
    deployment.run(700);
    assert_eq!(deployment.forwards.len(), 1);
    assert!(!deployment.is_overdue(ENTRY), "the only upstream has the request");
}
