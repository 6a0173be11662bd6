//! Settings changes: one change per version, the same outcome for a resend, in force on every host,
//! and never reverted.

use std::collections::BTreeMap;

use chestnutdrift_core::action::Answer;
use chestnutdrift_core::event::Call;
use chestnutdrift_core::fleet::{Change, ChangeOutcome, Edit, Scope, SettingKey};
use rand::Rng;
use test_case::test_case;

use crate::bookings::{SEEDS, seeds};
use crate::lifecycle;
use crate::world::World;

fn change(id: impl Into<Box<str>>, base: u64, value: u64) -> Call {
    let edits = vec![Edit::Default { key: SettingKey::Staleness, value: Some(value) }];
    Call::Change(Change { id: id.into(), base_version: base, author: "test".into(), edits })
}

fn version(world: &World, host: usize) -> u64 {
    let core = world.nodes[host].core.as_ref();
    core.map_or(0, |core| core.board().active_settings.settings.version)
}

fn accepted(answer: &Answer) -> Option<u64> {
    match answer {
        Answer::Changed(ChangeOutcome::Accepted { version }) => Some(*version),
        _ => None,
    }
}

/// Checks that each version has one change, each change has one outcome, and no accepted change is
/// lost.
fn check_history(world: &World) {
    let mut winners: BTreeMap<u64, Box<str>> = BTreeMap::new();
    let mut answers: BTreeMap<Box<str>, ChangeOutcome> = BTreeMap::new();
    for sent in &world.sent_calls {
        let Call::Change(change) = &sent.call else { continue };
        let Some(Answer::Changed(answer)) = sent.answer() else { continue };
        let expected = answers.entry(change.id.clone()).or_insert_with(|| answer.clone());
        assert_eq!(expected, answer, "two answers for {}", change.id);
        let ChangeOutcome::Accepted { version } = answer else { continue };
        let winner = winners.entry(*version).or_insert_with(|| change.id.clone());
        assert_eq!(*winner, change.id, "two changes made version {version}");
    }
    let newest = winners.keys().next_back().copied().unwrap_or(0);
    for host in 0..world.nodes.len() {
        let in_force = version(world, host);
        assert!(in_force >= newest, "{}: {in_force} < {newest}", world.nodes[host].name);
        assert_eq!(in_force, version(world, 0), "{}", world.describe());
    }
}

#[test]
fn invariant_9_a_change_is_in_force_everywhere_within_five_seconds() {
    let mut world = World::new(1, 3, 3, 1);
    world.run_until_ready();
    for base in 0..20 {
        let host = world.rng.random_range(0..9);
        let answer = world.call(host, change(format!("c{base}"), base, base));
        assert_eq!(accepted(&answer), Some(base + 1));
        world.run_until("in force everywhere", 5_000, |world| {
            (0..9).all(|host| version(world, host) == base + 1)
        });
    }
}

#[test]
fn invariant_9_a_restarted_host_catches_up_on_changes_within_five_seconds() {
    let mut world = World::new(2, 3, 3, 1);
    world.run_until_ready();
    world.kill(8);
    world.kill(3);
    for base in 0..300 {
        let answer = world.call(0, change(format!("c{base}"), base, base % 9));
        assert_eq!(accepted(&answer), Some(base + 1));
    }
    world.start(8);
    world.start(3);
    world.run_until("both are up to date", 5_000, |world| {
        version(world, 8) == 300 && version(world, 3) == 300
    });
}

#[test]
fn of_two_concurrent_changes_one_wins_and_the_conflict_names_it() {
    let mut world = World::new(3, 3, 3, 1);
    world.run_until_ready();
    let first = world.send(0, change("left", 0, 1));
    let second = world.send(5, change("right", 0, 2));
    world.run(3_000);
    let answers = [first, second].map(|number| world.sent_calls[number].answer().cloned().unwrap());
    let won = answers.iter().filter(|answer| accepted(answer).is_some()).count();
    assert_eq!(won, 1, "{answers:?}");
    let lost = answers.iter().find(|answer| accepted(answer).is_none()).unwrap();
    let Answer::Changed(ChangeOutcome::Conflict { version, conflicting_change }) = lost else {
        panic!()
    };
    assert_eq!(*version, 1);
    assert!(["left", "right"].contains(&&**conflicting_change));
}

#[test]
fn a_change_resent_after_hundreds_of_others_gets_its_first_outcome() {
    let mut world = World::new(4, 3, 3, 1);
    world.run_until_ready();
    let first = world.call(0, change("again", 0, 5));
    for base in 1..400 {
        world.call(0, change(format!("c{base}"), base, base % 9));
    }
    assert_eq!(world.call(7, change("again", 0, 5)), first);
    assert_eq!(version(&world, 0), 400);
}

#[test]
fn a_change_that_left_the_deduplication_window_is_rejected_and_not_applied_again() {
    let mut state = chestnutdrift_core::fleet::FleetState::default();
    let make = |id: String, base| {
        let Call::Change(change) = change(id, base, 1) else { panic!() };
        change
    };
    let first = state.apply(&make("first".into(), 0));
    assert_eq!(first, ChangeOutcome::Accepted { version: 1 });
    for base in 1..5_000 {
        state.apply(&make(format!("c{base}"), base));
    }
    let again = state.apply(&make("first".into(), 0));
    assert!(matches!(again, ChangeOutcome::Conflict { version: 5_000, .. }), "{again:?}");
}

#[test]
fn an_exception_without_a_reason_is_rejected() {
    let mut world = World::new(5, 3, 3, 1);
    world.run_until_ready();
    let edits = vec![Edit::Exception {
        scope: Scope::Zone("z1".into()),
        key: SettingKey::UpstreamSlots,
        value: Some(4),
        reason: " ".into(),
    }];
    let call =
        Call::Change(Change { id: "x".into(), base_version: 0, author: "test".into(), edits });
    let Answer::Problem(problem) = world.call(0, call) else { panic!() };
    assert_eq!(problem.kind, chestnutdrift_core::ErrorKind::ChangeInvalid);
    assert_eq!(version(&world, 0), 0);
}

#[test_case(&["kill"]; "kill")]
#[test_case(&["power"]; "a zone without power")]
#[test_case(&["lose_disk"]; "lost disk")]
#[test_case(&["cut", "one_way", "cut_zone"]; "cut")]
#[test_case(&["freeze"]; "freeze")]
#[test_case(&["kill", "lose_disk", "freeze", "cut", "one_way", "cut_zone"]; "any two at once")]
fn invariant_9_an_accepted_change_is_never_lost(faults: &[&str]) {
    for seed in seeds(SEEDS) {
        let mut world = World::new(seed, 3, 3, 1);
        world.run_until_ready();
        world.network.lost_replies_percent = 20;
        world.network.drop_percent = 2;
        for round in 0..24 {
            let host = world.rng.random_range(0..9);
            let base = version(&world, host);
            let id = format!("c{}", world.rng.random_range(0..=round));
            let value = world.rng.random_range(0..9);
            world.send(host, change(id, base, value));
            if round % 4 == 0 {
                let fault = faults[world.rng.random_range(0..faults.len())];
                lifecycle::inject_fault(&mut world, fault);
            }
            let pause = world.rng.random_range(5..800);
            world.run(pause);
        }
        lifecycle::recover(&mut world);
        check_history(&world);
    }
}

#[test]
fn invariant_9_an_acknowledged_change_survives_a_power_loss_of_all_hosts() {
    for seed in seeds(SEEDS) {
        let mut world = World::new(seed, 3, 3, 1);
        world.run_until_ready();
        world.network.sync = (1, 60);
        for base in 0..3 {
            let number = world.send(1, change(format!("c{base}"), base, 1));
            while world.sent_calls[number].is_waiting() {
                world.run(1);
            }
            let Some(answer) = world.sent_calls[number].answer() else { panic!("no answer") };
            assert_eq!(accepted(answer), Some(base + 1), "seed {seed}");
            (0..9).for_each(|host| world.kill(host));
            (0..9).for_each(|host| world.start(host));
            world.run_until_ready();
            world.run(2_000);
            let versions: Vec<u64> = (0..9).map(|host| version(&world, host)).collect();
            assert_eq!(versions, [base + 1; 9], "seed {seed}");
        }
    }
}
