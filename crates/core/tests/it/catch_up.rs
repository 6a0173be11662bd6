//! Stores that fell behind, or are empty, and get what they lack.

use chestnutdrift_core::HostId;
use chestnutdrift_core::agreement::Voter;
use chestnutdrift_core::gateway::Role;
use chestnutdrift_core::gateway::board::DirectoryGroup;
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

/// Starts a deployment whose state has a size, and returns it with a store that is down and has lost
/// its disk.
fn with_lost_disk(seed: u64, megabytes: u32) -> (Deployment, HostId) {
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
    (deployment, lost)
}

#[test]
fn a_new_store_catches_up_over_a_slow_link_while_the_leader_keeps_its_lease() {
    let mut deployment = started(17);
    deployment.event_padding_bytes = 4_000;
    for number in 0..10 {
        deployment.submit(ENTRY, job(&format!("job-{number}"), 60, 1));
        deployment.run(2_500);
    }
    // The spare has to receive 10 MB of results over links of 1 MB/s, while new results arrive.
    deployment.bytes_per_ms = 1_000;
    let dead = *STORES.iter().find(|id| Some(**id) != deployment.leader()).expect("a follower");
    deployment.kill(dead);
    deployment.add(HostId(4), Role::Store, false);
    for second in 0..40 {
        if second % 5 == 0 {
            deployment.submit(ENTRY, job(&format!("late-{second}"), 20, 1));
        }
        deployment.run(1_000);
        assert!(deployment.leader().is_some(), "the lease is lost after {second} s");
    }
    let voters = deployment.leader().map(|id| deployment.gateway(id).board().group.as_ref());
    let voters = voters.flatten().map(DirectoryGroup::voter_hosts).unwrap_or_default();
    assert!(voters.contains(&HostId(4)), "the spare is not a voter: {voters:?}");
}

/// Guards against a leader that waited for the answer to each append before it sent the next one.
#[test_case(10, 1_700; "from the log")]
#[test_case(30, 4_700; "from a snapshot")]
fn an_empty_store_catches_up_in_time(megabytes: u32, limit_ms: u64) {
    let (mut deployment, lost) = with_lost_disk(27, megabytes);
    deployment.start(lost);
    deployment.run(limit_ms);
    let leader = deployment.leader().expect("a leader");
    let group = deployment.gateway(leader).board().group.as_ref().expect("a store has a group");
    assert!(group.voter_hosts().contains(&lost), "{}", deployment.describe());
}

#[test]
fn an_empty_store_votes_again_before_the_next_disk_may_be_lost() {
    let mut deployment = started(26);
    // 600 Mbit/s: 30 MB of results take 400 ms.
    deployment.bytes_per_ms = 75_000;
    deployment.event_padding_bytes = 4_000;
    for number in 0..25 {
        deployment.submit(ENTRY, job(&format!("job-{number}"), 60, 1));
        deployment.run(2_500);
    }
    let leader = deployment.leader().expect("a leader");
    let followers = STORES.iter().filter(|id| **id != leader).copied().collect::<Vec<_>>();
    deployment.kill(followers[0]);
    deployment.lose_disk(followers[0]);
    deployment.run(1_000);
    deployment.start(followers[0]);
    deployment.run(CATCH_UP_MS);
    deployment.kill(followers[1]);
    deployment.lose_disk(followers[1]);
    deployment.run(3_000);
    deployment.start(followers[1]);
    deployment.run(10_000);
    assert!(deployment.leader().is_some(), "no leader any more:\n{}", deployment.describe());
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
    let (mut deployment, lost) = with_lost_disk(seed, megabytes);
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
