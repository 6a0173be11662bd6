//! Upstreams that tell one store host that they leave, while other messages of theirs are late.

use chestnutdrift_core::gateway::{Answer, Call};
use chestnutdrift_core::{ErrorKind, HostId, Ran};
use test_case::test_case;

use crate::deployment::Deployment;
use crate::leaving::{announce, announcement, forwards, start};

const STORES: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const ENTRIES: [HostId; 2] = [HostId(101), HostId(102)];

/// The number of the last announcement that each upstream has sent when it leaves.
const LAST_SEQ: u64 = 5;

/// How long after an acknowledged leave no entry sends the upstream a request, in milliseconds.
const DRAIN_MS: u64 = 2_500;

/// Tells a store host that upstream `desk-1` leaves, and returns whether it acknowledged that within a
/// second.
fn leave(deployment: &mut Deployment, store: HostId) -> bool {
    leave_as(deployment, store, "desk-1")
}

/// Tells a store host that an upstream leaves, and returns whether it acknowledged that within a second.
fn leave_as(deployment: &mut Deployment, store: HostId, id: &str) -> bool {
    deployment.is_acknowledged(store, Call::Leave { id: id.into() })
}

/// Delivers announcement `seq` of the instance that was started at `started_at`.
fn announce_late(deployment: &mut Deployment, store: HostId, started_at: u64, seq: u64) {
    deployment.send_call(store, Call::Announce(announcement("desk-1", started_at, seq)));
}

/// Fails the test if an entry sends the upstream a request within some seconds.
fn assert_gets_nothing(deployment: &mut Deployment, case: &str) {
    for second in 0..6 {
        for entry in ENTRIES {
            let [left, other] = forwards(deployment, entry, ["desk-1", "desk-2"]);
            assert_eq!(left, 0, "{case}, after {second} s, {entry:?}");
            assert!(other > 0, "{case}: {entry:?} sends nothing at all");
        }
        deployment.run(1_000);
    }
}

/// Guards against a delayed heartbeat that brings back an upstream which has left, whichever store
/// hosts the heartbeat and the leave reach.
#[test_case(1, 1_500; "the next one")]
#[test_case(2, 1_500; "one after it")]
#[test_case(40, 1_500; "a much later one")]
#[test_case(1, 6_000; "the next one, late")]
#[test_case(3, 20_000; "a later one, very late")]
#[test_case(0, 100; "the last one again")]
fn a_delayed_heartbeat_brought_back_an_upstream_that_had_left(after: u64, delay_ms: u64) {
    for (seed, leave_to) in STORES.into_iter().enumerate() {
        for heartbeat_to in STORES {
            let mut deployment = start(70 + seed as u64);
            assert!(leave(&mut deployment, leave_to));
            deployment.run(delay_ms);
            announce_late(&mut deployment, heartbeat_to, 1, LAST_SEQ + after);
            let case = format!("leave to {leave_to:?}, heartbeat to {heartbeat_to:?}");
            assert_gets_nothing(&mut deployment, &case);
        }
    }
}

/// Guards against a leave that is ignored where a later heartbeat of the upstream came first.
#[test]
fn a_leave_was_ignored_by_hosts_that_knew_a_later_heartbeat() {
    for leave_to in STORES {
        for heartbeat_to in STORES {
            let mut deployment = start(80);
            announce_late(&mut deployment, heartbeat_to, 1, LAST_SEQ + 3);
            assert!(leave(&mut deployment, leave_to));
            deployment.run(DRAIN_MS);
            let case = format!("leave to {leave_to:?}, heartbeat to {heartbeat_to:?}");
            assert_gets_nothing(&mut deployment, &case);
        }
    }
}

/// Guards against a store host that has lost its memory, or its disk too, and learns of an upstream
/// that has left from a delayed heartbeat.
#[test_case(false; "restarted")]
#[test_case(true; "replaced")]
fn a_restarted_store_brought_back_an_upstream_that_had_left(loses_disk: bool) {
    for leave_to in STORES {
        for restarted in STORES {
            let mut deployment = start(81);
            assert!(leave(&mut deployment, leave_to));
            deployment.run(1_000);
            deployment.kill(restarted);
            if loses_disk {
                deployment.lose_disk(restarted);
            }
            deployment.run(500);
            deployment.start(restarted);
            for delay_ms in [0, 50, 3_000] {
                deployment.run(delay_ms);
                announce_late(&mut deployment, restarted, 1, LAST_SEQ + 1 + delay_ms);
            }
            let case = format!("leave to {leave_to:?}, {restarted:?} restarted");
            assert_gets_nothing(&mut deployment, &case);
        }
    }
}

/// Guards against a new instance that gets no requests because the one before it has left.
#[test]
fn a_new_instance_under_the_id_of_one_that_has_left_got_nothing() {
    for store in STORES {
        let mut deployment = start(82);
        assert!(leave(&mut deployment, STORES[0]));
        deployment.run(1_000);
        announce_late(&mut deployment, store, 2, 1);
        deployment.run(1_500);
        announce_late(&mut deployment, STORES[1], 1, 90);
        deployment.run(1_500);
        for entry in ENTRIES {
            let [restarted, _] = forwards(&mut deployment, entry, ["desk-1", "desk-2"]);
            assert!(restarted > 0, "{store:?}, {entry:?}");
        }
    }
}

/// Guards against a change of an upstream that is lost with the link to an entry, and counts as known
/// there once the next view has arrived.
#[test]
fn a_view_that_was_lost_with_its_link_was_acknowledged_by_the_next_one() {
    for seed in 90..100 {
        for lost_ms in [150, 400, 700] {
            let mut deployment = start(seed);
            for store in STORES {
                deployment.cut(ENTRIES[0], store, true);
            }
            let joining = Call::Announce(announcement("desk-3", 1, 1));
            deployment.send_call(STORES[1], joining);
            assert!(leave(&mut deployment, STORES[0]));
            deployment.run(lost_ms);
            for store in STORES {
                deployment.cut(ENTRIES[0], store, false);
            }
            for seq in 1..10 {
                let later = announcement(&format!("desk-{}", 10 + seq), 1, seq);
                deployment.send_call(STORES[seq as usize % STORES.len()], Call::Announce(later));
                deployment.run(250);
            }
            let case = format!("seed {seed}, {lost_ms} ms");
            let upstreams = &deployment.gateway(ENTRIES[0]).board().upstream_index;
            assert!(upstreams.contains_key("desk-3"), "{case}: the joined upstream is unknown");
            let [left, _] = forwards(&mut deployment, ENTRIES[0], ["desk-1", "desk-2"]);
            assert_eq!(left, 0, "{case}");
        }
    }
}

/// Guards against a leave that only the store host knows which has acknowledged it, when that host
/// ends.
#[test_case(false; "killed")]
#[test_case(true; "its disk is lost")]
fn an_acknowledged_leave_was_lost_with_its_store(loses_disk: bool) {
    for seed in 110..120 {
        for store in STORES {
            let mut deployment = start(seed);
            announce(&mut deployment, announcement("desk-3", 1, 1));
            // Changes that come close together share one view, so the second one waits.
            assert!(leave_as(&mut deployment, store, "desk-3"));
            assert!(leave(&mut deployment, store));
            deployment.kill(store);
            if loses_disk {
                deployment.lose_disk(store);
            }
            deployment.run(DRAIN_MS - 500);
            deployment.start(store);
            deployment.run(500);
            announce_late(&mut deployment, store, 1, LAST_SEQ + 1);
            assert_gets_nothing(&mut deployment, &format!("seed {seed}, {store:?}"));
        }
    }
}

/// Guards against upstreams that get no acknowledgement while a store host is down or frozen.
#[test]
fn a_leave_was_not_acknowledged_while_another_store_was_silent() {
    for (seed, store) in (120..).zip(STORES) {
        for (silent, is_frozen) in STORES.into_iter().flat_map(|id| [(id, false), (id, true)]) {
            if silent == store {
                continue;
            }
            let mut deployment = start(seed);
            if is_frozen {
                deployment.freeze(silent);
            } else {
                deployment.kill(silent);
            }
            deployment.run(100);
            assert!(leave(&mut deployment, store), "{store:?} while {silent:?} is silent");
        }
    }
}

/// Guards against a store host that acknowledges a leave which no other host hears of.
#[test]
fn a_leave_was_acknowledged_that_no_other_store_could_know() {
    let mut deployment = start(130);
    for other in [STORES[1], STORES[2], ENTRIES[0], ENTRIES[1]] {
        deployment.cut(STORES[0], other, true);
    }
    deployment.run(100);
    assert!(!leave(&mut deployment, STORES[0]));
    assert!(leave(&mut deployment, STORES[1]));
    assert_gets_nothing_at(&mut deployment, ENTRIES[0]);
    let mut deployment = start(131);
    let unknown = Call::Leave { id: "desk-9".into() };
    let answer = deployment.call(STORES[0], unknown, 1_000);
    let Some(Answer::Problem(problem)) = answer else { panic!("{answer:?}") };
    assert_eq!((problem.kind, problem.ran), (ErrorKind::NotReady, Ran::No));
}

fn assert_gets_nothing_at(deployment: &mut Deployment, entry: HostId) {
    deployment.run(DRAIN_MS);
    let [left, other] = forwards(deployment, entry, ["desk-1", "desk-2"]);
    assert_eq!((left, other > 0), (0, true), "{entry:?}");
}

/// Guards against a new instance whose announcements are ignored, a leave among them, since another store
/// host still tells the number of the instance before.
#[test]
fn an_upstream_that_started_anew_drained_and_went_on_getting_requests() {
    for seed in 140..150 {
        for late_ms in [0, 100, 300, 600] {
            let mut deployment = start(seed);
            announce_late(&mut deployment, STORES[1], 1, 500);
            deployment.run(late_ms);
            announce_late(&mut deployment, STORES[0], 2, 1);
            deployment.run(1_500);
            let mut draining = announcement("desk-1", 2, 2);
            draining.leaving = true;
            deployment.send_call(STORES[0], Call::Announce(draining));
            deployment.run(DRAIN_MS);
            let [left, other] = forwards(&mut deployment, ENTRIES[0], ["desk-1", "desk-2"]);
            assert_eq!((left, other > 0), (0, true), "seed {seed}, {late_ms} ms");
        }
    }
}
