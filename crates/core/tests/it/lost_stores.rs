//! Stores that lose their disks one after another.

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::{Answer, Call};
use test_case::test_case;

use crate::deployment::{Deployment, job};
use crate::directory::{ENTRY, STORES, started};

/// The time within which there has to be a leader again, in milliseconds.
const RECOVER_MS: u64 = 12_000;

/// Ends a host, which is back without its disk after a time.
fn lose(deployment: &mut Deployment, id: HostId, down_ms: u64) {
    deployment.kill(id);
    deployment.lose_disk(id);
    deployment.run(down_ms);
    deployment.start(id);
}

/// Guards against a leader that gave up the lead because it was the last voter, and could not be
/// elected again although it had all state.
#[test_case(42, 0; "seed 42, the first follower first")]
#[test_case(42, 1; "seed 42, the second follower first")]
#[test_case(43, 0; "seed 43, the first follower first")]
#[test_case(43, 1; "seed 43, the second follower first")]
fn the_leader_goes_on_after_both_other_stores_have_lost_their_disks(seed: u64, first: usize) {
    let mut deployment = started(seed);
    let accepted = deployment.submit(ENTRY, job("job", 4, 1));
    deployment.run(1_000);
    assert_eq!(deployment.answers.get(&accepted), Some(&Answer::Accepted));
    let leader = deployment.leader().expect("a leader");
    let others: Vec<HostId> = STORES.into_iter().filter(|id| *id != leader).collect();
    deployment.sync_ms.insert(others[first], 1_000);
    lose(&mut deployment, others[first], 500);
    deployment.run(300);
    lose(&mut deployment, others[1 - first], 3_000);
    let end = deployment.now + RECOVER_MS;
    while deployment.leader().is_none() {
        assert!(deployment.now < end, "no leader:\n{}", deployment.describe());
        deployment.run(50);
    }
    assert_eq!(deployment.leader(), Some(leader));
    deployment.run(5_000);
    let page = deployment.results(leader, "job", 0).expect("the accepted job");
    assert_eq!(page.total, 4);
    assert_eq!(
        deployment.call(leader, Call::GetRouting, 900),
        Some(Answer::Routing("routing 1".into()))
    );
}
