//! Stores that fell behind, or are empty, and get what they lack.

use chestnutdrift_core::HostId;
use chestnutdrift_core::agreement::Voter;
use test_case::test_case;

use crate::deployment::{Deployment, job};
use crate::directory::{ENTRY, STORES, started};

/// The time within which an empty store has to vote again, in milliseconds.
const CATCH_UP_MS: u64 = 4_700;

/// Returns whether the leader counts the state that a host has now as a voter.
fn votes_anew(deployment: &Deployment, id: HostId) -> bool {
    let voter = Voter::new(id, deployment.gateway(id).board().cfg.incarnation);
    deployment.leader().is_some_and(|leader| {
        let group = deployment.gateway(leader).board().group.as_ref().expect("a store");
        group.replica.voters().contains(&voter)
    })
}

/// Guards against a leader that waits for the sync of nearly each append to an empty store.
#[test_case(10, 60; "from the log, 60 ms a sync")]
#[test_case(10, 250; "from the log, 250 ms a sync")]
#[test_case(30, 250; "from a snapshot, 250 ms a sync")]
fn an_empty_store_with_a_slow_disk_votes_again_in_time(megabytes: u32, sync_ms: u64) {
    let took_ms = time_to_vote_again(27, megabytes, sync_ms, 0);
    println!("votes after {took_ms} ms");
}

/// Guards against a leader that waits for a second each time a part of a snapshot is lost.
#[test_case(28)]
#[test_case(29)]
#[test_case(30)]
fn an_empty_store_votes_again_in_time_over_links_that_lose_messages(seed: u64) {
    let took_ms = time_to_vote_again(seed, 30, 0, 3);
    println!("votes after {took_ms} ms");
}

/// Returns how long an empty store takes until it votes again, and fails the test if that is too
/// long. While it catches up, links lose some messages.
fn time_to_vote_again(seed: u64, megabytes: u32, sync_ms: u64, drop_percent: u32) -> u64 {
    let mut deployment = started(seed);
    // 600 Mbit/s: 30 MB of results take 400 ms.
    deployment.bytes_per_ms = 75_000;
    deployment.event_padding_bytes = 10_000;
    deployment.events_per_item = Some(10);
    // A job has 2 MB of text.
    for number in 0..megabytes / 2 {
        deployment.submit(ENTRY, job(&format!("job-{number}"), 20, 1));
        deployment.run(1_500);
    }
    let leader = deployment.leader().expect("a leader");
    let lost = *STORES.iter().find(|id| **id != leader).expect("a follower");
    deployment.kill(lost);
    deployment.lose_disk(lost);
    deployment.run(500);
    deployment.sync_ms.insert(lost, sync_ms);
    deployment.start(lost);
    deployment.drop_percent = drop_percent;
    let mut took_ms = 0;
    while !votes_anew(&deployment, lost) {
        deployment.run(50);
        took_ms += 50;
        assert!(took_ms <= CATCH_UP_MS, "not within {took_ms} ms:\n{}", deployment.describe());
    }
    took_ms
}
