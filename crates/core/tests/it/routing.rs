//! The choice of an upstream, queues, retries, and rejections.

use chestnutdrift_core::action::Answer;
use chestnutdrift_core::event::{Call, Event, RunCall};
use chestnutdrift_core::fleet::SettingKey;
use chestnutdrift_core::{ErrorKind, Ran};

use crate::world::World;

/// Returns an idempotent chat request to a service.
pub(crate) fn chat(service: &str) -> Call {
    Call::Run(RunCall {
        caller: "clerk".into(),
        service: service.into(),
        idempotent: true,
        key: None,
        fingerprint: 0,
        max_tokens: 8,
        prefix_checksum: 0,
    })
}

#[test]
fn a_request_to_an_unknown_service_is_rejected_as_not_run() {
    let mut world = World::new(1, 3, 3, 1);
    world.run_until_ready();
    let Answer::Problem(problem) = world.call(0, chat("nowhere")) else { panic!() };
    assert_eq!((problem.kind, problem.ran), (ErrorKind::UnknownService, Ran::No));
}

#[test]
fn a_request_is_forwarded_to_the_zone_that_has_the_service() {
    let mut world = World::new(2, 3, 3, 1);
    world.add_engine("z3", "model");
    world.run_until_ready();
    world.run(3_000);
    let answer = world.call(0, chat("model"));
    assert!(matches!(answer, Answer::Recorded { .. }), "{answer:?}");
    assert_eq!(world.upstreams[0].started, 1);
}

#[test]
fn a_request_prefers_upstreams_of_its_own_zone() {
    let mut world = World::new(3, 3, 3, 1);
    for zone in ["z1", "z2", "z3"] {
        world.add_engine(zone, "model");
    }
    world.run_until_ready();
    world.run(3_000);
    for _ in 0..10 {
        world.call(1, chat("model"));
    }
    let started: Vec<u64> = world.upstreams.iter().map(|upstream| upstream.started).collect();
    assert_eq!(started, [10, 0, 0]);
}

#[test]
fn invariant_7_a_leaving_upstream_gets_no_new_work() {
    let mut world = World::new(4, 1, 3, 1);
    world.add_engine("z1", "model");
    world.add_engine("z1", "model");
    world.run_until_ready();
    world.run(1_000);
    let name = world.upstreams[0].spec.name.clone();
    for host in 0..3 {
        world.inject_event(host, Event::Leaving { name: name.clone() });
    }
    let before = world.upstreams[0].started;
    for round in 0..30 {
        world.call(round % 3, chat("model"));
    }
    assert_eq!(world.upstreams[0].started, before);
    assert!(world.upstreams[1].started >= 30);
}

#[test]
fn an_upstream_that_stops_announcing_gets_no_new_work_after_two_seconds() {
    let mut world = World::new(5, 1, 3, 1);
    world.add_engine("z1", "model");
    world.add_engine("z1", "model");
    world.run_until_ready();
    world.run(1_000);
    world.upstreams[0].up = false;
    world.run(2_000);
    let before = world.upstreams[0].started;
    for round in 0..30 {
        let answer = world.call(round % 3, chat("model"));
        assert!(matches!(answer, Answer::Recorded { .. }), "{answer:?}");
    }
    assert_eq!(world.upstreams[0].started, before);
}

#[test]
fn a_request_whose_upstream_fails_is_retried_on_another() {
    let mut world = World::new(6, 1, 1, 1);
    world.add_engine("z1", "model");
    world.add_engine("z1", "model");
    world.upstreams[0].break_percent = 100;
    world.run_until_ready();
    world.run(1_000);
    for _ in 0..5 {
        let answer = world.call(0, chat("model"));
        assert!(matches!(answer, Answer::Recorded { .. }), "{answer:?}");
    }
    assert!(world.upstreams[0].started > 0, "the failing upstream was never chosen");
}

#[test]
fn retries_stay_within_their_budget_when_every_attempt_fails() {
    let mut world = World::new(7, 1, 1, 1);
    world.add_engine("z1", "model");
    world.upstreams[0].break_percent = 100;
    world.run_until_ready();
    world.run(1_000);
    const REQUESTS: u64 = 400;
    for _ in 0..REQUESTS {
        world.send(0, chat("model"));
        world.run(50);
    }
    world.run(10_000);
    let started = world.upstreams[0].started;
    let max_attempts = REQUESTS + REQUESTS / 5 + 10;
    assert!(started <= max_attempts, "{started} attempts for {REQUESTS} requests");
    assert!(started > REQUESTS, "there were no retries at all");
}

#[test]
fn the_hosts_of_a_zone_share_the_slots_of_an_upstream() {
    let mut world = World::new(8, 1, 3, 1);
    world.add_engine("z1", "model");
    world.upstreams[0].service_time_ms = (400, 400);
    world.run_until_ready();
    world.run(1_000);
    for round in 0..60 {
        world.send(round % 3, chat("model"));
    }
    world.run(100);
    let in_flight: u32 = world
        .nodes
        .iter()
        .filter_map(|node| node.core.as_ref())
        .flat_map(|core| core.board().upstreams.values())
        .map(|upstream| upstream.in_flight)
        .sum();
    assert_eq!(in_flight, 8);
}

#[test]
fn a_full_queue_rejects_at_once_as_not_run() {
    let mut world = World::new(9, 1, 1, 1);
    world.add_engine("z1", "model");
    world.upstreams[0].service_time_ms = (60_000, 60_000);
    world.run_until_ready();
    world.run(1_000);
    let numbers: Vec<usize> = (0..600).map(|_| world.send(0, chat("model"))).collect();
    world.run(100);
    let rejected = numbers.iter().filter(|number| {
        let answer = world.sent_calls[**number].answer();
        matches!(answer, Some(Answer::Problem(problem))
            if problem.kind == ErrorKind::Overloaded && problem.ran == Ran::No)
    });
    assert_eq!(rejected.count(), 600 - 512 - 8);
}

#[test]
fn a_queued_request_is_rejected_as_not_run_at_its_deadline() {
    let mut world = World::new(10, 1, 1, 1);
    world.add_engine("z1", "model");
    world.upstreams[0].service_time_ms = (60_000, 60_000);
    world.run_until_ready();
    world.run(1_000);
    let numbers: Vec<usize> = (0..9).map(|_| world.send(0, chat("model"))).collect();
    world.run(9_000);
    let mut ran = Vec::new();
    for number in numbers {
        let Some(Answer::Problem(problem)) = world.sent_calls[number].answer() else { panic!() };
        assert_eq!(problem.kind, ErrorKind::DeadlineExceeded);
        ran.push(problem.ran);
    }
    assert_eq!(ran.iter().filter(|ran| **ran == Ran::No).count(), 1, "one waited in the queue");
    assert_eq!(ran.iter().filter(|ran| **ran == Ran::Unknown).count(), 8, "eight were running");
}

#[test]
fn rollout_work_leaves_a_reserve_only_while_there_is_interactive_work() {
    let mut world = World::new(11, 1, 1, 1);
    for _ in 0..2 {
        world.add_engine("z1", "model");
    }
    world.upstreams.iter_mut().for_each(|engine| engine.service_time_ms = (1_000, 1_000));
    world.run_until_ready();
    world.run(1_000);
    let running = |world: &World| {
        let core = world.nodes[0].core.as_ref().expect("the host is running");
        core.board().services.values().map(|service| service.rollout_running).sum::<u32>()
    };
    world.call(0, crate::samples::submit(1, 600, 1));
    world.run(500);
    assert_eq!(running(&world), 16, "all slots without interactive work");
    let chat_call = world.send(0, chat("model"));
    world.run(1_500);
    let reserve = SettingKey::InteractiveReservePercent.built_in_value();
    let available = 16 * (100 - u32::try_from(reserve).unwrap()) / 100;
    assert!(available < 16);
    assert_eq!(running(&world), available, "the reserve is left free");
    assert!(matches!(world.sent_calls[chat_call].answer(), Some(Answer::Recorded { .. }) | None));
    world.run(12_000);
    assert_eq!(running(&world), 16, "all slots again, ten seconds later");
}

#[test]
fn upstreams_of_a_zone_are_known_elsewhere_seconds_after_a_partition_heals() {
    let mut world = World::new(12, 2, 1, 1);
    world.run_until_ready();
    world.run(2_000);
    world.cut_both_ways(&[0], &[1]);
    world.add_engine("z2", "model");
    world.run(10_000);
    world.heal();
    world.run(3_000);
    let answer = world.call(0, chat("model"));
    assert!(matches!(answer, Answer::Recorded { .. }), "{answer:?}");
}
