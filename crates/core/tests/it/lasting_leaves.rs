//! Upstreams that have left, while the store hosts that know it are killed, all at once.

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::{Call, Event};
use test_case::test_case;

use crate::deployment::Deployment;
use crate::leaving::{announcement, forwards, start};

const STORES: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const ENTRIES: [HostId; 2] = [HostId(101), HostId(102)];

/// How long after the restart hosts count as in touch again, in milliseconds.
const CONTACT_MS: u64 = 4_000;

fn leave(deployment: &mut Deployment, store: HostId) -> bool {
    deployment.is_acknowledged(store, Call::Leave { id: "desk-1".into() })
}

/// Delivers a heartbeat that the upstream sent before it left.
fn late_heartbeat(deployment: &mut Deployment, store: HostId) {
    deployment.send_call(store, Call::Announce(announcement("desk-1", 1, 6)));
}

fn kill(deployment: &mut Deployment, hosts: &[HostId]) {
    hosts.iter().for_each(|host| deployment.kill(*host));
}

fn restart(deployment: &mut Deployment, hosts: &[HostId]) {
    hosts.iter().for_each(|host| deployment.start(*host));
}

/// Fails the test if a host would send the upstream work.
fn assert_left(deployment: &mut Deployment, case: &str) {
    for host in deployment.hosts() {
        let board = deployment.gateway(host).board();
        let Some(key) = board.upstream_index.get("desk-1") else { continue };
        assert!(!board.upstreams[*key].accepts_requests(), "{case}: {host:?} counts it as ready");
    }
    for entry in ENTRIES {
        let [left, _] = forwards(deployment, entry, ["desk-1", "desk-2"]);
        assert_eq!(left, 0, "{case}: {entry:?} sends it requests");
    }
}

/// Guards against an acknowledged leave that is lost when all store hosts are killed at once: a
/// heartbeat from before the leave brought the upstream back.
#[test_case(0, 700, 2_500, false; "at once")]
#[test_case(300, 700, 2_500, false; "a little later")]
#[test_case(300, 700, 0, false; "the heartbeat comes as they start")]
#[test_case(300, 700, 300, false; "the heartbeat comes a little later")]
#[test_case(300, 700, 20_000, false; "the heartbeat comes much later")]
#[test_case(2_000, 5_000, 500, false; "down for seconds")]
#[test_case(300, 700, 2_500, true; "entries are killed too")]
#[test_case(300, 5_000, 0, true; "entries are down for seconds too")]
fn an_acknowledged_leave_was_lost_with_all_stores(
    alive_ms: u64,
    down_ms: u64,
    late_ms: u64,
    kills_entries: bool,
) {
    for (seed, leave_to) in (200..).zip(STORES) {
        for heartbeat_to in STORES {
            let case = format!("leave to {leave_to:?}, heartbeat to {heartbeat_to:?}");
            let mut deployment = start(seed);
            assert!(leave(&mut deployment, leave_to), "{case}");
            deployment.run(alive_ms);
            let killed =
                if kills_entries { [&STORES[..], &ENTRIES].concat() } else { STORES.into() };
            kill(&mut deployment, &killed);
            deployment.run(down_ms);
            restart(&mut deployment, &killed);
            deployment.run(late_ms);
            late_heartbeat(&mut deployment, heartbeat_to);
            deployment.run(CONTACT_MS);
            assert_left(&mut deployment, &case);
        }
    }
}

/// Guards against a leave that outlasts one kill of all store hosts and not two.
#[test]
fn an_acknowledged_leave_was_lost_when_all_stores_were_killed_again() {
    for between_ms in [0, 50, 400, 1_500] {
        for heartbeat_to in STORES {
            let case = format!("{between_ms} ms between, heartbeat to {heartbeat_to:?}");
            let mut deployment = start(210);
            assert!(leave(&mut deployment, STORES[0]), "{case}");
            for _ in 0..2 {
                kill(&mut deployment, &STORES);
                kill(&mut deployment, &ENTRIES);
                deployment.run(700);
                restart(&mut deployment, &STORES);
                restart(&mut deployment, &ENTRIES);
                deployment.run(between_ms);
            }
            late_heartbeat(&mut deployment, heartbeat_to);
            deployment.run(CONTACT_MS);
            assert_left(&mut deployment, &case);
        }
    }
}

/// Guards against an acknowledged leave that is on one disk only, which is lost when all store hosts are
/// killed.
#[test]
fn an_acknowledged_leave_was_lost_with_all_stores_and_one_disk() {
    for leave_to in STORES {
        for replaced in STORES {
            for late_ms in [0, 20, 2_500] {
                let case = format!("leave to {leave_to:?}, {replaced:?} replaced, {late_ms} ms");
                let mut deployment = start(211);
                assert!(leave(&mut deployment, leave_to), "{case}");
                kill(&mut deployment, &STORES);
                kill(&mut deployment, &ENTRIES);
                deployment.lose_disk(replaced);
                deployment.run(700);
                restart(&mut deployment, &STORES);
                restart(&mut deployment, &ENTRIES);
                deployment.run(late_ms);
                late_heartbeat(&mut deployment, replaced);
                deployment.run(CONTACT_MS);
                assert_left(&mut deployment, &case);
            }
        }
    }
}

/// Guards against a leave that a store host has acknowledged while all others were down, and that is
/// lost when it is killed in its turn.
#[test]
fn a_leave_that_one_store_acknowledged_alone_was_lost_with_it() {
    for alone in STORES {
        for kills_entries in [false, true] {
            let case = format!("{alone:?} alone, entries killed: {kills_entries}");
            let others: Vec<HostId> = STORES.into_iter().filter(|store| *store != alone).collect();
            let mut deployment = start(212);
            kill(&mut deployment, &others);
            // The others no longer count as live.
            deployment.run(5_000);
            assert!(leave(&mut deployment, alone), "{case}");
            deployment.run(300);
            kill(&mut deployment, &[alone]);
            if kills_entries {
                kill(&mut deployment, &ENTRIES);
            }
            deployment.run(700);
            restart(&mut deployment, &STORES);
            if kills_entries {
                restart(&mut deployment, &ENTRIES);
            }
            deployment.run(2_500);
            late_heartbeat(&mut deployment, others[0]);
            deployment.run(CONTACT_MS);
            assert_left(&mut deployment, &case);
        }
    }
}

/// Guards against a store host that restarts without what an earlier version kept in memory only: entry
/// hosts that run on know it.
#[test]
fn restarted_stores_without_facts_did_not_learn_leaves_from_entries() {
    for heartbeat_to in STORES {
        let mut deployment = start(213);
        assert!(leave(&mut deployment, STORES[0]));
        deployment.run(300);
        kill(&mut deployment, &STORES);
        STORES.iter().for_each(|store| deployment.lose_facts(*store));
        deployment.run(700);
        restart(&mut deployment, &STORES);
        deployment.run(2_500);
        late_heartbeat(&mut deployment, heartbeat_to);
        deployment.run(CONTACT_MS);
        assert_left(&mut deployment, &format!("heartbeat to {heartbeat_to:?}"));
    }
}

/// Guards against an announced departure, or a statement in an answer, that is lost when all hosts are
/// killed at once.
#[test_case(true; "announced")]
#[test_case(false; "said in an answer")]
fn a_departure_was_lost_with_all_hosts(is_announced: bool) {
    for heartbeat_to in STORES {
        let case = format!("heartbeat to {heartbeat_to:?}");
        let mut deployment = start(214);
        if is_announced {
            let mut draining = announcement("desk-1", 1, 7);
            draining.leaving = true;
            assert!(deployment.is_acknowledged(STORES[0], Call::Announce(draining)), "{case}");
        } else {
            let upstream = deployment.gateway(ENTRIES[0]).board().upstream_index["desk-1"];
            let answer = "status=200".into();
            deployment.deliver(ENTRIES[0], Event::UpstreamLeaving { upstream, answer });
            deployment.run(500);
        }
        kill(&mut deployment, &STORES);
        kill(&mut deployment, &ENTRIES);
        deployment.run(700);
        restart(&mut deployment, &STORES);
        restart(&mut deployment, &ENTRIES);
        deployment.run(2_500);
        late_heartbeat(&mut deployment, heartbeat_to);
        deployment.run(CONTACT_MS);
        assert_left(&mut deployment, &case);
    }
}

/// Guards against leaves that stay unacknowledged for one disk that stalls, and against ones that are
/// acknowledged although no disk has them.
#[test]
fn a_leave_is_acknowledged_while_a_disk_stalls_and_not_while_all_do() {
    for leave_to in STORES {
        for stalled in STORES {
            let mut deployment = start(215);
            deployment.stall_disk(stalled);
            assert!(leave(&mut deployment, leave_to), "{leave_to:?} while {stalled:?} stalls");
            let killed = [&STORES[..], &ENTRIES].concat();
            kill(&mut deployment, &killed);
            deployment.lose_facts(stalled);
            deployment.resume_disk(stalled);
            deployment.run(700);
            restart(&mut deployment, &killed);
            deployment.run(2_500);
            late_heartbeat(&mut deployment, stalled);
            deployment.run(CONTACT_MS);
            assert_left(&mut deployment, &format!("{leave_to:?}, {stalled:?} stalled"));
        }
        let mut deployment = start(216);
        STORES.iter().for_each(|store| deployment.stall_disk(*store));
        assert!(!leave(&mut deployment, leave_to), "{leave_to:?} while all disks stall");
    }
}

/// Guards against an instance that gets no work because an earlier one under its id had left.
#[test]
fn a_new_instance_got_nothing_after_a_restart_of_all_stores() {
    let mut deployment = start(217);
    assert!(leave(&mut deployment, STORES[0]));
    kill(&mut deployment, &STORES);
    deployment.run(700);
    restart(&mut deployment, &STORES);
    deployment.run(1_500);
    deployment.send_call(STORES[1], Call::Announce(announcement("desk-1", 2, 1)));
    deployment.run(1_500);
    late_heartbeat(&mut deployment, STORES[2]);
    deployment.run(1_500);
    for entry in ENTRIES {
        let [restarted, _] = forwards(&mut deployment, entry, ["desk-1", "desk-2"]);
        assert!(restarted > 0, "{entry:?}");
    }
}

/// Guards against facts that grow with all that ever happened, and against ones that are lost when the
/// file is written anew.
#[test]
fn facts_on_the_disk_follow_the_state() {
    const LEAVES: u64 = 900;
    let mut deployment = start(218);
    for number in 0..LEAVES {
        let id = format!("desk-{}", 10 + number);
        let store = STORES[usize::try_from(number).unwrap() % STORES.len()];
        deployment.send_call(store, Call::Announce(announcement(&id, 1, 1)));
        deployment.run(20);
        assert!(deployment.is_acknowledged(store, Call::Leave { id: id.as_str().into() }), "{id}");
    }
    let leaving = deployment.gateway(STORES[0]).board().upstreams.values();
    let leaving = leaving.filter(|upstream| !upstream.accepts_requests()).count();
    for store in STORES {
        let on_disk = deployment.facts_on_disk(store);
        assert!(on_disk >= leaving && on_disk <= 2 * leaving + 512, "{on_disk} for {leaving}");
    }
    kill(&mut deployment, &STORES);
    deployment.run(700);
    restart(&mut deployment, &STORES);
    let restored = deployment.gateway(STORES[0]).board().upstreams.len();
    assert!(restored >= leaving, "{restored} of {leaving}");
    // Long after the last of them was heard from nothing is left of them.
    deployment.run(800_000);
    kill(&mut deployment, &STORES);
    restart(&mut deployment, &STORES);
    for store in STORES {
        assert_eq!(deployment.gateway(store).board().upstreams.len(), 0, "{store:?}");
    }
}

/// Guards against departures that hosts which restart tell each other for ever.
#[test]
fn a_departure_is_forgotten_although_stores_restart() {
    let mut deployment = start(219);
    assert!(leave(&mut deployment, STORES[0]));
    for round in 0..16 {
        let restarted = STORES[round % STORES.len()];
        kill(&mut deployment, &[restarted]);
        deployment.run(1_000);
        restart(&mut deployment, &[restarted]);
        deployment.run(49_000);
    }
    for host in deployment.hosts() {
        let upstreams = &deployment.gateway(host).board().upstream_index;
        assert!(!upstreams.contains_key("desk-1"), "{host:?} still knows it");
    }
}

/// Guards against a leave that every store host refuses after all of them were killed, as none of them
/// knows the upstream, which sends no more heartbeats.
#[test]
fn a_leave_was_refused_after_a_restart_of_all_stores() {
    for (seed, leave_to) in (220..).zip(STORES) {
        for after_ms in [0, 20, 3_000] {
            let case = format!("leave to {leave_to:?}, {after_ms} ms after the restart");
            let mut deployment = start(seed);
            kill(&mut deployment, &STORES);
            deployment.run(700);
            restart(&mut deployment, &STORES);
            deployment.run(after_ms);
            // Two of three store hosts count as live a little later.
            let acknowledged = (0..3).any(|_| leave(&mut deployment, leave_to));
            assert!(acknowledged, "{case}");
            deployment.run(2_500);
            late_heartbeat(&mut deployment, STORES[2]);
            deployment.run(CONTACT_MS);
            assert_left(&mut deployment, &case);
        }
    }
}

/// Guards against a delayed heartbeat of an instance that another one had replaced under its id before
/// all store hosts were killed, and against work for one that has not announced itself since.
#[test]
fn an_earlier_instance_came_back_after_a_restart_of_all_stores() {
    for heartbeat_to in STORES {
        let mut deployment = start(224);
        deployment.send_call(STORES[0], Call::Announce(announcement("desk-1", 2, 1)));
        deployment.run(1_500);
        kill(&mut deployment, &STORES);
        deployment.run(700);
        restart(&mut deployment, &STORES);
        deployment.run(1_500);
        late_heartbeat(&mut deployment, heartbeat_to);
        deployment.run(1_500);
        let is_known = |store: &HostId| {
            deployment.gateway(*store).board().upstream_index.contains_key("desk-1")
        };
        assert!(!STORES.iter().any(is_known), "heartbeat to {heartbeat_to:?}");
        deployment.send_call(STORES[1], Call::Announce(announcement("desk-1", 2, 2)));
        deployment.run(1_500);
        let [restarted, _] = forwards(&mut deployment, ENTRIES[0], ["desk-1", "desk-2"]);
        assert!(restarted > 0, "heartbeat to {heartbeat_to:?}");
    }
}
