//! Store hosts whose disks sync nothing for a while, and their memory limit.

use bytes::Bytes;
use chestnutdrift_core::gateway::{Answer, JobBody, Role};
use chestnutdrift_core::{ErrorKind, HostId, Ran, RequestTag};

use crate::deployment::{Deployment, job};

const ENTRY: HostId = HostId(101);
const STORES: u32 = 3;

/// The entries that wait for a disk may take 10 MB of it, the jobs of the directory 16.6 MB.
const MEMORY_LIMIT: u64 = 100_000_000;

const UNSYNCED_BUDGET: u64 = 10_000_000;

const JOB_BYTES: u64 = 1_200_000;

/// The number of jobs that fit into the directory, and that a stalled disk can't take.
const JOBS: u64 = 12;

fn limited_deployment(seed: u64) -> (Deployment, HostId) {
    let mut deployment = Deployment::new(seed, STORES, 1);
    deployment.memory_limit = Some(MEMORY_LIMIT);
    for id in (1..=STORES).map(HostId) {
        deployment.kill(id);
        deployment.add(id, Role::Store, true);
    }
    let leader = deployment.start_serving();
    (deployment, leader)
}

fn large_job(id: &str, bytes: u64) -> JobBody {
    let mut body = job(id, 1, 1);
    for item in &mut body.items {
        item.body = Bytes::from(vec![7; usize::try_from(bytes).expect("a length")]);
    }
    body
}

fn submit_jobs(deployment: &mut Deployment) -> Vec<RequestTag> {
    let mut tags = Vec::new();
    for number in 0..JOBS {
        tags.push(deployment.submit(ENTRY, large_job(&format!("job-{number}"), JOB_BYTES)));
        deployment.run(500);
    }
    tags
}

fn unsynced_bytes(deployment: &Deployment, id: HostId) -> u64 {
    deployment.gateway(id).board().group.as_ref().expect("a store").unsynced_bytes()
}

/// Guards against leaders that accepted jobs while their own disk took no records, until they were
/// over their memory limit.
#[test]
fn a_leader_with_a_stalled_disk_refuses_jobs_before_its_memory_is_full() {
    let (mut deployment, leader) = limited_deployment(21);
    deployment.stall_disk(leader);
    let tags = submit_jobs(&mut deployment);
    assert_eq!(deployment.leader(), Some(leader));
    let unsynced = unsynced_bytes(&deployment, leader);
    assert!(unsynced > JOB_BYTES, "{unsynced} bytes wait");
    assert!(unsynced <= UNSYNCED_BUDGET + JOB_BYTES, "{unsynced} bytes wait");
    let refused = tags.iter().filter(|tag| match deployment.answers.get(tag) {
        Some(Answer::Problem(problem)) => {
            assert_eq!((problem.kind, problem.ran), (ErrorKind::Overloaded, Ran::No));
            assert!(problem.retry_after_ms.is_some());
            true
        }
        answer => {
            assert_eq!(answer, Some(&Answer::Accepted));
            false
        }
    });
    assert!(refused.count() >= 2);

    deployment.resume_disk(leader);
    deployment.run(100);
    let accepted = deployment.submit(ENTRY, large_job("later", JOB_BYTES));
    deployment.run(1_000);
    assert_eq!(deployment.answers.get(&accepted), Some(&Answer::Accepted));
    assert_eq!(unsynced_bytes(&deployment, leader), 0);
}

/// Guards against followers that took entries while their disk synced nothing, until they were over
/// their memory limit.
#[test]
fn a_follower_with_a_stalled_disk_takes_a_bounded_number_of_bytes() {
    let (mut deployment, leader) = limited_deployment(22);
    let follower = (1..=STORES).map(HostId).find(|id| *id != leader).expect("a follower");
    // Prompt answers let the leader send more appends before the first is answered.
    for number in 0..20 {
        deployment.submit(ENTRY, large_job(&format!("small-{number}"), 10));
        deployment.run(100);
    }
    deployment.bytes_per_ms = 100_000;
    deployment.stall_disk(follower);
    let mut tags = Vec::new();
    for number in 0..7 {
        tags.push(deployment.submit(ENTRY, large_job(&format!("job-{number}"), 1_900_000)));
        deployment.run(100);
    }
    deployment.run(3_000);
    for tag in &tags {
        assert_eq!(deployment.answers.get(tag), Some(&Answer::Accepted));
    }
    let unsynced = unsynced_bytes(&deployment, follower);
    assert!(unsynced <= UNSYNCED_BUDGET + 2_000_000, "{unsynced} bytes wait");

    deployment.resume_disk(follower);
    deployment.run(20_000);
    let directory = |id| &deployment.gateway(id).board().group.as_ref().expect("a store").directory;
    assert_eq!(directory(follower).jobs.len(), directory(leader).jobs.len());
    assert_eq!(unsynced_bytes(&deployment, follower), 0);
}
