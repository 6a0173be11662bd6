//! Non-idempotent requests run at most once, and those answered as "not run" did not run.

use std::collections::BTreeMap;

use chestnutdrift_core::Ran;
use chestnutdrift_core::action::Answer;
use chestnutdrift_core::event::{Call, RunCall};
use rand::Rng;
use test_case::test_case;

use crate::world::{SentCall, World};

/// The default number of seeds of a randomized test; `CHESTNUTDRIFT_SEEDS` overrides it.
pub(crate) const SEEDS: u64 = 60;

/// Returns the seeds of a randomized test, from `CHESTNUTDRIFT_FIRST_SEED` or zero on.
pub(crate) fn seeds(default: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("CHESTNUTDRIFT_FIRST_SEED").unwrap_or(0);
    first..first + number("CHESTNUTDRIFT_SEEDS").unwrap_or(default)
}

fn booking(key: usize, caller: &str) -> Call {
    Call::Run(RunCall {
        caller: caller.into(),
        service: "desk".into(),
        idempotent: false,
        key: Some(format!("key-{key}").into()),
        fingerprint: 7,
        max_tokens: 1,
        prefix_checksum: 0,
    })
}

fn desk_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 3, 1);
    for zone in ["z1", "z2", "z3"] {
        world.add_desk(zone, "desk");
    }
    world.run_until_ready();
    world
}

/// Counts the runs of each idempotency key.
fn runs(world: &World) -> BTreeMap<Box<str>, u32> {
    let mut runs = BTreeMap::new();
    for run in &world.runs {
        *runs.entry(run.key.clone()).or_insert(0) += 1;
    }
    runs
}

/// Checks that each key ran at most once and has one answer, and that no call answered as "not run"
/// was run.
fn check_history(world: &World) {
    for (key, count) in runs(world) {
        assert!(count <= 1, "{key} ran {count} times\n{}", world.describe());
    }
    let mut bodies: BTreeMap<Box<str>, Box<[u8]>> = BTreeMap::new();
    for sent in &world.sent_calls {
        let Call::Run(call) = &sent.call else { continue };
        let Some(key) = call.key.clone() else { continue };
        match sent.answer() {
            Some(Answer::Recorded { answer, .. }) => {
                let body: Box<[u8]> = answer.body.to_vec().into();
                let expected = bodies.entry(key.clone()).or_insert_with(|| body.clone());
                assert_eq!(*expected, body, "two answers for {key}");
            }
            Some(Answer::Problem(problem)) if problem.ran == Ran::No => {
                let ran = world.runs.iter().any(|run| run.trace == sent.trace);
                let timeline = world.timeline_of(&sent.trace);
                assert!(
                    !ran,
                    "{} was answered as not run and ran: {problem:?}\n{timeline}",
                    sent.trace
                );
            }
            _ => {}
        }
    }
}

/// Injects faults while callers send and resend bookings, then ends the faults and lets the fleet
/// recover.
fn run_with_faults(seed: u64, faults: &[&str]) -> World {
    const ROUNDS: usize = 30;
    let mut world = desk_world(seed);
    world.network.lost_replies_percent = 20;
    for desk in 0..3 {
        world.upstreams[desk].break_percent = 10;
    }
    for round in 0..ROUNDS {
        let host = world.rng.random_range(0..9);
        let key = round / 2;
        world.send(host, booking(key, "shop"));
        if round % 3 == 0 {
            let fault = faults[world.rng.random_range(0..faults.len())];
            crate::lifecycle::inject_fault(&mut world, fault);
        }
        let pause = world.rng.random_range(5..600);
        world.run(pause);
    }
    crate::lifecycle::recover(&mut world);
    world
}

#[test]
fn invariant_6_a_booking_sent_twice_runs_once() {
    let mut world = desk_world(1);
    let first = world.call(0, booking(1, "shop"));
    let again = world.call(7, booking(1, "shop"));
    let Answer::Recorded { answer: first, .. } = first else { panic!("{first:?}") };
    let Answer::Recorded { answer: again, replayed } = again else { panic!("{again:?}") };
    assert_eq!((first, replayed), (again, true));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn the_same_key_of_two_callers_makes_two_bookings() {
    let mut world = desk_world(2);
    world.call(0, booking(1, "shop"));
    world.call(0, booking(1, "rival"));
    assert_eq!(world.runs.len(), 2);
}

#[test]
fn a_key_reused_with_another_body_is_rejected() {
    let mut world = desk_world(3);
    world.call(0, booking(1, "shop"));
    let Call::Run(mut call) = booking(1, "shop") else { panic!() };
    call.fingerprint = 8;
    let Answer::Problem(problem) = world.call(4, Call::Run(call)) else { panic!() };
    assert_eq!((problem.kind, problem.ran), (chestnutdrift_core::ErrorKind::KeyReused, Ran::No));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_booking_without_a_key_is_rejected() {
    let mut world = desk_world(4);
    let Call::Run(mut call) = booking(1, "shop") else { panic!() };
    call.key = None;
    let Answer::Problem(problem) = world.call(0, Call::Run(call)) else { panic!() };
    assert_eq!((problem.kind, problem.ran), (chestnutdrift_core::ErrorKind::KeyRequired, Ran::No));
    assert!(world.runs.is_empty());
}

#[test]
fn a_booking_whose_connection_breaks_stays_unknown() {
    let mut world = desk_world(5);
    for desk in 0..3 {
        world.upstreams[desk].break_percent = 100;
    }
    for host in [0, 5, 8] {
        let Answer::Problem(problem) = world.call(host, booking(1, "shop")) else { panic!() };
        assert_eq!(problem.ran, Ran::Unknown);
    }
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_booking_that_could_not_be_sent_is_not_run_and_can_be_resent() {
    let mut world = desk_world(6);
    world.upstreams.iter_mut().for_each(|desk| desk.up = false);
    let Answer::Problem(problem) = world.call(0, booking(1, "shop")) else { panic!() };
    assert_eq!(problem.ran, Ran::No);
    assert!(world.runs.is_empty());
    world.upstreams.iter_mut().for_each(|desk| desk.up = true);
    world.run(1_000);
    let answer = world.call(0, booking(1, "shop"));
    assert!(matches!(answer, Answer::Recorded { .. }), "{answer:?}");
    assert_eq!(world.runs.len(), 1);
}

#[test_case(&["kill"]; "kill")]
#[test_case(&["power"]; "a zone without power")]
#[test_case(&["freeze"]; "freeze")]
#[test_case(&["cut", "one_way"]; "cut")]
#[test_case(&["kill", "lose_disk", "freeze", "cut", "one_way"]; "any two at once")]
fn invariant_6_a_booking_runs_at_most_once(faults: &[&str]) {
    for seed in seeds(SEEDS) {
        check_history(&run_with_faults(seed, faults));
    }
}

#[test]
fn invariant_5_a_request_rejected_as_not_run_did_not_run() {
    let mut rejected = 0;
    for seed in seeds(SEEDS) {
        let world = run_with_faults(seed + 1_000, &["kill", "cut"]);
        check_history(&world);
        let not_run = |sent: &&SentCall| matches!(sent.answer(), Some(Answer::Problem(problem)) if problem.ran == Ran::No);
        rejected += world.sent_calls.iter().filter(not_run).count();
    }
    assert!(rejected > 0, "no call was rejected, so nothing was tested");
}
