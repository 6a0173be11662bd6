//! Faults of hosts, and what hosts do when they come and go.

use chestnutdrift_core::action::Answer;
use chestnutdrift_core::agreement::GroupId;
use chestnutdrift_core::event::{Call, Query};
use rand::Rng;

use crate::world::World;

/// Brings one fault about, at a place that the world's seed chooses.
pub(crate) fn fault(world: &mut World, fault: &str) {
    let count = world.nodes.len();
    let at = world.rng.random_range(0..count);
    let other = world.rng.random_range(0..count);
    if ["kill", "lose_disk", "power"].contains(&fault) {
        await_repair(world);
    }
    match fault {
        "kill" => {
            world.kill(at);
            let pause = world.rng.random_range(1..1_500);
            world.run(pause);
            world.start(at);
        }
        "lose_disk" => {
            world.kill(at);
            world.lose_disk(at);
            let pause = world.rng.random_range(1..500);
            world.run(pause);
            world.start(at);
        }
        "power" => {
            let zone = world.nodes[at].zone.clone();
            let hosts = world.zone(&zone);
            hosts.iter().for_each(|host| world.kill(*host));
            let pause = world.rng.random_range(1..1_500);
            world.run(pause);
            hosts.iter().for_each(|host| world.start(*host));
        }
        "freeze" => {
            let millis = world.rng.random_range(500..4_000);
            world.freeze(at, millis);
        }
        "cut" => {
            world.heal();
            let others: Vec<usize> = (0..count).filter(|other| *other != at).collect();
            world.cut_both(&[at], &others);
        }
        "one_way" => {
            world.heal();
            world.cut(at, other);
        }
        "cut_zone" => {
            world.heal();
            let zone = world.nodes[at].zone.clone();
            let inside = world.zone(&zone);
            let outside: Vec<usize> = (0..count).filter(|host| !inside.contains(host)).collect();
            world.cut_both(&inside, &outside);
        }
        other => panic!("no fault is named {other}"),
    }
}

/// Lets the hosts that lost their state be let in again.
///
/// The groups stand one lost state at a time; a second one before the first is repaired takes the
/// majority's memory away. Cuts would hold the repair up, so they end first; hosts stay frozen.
fn await_repair(world: &mut World) {
    world.heal();
    world.run_until("every running host votes again", 30_000, |world| {
        let mut cores = world.nodes.iter().filter_map(|node| node.core.as_ref());
        cores.all(|core| {
            let groups = &core.board().groups;
            let fleet = groups.fleet.as_ref();
            groups.zone.replica.is_voter() && fleet.is_none_or(|group| group.replica.is_voter())
        })
    });
}

/// Ends all faults and lets the world come to rest.
pub(crate) fn recover(world: &mut World) {
    world.heal();
    world.network = crate::world::Network::default();
    world.upstreams.iter_mut().for_each(|upstream| upstream.break_percent = 0);
    world.run(5_000);
    for at in 0..world.nodes.len() {
        if world.nodes[at].core.is_none() {
            world.start(at);
        }
    }
    world.settle();
    world.run(15_000);
}

#[test]
fn a_fleet_comes_up_and_every_host_agrees_on_the_leaders() {
    let mut world = World::new(1, 3, 3, 1);
    world.settle();
    world.run(3_000);
    let mut seen = std::collections::BTreeSet::new();
    for at in 0..9 {
        let Answer::Hosts(hosts) = world.ask(at, Call::Query(Query::Hosts)) else { panic!() };
        let leads: Vec<String> =
            hosts.iter().map(|host| format!("{} leads {:?}", host.name, host.leads)).collect();
        seen.insert(leads);
    }
    assert_eq!(seen.len(), 1, "{seen:?}");
}

/// Tells whether a host leads its zone and may act on it alone.
fn leads(world: &World, at: usize) -> bool {
    let core = world.nodes[at].core.as_ref();
    core.is_some_and(|core| core.board().leads(GroupId::Zone))
}

#[test]
fn a_killed_leader_is_replaced_and_its_host_comes_back() {
    let mut world = World::new(2, 1, 3, 3);
    world.settle();
    let leader = (0..3).find(|at| leads(&world, *at)).unwrap();
    world.kill(leader);
    world.run_until("another leads", 5_000, |world| {
        (0..3).any(|at| at != leader && leads(world, at))
    });
    world.start(leader);
    world.settle();
}

#[test]
fn a_frozen_leader_holds_no_lease_when_it_wakes() {
    let mut world = World::new(3, 1, 3, 3);
    world.settle();
    let leader = (0..3).find(|at| leads(&world, *at)).unwrap();
    world.freeze(leader, 10_000);
    world.run_until("another leads", 5_000, |world| {
        (0..3).any(|at| at != leader && leads(world, at))
    });
    world.run(10_000);
    let leaders: Vec<usize> = (0..3).filter(|at| leads(&world, *at)).collect();
    assert_eq!(leaders.len(), 1, "{}", world.show());
    assert_ne!(leaders, [leader]);
}

#[test]
fn never_do_two_hosts_of_a_zone_hold_the_lease() {
    for seed in crate::bookings::seeds(20) {
        let mut world = World::new(seed, 1, 3, 1);
        world.settle();
        for round in 0..40 {
            if round % 4 == 0 {
                let faults = ["freeze", "cut", "one_way", "kill"];
                let at = world.rng.random_range(0..faults.len());
                fault(&mut world, faults[at]);
            }
            for _ in 0..50 {
                world.run(10);
                let holders = world.nodes.iter().filter(|node| {
                    let core = node.core.as_ref().filter(|_| !node.frozen);
                    core.is_some_and(|core| core.board().leads(GroupId::Zone))
                });
                let holders: Vec<&str> = holders.map(|node| &*node.name).collect();
                assert!(holders.len() <= 1, "seed {seed}: {holders:?}\n{}", world.show());
            }
        }
    }
}

#[test]
fn a_host_without_a_disk_is_let_in_again_after_a_restart() {
    let mut world = World::new(4, 1, 3, 1);
    world.settle();
    world.kill(2);
    world.run(2_000);
    world.start(2);
    world.run_until("it votes again", 10_000, |world| {
        let core = world.nodes[2].core.as_ref().unwrap();
        core.board().groups.zone.replica.is_voter()
    });
}

#[test]
fn invariant_8_a_draining_host_finishes_what_it_holds() {
    let mut world = World::new(5, 1, 3, 1);
    world.add_engine("z1", "model");
    world.upstreams[0].work = (2_000, 2_500);
    world.settle();
    world.run(500);
    let number = world.send(0, crate::routing::chat("model"));
    world.run(100);
    let drained = world.ask(0, Call::Drain);
    assert_eq!(drained, Answer::Draining);
    let refused = world.ask(0, crate::routing::chat("model"));
    let Answer::Problem(problem) = refused else { panic!("{refused:?}") };
    assert_eq!(problem.kind, chestnutdrift_core::ErrorKind::NotReady);
    world.run_until("the host has stopped", 10_000, |world| world.nodes[0].core.is_none());
    let answer = world.sends[number].answer();
    assert!(matches!(answer, Some(Answer::Recorded { .. })), "{answer:?}");
}
