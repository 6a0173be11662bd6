//! Fault injection, and the start, failover, restart and drain of hosts.

use chestnutdrift_core::action::Answer;
use chestnutdrift_core::agreement::GroupId;
use chestnutdrift_core::event::{Call, Query};
use rand::Rng;
use rand::seq::SliceRandom;

use crate::world::World;

/// Injects one fault at a host or zone that the world's random generator picks.
pub(crate) fn inject_fault(world: &mut World, fault: &str) {
    let count = world.nodes.len();
    let host = world.rng.random_range(0..count);
    let other = world.rng.random_range(0..count);
    if ["kill", "lose_disk", "power"].contains(&fault) {
        wait_for_readmission(world);
    }
    match fault {
        "kill" => {
            world.kill(host);
            let pause = world.rng.random_range(1..1_500);
            world.run(pause);
            world.start(host);
        }
        "lose_disk" => {
            world.kill(host);
            world.lose_disk(host);
            let pause = world.rng.random_range(1..500);
            world.run(pause);
            world.start(host);
        }
        "power" => {
            let zone = world.nodes[host].zone.clone();
            let hosts = world.zone(&zone);
            hosts.iter().for_each(|host| world.kill(*host));
            let pause = world.rng.random_range(1..1_500);
            world.run(pause);
            hosts.iter().for_each(|host| world.start(*host));
        }
        "freeze" => {
            let millis = world.rng.random_range(500..4_000);
            world.freeze(host, millis);
        }
        "cut" => {
            world.heal();
            let others: Vec<usize> = (0..count).filter(|other| *other != host).collect();
            world.cut_both_ways(&[host], &others);
        }
        "one_way" => {
            world.heal();
            world.cut(host, other);
        }
        "cut_zone" => {
            world.heal();
            let zone = world.nodes[host].zone.clone();
            let inside = world.zone(&zone);
            let outside: Vec<usize> = (0..count).filter(|host| !inside.contains(host)).collect();
            world.cut_both_ways(&inside, &outside);
        }
        other => panic!("unknown fault {other}"),
    }
}

/// Waits until hosts that lost their state are voters again.
///
/// A group tolerates the loss of one state at a time; a second loss before the first host has
/// rejoined can erase the state of a majority. Cut links would delay that, so they are restored
/// first; frozen hosts stay frozen.
fn wait_for_readmission(world: &mut World) {
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

/// Ends all faults and waits until the fleet has recovered.
pub(crate) fn recover(world: &mut World) {
    world.heal();
    world.network = crate::world::Network::default();
    world.upstreams.iter_mut().for_each(|upstream| upstream.break_percent = 0);
    world.run(5_000);
    for host in 0..world.nodes.len() {
        if world.nodes[host].core.is_none() {
            world.start(host);
        }
    }
    world.run_until_ready();
    world.run(15_000);
}

#[test]
fn all_hosts_of_a_started_fleet_agree_on_the_leaders() {
    let mut world = World::new(1, 3, 3, 1);
    world.run_until_ready();
    world.run(3_000);
    let mut seen = std::collections::BTreeSet::new();
    for host in 0..9 {
        let Answer::Hosts(hosts) = world.call(host, Call::Query(Query::Hosts)) else { panic!() };
        let leads: Vec<String> =
            hosts.iter().map(|host| format!("{} leads {:?}", host.name, host.leads)).collect();
        seen.insert(leads);
    }
    assert_eq!(seen.len(), 1, "{seen:?}");
}

/// Returns whether a host leads its zone group and holds the lease.
fn leads(world: &World, host: usize) -> bool {
    let core = world.nodes[host].core.as_ref();
    core.is_some_and(|core| core.board().leads(GroupId::Zone))
}

#[test]
fn a_killed_leader_is_replaced_and_its_host_rejoins() {
    let mut world = World::new(2, 1, 3, 3);
    world.run_until_ready();
    let leader = (0..3).find(|host| leads(&world, *host)).unwrap();
    world.kill(leader);
    world.run_until("another leads", 5_000, |world| {
        (0..3).any(|host| host != leader && leads(world, host))
    });
    world.start(leader);
    world.run_until_ready();
}

#[test]
fn a_frozen_leader_holds_no_lease_when_it_resumes() {
    let mut world = World::new(3, 1, 3, 3);
    world.run_until_ready();
    let leader = (0..3).find(|host| leads(&world, *host)).unwrap();
    world.freeze(leader, 10_000);
    world.run_until("another leads", 5_000, |world| {
        (0..3).any(|host| host != leader && leads(world, host))
    });
    world.run(10_000);
    let leaders: Vec<usize> = (0..3).filter(|host| leads(&world, *host)).collect();
    assert_eq!(leaders.len(), 1, "{}", world.describe());
    assert_ne!(leaders, [leader]);
}

#[test]
fn two_hosts_of_a_zone_never_hold_the_lease_at_once() {
    for seed in crate::bookings::seeds(20) {
        let mut world = World::new(seed, 1, 3, 1);
        world.run_until_ready();
        for round in 0..40 {
            if round % 4 == 0 {
                let faults = ["freeze", "cut", "one_way", "kill"];
                let index = world.rng.random_range(0..faults.len());
                inject_fault(&mut world, faults[index]);
            }
            for _ in 0..50 {
                world.run(10);
                let holders = world.nodes.iter().filter(|node| {
                    let core = node.core.as_ref().filter(|_| !node.is_frozen);
                    core.is_some_and(|core| core.board().leads(GroupId::Zone))
                });
                let holders: Vec<&str> = holders.map(|node| &*node.name).collect();
                assert!(holders.len() <= 1, "seed {seed}: {holders:?}\n{}", world.describe());
            }
        }
    }
}

#[test]
fn a_host_without_a_disk_becomes_a_voter_again_after_a_restart() {
    let mut world = World::new(4, 1, 3, 1);
    world.run_until_ready();
    world.kill(2);
    world.run(2_000);
    world.start(2);
    world.run_until("it votes again", 10_000, |world| {
        let core = world.nodes[2].core.as_ref().unwrap();
        core.board().groups.zone.replica.is_voter()
    });
}

#[test]
fn invariant_8_a_draining_host_finishes_its_requests() {
    let mut world = World::new(5, 1, 3, 1);
    world.add_engine("z1", "model");
    world.upstreams[0].service_time_ms = (2_000, 2_500);
    world.run_until_ready();
    world.run(500);
    let number = world.send(0, crate::routing::chat("model"));
    world.run(100);
    let drained = world.call(0, Call::Drain);
    assert_eq!(drained, Answer::Draining);
    let rejected = world.call(0, crate::routing::chat("model"));
    let Answer::Problem(problem) = rejected else { panic!("{rejected:?}") };
    assert_eq!(problem.kind, chestnutdrift_core::ErrorKind::NotReady);
    world.run_until("the host has stopped", 10_000, |world| world.nodes[0].core.is_none());
    let answer = world.sent_calls[number].answer();
    assert!(matches!(answer, Some(Answer::Recorded { .. })), "{answer:?}");
}

/// Guards against a zone's early digest, from a host that had not heard its neighbours yet, which hid
/// the zone's leader from the other zones for good.
#[test]
fn a_host_that_starts_first_does_not_hide_its_zones_leader_from_other_zones() {
    for seed in 0..100 {
        let mut world = World::new(seed, 3, 3, 1);
        world.run_until_ready();
        (0..9).for_each(|host| world.kill(host));
        let mut order: Vec<usize> = (0..9).collect();
        order.shuffle(&mut world.rng);
        for host in order {
            let gap = world.rng.random_range(0..100);
            world.run(gap);
            world.start(host);
        }
        world.run_until_ready();
        world.run(10_000);
        for host in 0..9 {
            let Answer::Hosts(hosts) = world.call(host, Call::Query(Query::Hosts)) else {
                panic!()
            };
            let leaders = hosts.iter().flat_map(|host| &host.leads).count();
            assert_eq!(leaders, 4, "seed {seed}, seen by host {host}: {hosts:?}");
        }
    }
}
