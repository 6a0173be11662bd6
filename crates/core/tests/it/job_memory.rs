//! Jobs and the memory limit of the store hosts.

use chestnutdrift_core::gateway::{Answer, Call, Event, JobCaller};
use chestnutdrift_core::{ErrorKind, HostId, Problem, RequestTag};
use test_case::test_case;

use crate::deployment::{Deployment, SimEngine, job};

const ENTRY: HostId = HostId(101);
const STORES: u32 = 3;

/// The directory may hold some 4 MB of it: 460 items with their texts.
const MEMORY_LIMIT: u64 = 23_002_500;

/// The longest time until a refusal: two messages each way, and no time-out.
const REFUSAL_MS: u64 = 200;

/// Starts a deployment whose hosts have a memory limit, and returns it with its leader.
fn limited_deployment(seed: u64, memory_limit: u64) -> (Deployment, HostId) {
    let mut deployment = Deployment::new(seed, STORES, 1);
    deployment.memory_limit = Some(memory_limit);
    for id in (1..=STORES).map(HostId) {
        deployment.kill(id);
        deployment.add(id, chestnutdrift_core::gateway::Role::Store, true);
    }
    let leader = deployment.start_serving();
    (deployment, leader)
}

fn problem(deployment: &Deployment, tag: RequestTag) -> Problem {
    match deployment.answers.get(&tag) {
        Some(Answer::Problem(problem)) => problem.clone(),
        other => panic!("expected a problem, got {other:?}"),
    }
}

fn is_accepted(deployment: &Deployment, tag: RequestTag) -> bool {
    deployment.answers.get(&tag) == Some(&Answer::Accepted)
}

/// Guards against stores that accepted jobs until they were over their memory limit.
#[test]
fn a_job_that_does_not_fit_into_memory_is_refused_at_once_as_not_run() {
    let (mut deployment, leader) = limited_deployment(7, MEMORY_LIMIT);
    let small = deployment.submit(ENTRY, job("small", 300, 1));
    deployment.run(1_000);
    assert!(is_accepted(&deployment, small));

    let large = deployment.submit(ENTRY, job("large", 300, 1));
    deployment.run(REFUSAL_MS);
    let problem = problem(&deployment, large);
    assert_eq!(problem.kind, ErrorKind::Overloaded);
    assert_eq!(problem.ran, chestnutdrift_core::Ran::No);
    assert!(problem.retry_after_ms.is_some());
    let board = deployment.gateway(leader).board();
    assert_eq!(board.counters.jobs_without_memory, 1);
    assert!(!board.group.as_ref().expect("a store").directory.jobs.contains_key("large"));

    let again = deployment.submit(ENTRY, job("small", 300, 1));
    deployment.run(REFUSAL_MS);
    assert!(is_accepted(&deployment, again), "an accepted job is acknowledged again");
}

/// Guards against jobs that were refused although a third of the memory was never used.
#[test]
fn jobs_are_accepted_until_they_take_two_thirds_of_the_memory_beyond_the_base() {
    const LIMIT: u64 = 37_000_000;
    let (mut deployment, _) = limited_deployment(11, LIMIT);
    let mut accepted = 0;
    for at in 0..14 {
        let tag = deployment.submit(ENTRY, job(&format!("job-{at}"), 100, 1));
        deployment.run(1_000);
        accepted += u64::from(is_accepted(&deployment, tag));
    }
    // A job of 100 items takes 0.9 MB with its texts, and 13 MB of 20 MB are for jobs.
    assert_eq!(accepted, 14);
    let large = deployment.submit(ENTRY, job("large", 200, 1));
    deployment.run(REFUSAL_MS);
    assert_eq!(problem(&deployment, large).kind, ErrorKind::Overloaded);
}

#[test]
fn jobs_that_arrive_together_do_not_exceed_the_memory() {
    let (mut deployment, _) = limited_deployment(8, MEMORY_LIMIT);
    let tags: Vec<RequestTag> =
        (0..10).map(|at| deployment.submit(ENTRY, job(&format!("job-{at}"), 100, 1))).collect();
    deployment.run(2_000);
    let accepted = tags.iter().filter(|tag| is_accepted(&deployment, **tag)).count();
    assert_eq!(accepted, 4);
}

#[test]
fn a_job_fits_once_short_results_have_replaced_the_expected_texts() {
    let (mut deployment, _) = limited_deployment(9, MEMORY_LIMIT);
    deployment.submit(ENTRY, job("first", 300, 1));
    deployment.run(1_000);
    let early = deployment.submit(ENTRY, job("second", 300, 1));
    deployment.run(REFUSAL_MS);
    assert_eq!(problem(&deployment, early).kind, ErrorKind::Overloaded);
    for number in 1..=8 {
        deployment.add_engine(SimEngine::new(number));
    }
    deployment.run(60_000);
    let late = deployment.submit(ENTRY, job("second", 300, 1));
    deployment.run(1_000);
    assert!(is_accepted(&deployment, late));
}

#[test]
fn jobs_are_refused_while_memory_is_scarce() {
    let (mut deployment, leader) = limited_deployment(10, MEMORY_LIMIT);
    let measured = |percent: u64| Event::MemoryMeasured { allocated: MEMORY_LIMIT / 100 * percent };
    deployment.deliver(leader, measured(80));
    let refused = deployment.submit(ENTRY, job("job", 10, 1));
    deployment.run(REFUSAL_MS);
    assert_eq!(problem(&deployment, refused).kind, ErrorKind::Overloaded);

    deployment.deliver(leader, measured(70));
    let accepted = deployment.submit(ENTRY, job("job", 10, 1));
    deployment.run(1_000);
    assert!(is_accepted(&deployment, accepted));
}

/// Guards against a leader that refuses every job for good because its log, which is compacted only
/// when it grows, takes the memory of the jobs.
#[test_case(46_000_000)]
#[test_case(130_000_000)]
fn a_leader_whose_jobs_were_removed_accepts_jobs_again(memory_limit: u64) {
    const JOBS: usize = 120;
    const JOB_INTERVAL_MS: u64 = 10_000;
    let (mut deployment, _) = limited_deployment(1, memory_limit);
    for number in 1..=8 {
        deployment.add_engine(SimEngine::new(number));
    }
    deployment.event_padding_bytes = 4_000;
    deployment.events_per_item = Some(10);
    let mut refused_in_a_row = 0;
    for number in 0..JOBS {
        let id = format!("job-{number}");
        let tag = deployment.submit(ENTRY, job(&id, 20, 1));
        deployment.run(JOB_INTERVAL_MS);
        refused_in_a_row = if is_accepted(&deployment, tag) { 0 } else { refused_in_a_row + 1 };
        assert!(refused_in_a_row < 30, "no job was accepted for 300 s");
        deployment.call(
            ENTRY,
            Call::EndJob { job: id.into(), caller: JobCaller::default() },
            1_000,
        );
    }
}
