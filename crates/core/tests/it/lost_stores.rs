//! Stores that lose their disks one after another.

use chestnutdrift_core::gateway::{Answer, Call};
use chestnutdrift_core::{HostId, RequestTag};
use rand::Rng;
use test_case::test_case;

use crate::bookings::seeds;
use crate::deployment::{Deployment, job, routing};
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

/// The time after its return at which a store no longer counts as lost, in milliseconds.
const CATCH_UP_MS: u64 = 4_700;

/// What callers and operators were told, in a deployment whose stores lose their disks.
struct Promises {
    deployment: Deployment,
    submitted: Vec<(Box<str>, RequestTag)>,
    puts: Vec<(u64, RequestTag)>,
}

impl Promises {
    /// Starts a deployment with slow links, and fills its directory with texts.
    fn new(seed: u64) -> Self {
        const BYTES_PER_JOB: u32 = 2_000_000;
        let mut deployment = started(seed);
        deployment.bytes_per_ms = deployment.rng.random_range(20_000..75_000);
        deployment.event_padding_bytes = 10_000;
        deployment.events_per_item = Some(10);
        let state_bytes = deployment.rng.random_range(10_000_000..50_000_000);
        let mut promises = Self { deployment, submitted: Vec::new(), puts: Vec::new() };
        for _ in 0..state_bytes / BYTES_PER_JOB {
            promises.submit(20);
            promises.deployment.run(1_000);
        }
        promises.deployment.drop_percent = promises.deployment.rng.random_range(0..3);
        promises
    }

    fn submit(&mut self, items: u32) {
        let id: Box<str> = format!("job-{}", self.submitted.len()).into();
        let tag = self.deployment.submit(ENTRY, job(&id, items, 1));
        self.submitted.push((id, tag));
    }

    /// Lets time pass in which jobs and configurations are sent.
    fn run(&mut self, millis: u64) {
        const INTERVAL_MS: u64 = 450;
        let end = self.deployment.now + millis;
        while self.deployment.now < end {
            self.submit(2);
            let version = self.puts.len() as u64 + 2;
            let via = STORES[self.deployment.rng.random_range(0..STORES.len())];
            let tag = self.deployment.send_call(via, Call::PutRouting(routing(version)));
            self.puts.push((version, tag));
            self.deployment.run(INTERVAL_MS.min(end - self.deployment.now));
            self.deployment.leader();
        }
    }

    /// Has a store lose its disk, and lets as much time pass as it may take to catch up.
    fn lose_disk(&mut self, id: HostId) {
        let sync_ms = self.deployment.rng.random_range(60..250);
        let down_ms = self.deployment.rng.random_range(500..3_000);
        self.deployment.kill(id);
        self.deployment.lose_disk(id);
        self.run(down_ms);
        self.deployment.sync_ms.insert(id, sync_ms);
        self.deployment.start(id);
        self.run(CATCH_UP_MS);
        self.deployment.sync_ms.remove(&id);
    }

    fn freeze(&mut self, id: HostId) {
        let millis = self.deployment.rng.random_range(500..4_000);
        self.deployment.freeze(id);
        self.run(millis);
        self.deployment.thaw(id);
        self.run(CATCH_UP_MS);
    }

    /// Checks that there is a leader in time, and that it has all that was acknowledged.
    fn check(&mut self, seed: u64) {
        let end = self.deployment.now + RECOVER_MS;
        while self.deployment.leader().is_none() {
            assert!(self.deployment.now < end, "seed {seed}: {}", self.deployment.describe());
            self.deployment.run(50);
        }
        self.deployment.run(1_000);
        let answers = &self.deployment.answers;
        let leader = self.deployment.leader().expect("a leader");
        let group = self.deployment.gateway(leader).board().group.as_ref().expect("a store");
        let version = group.directory.routing.as_ref().map_or(0, |routing| routing.version);
        for (put, tag) in &self.puts {
            let is_kept = answers.get(tag) != Some(&Answer::Done) || *put <= version;
            assert!(is_kept, "seed {seed}: {put} is lost, {version} is in force");
        }
        for (job, tag) in &self.submitted {
            let is_kept = answers.get(tag) != Some(&Answer::Accepted)
                || group.directory.jobs.contains_key(job);
            assert!(is_kept, "seed {seed}: {job} is lost\n{}", self.deployment.describe());
        }
    }
}

/// A store loses its disk, or the leader freezes, as soon as the store before counts as caught up.
#[test]
fn invariant_accepted_work_survives_stores_that_lose_their_disks_in_turn() {
    for seed in seeds(2) {
        let mut promises = Promises::new(seed);
        for _ in 0..5 {
            let leader = promises.deployment.leader();
            let index = promises.deployment.rng.random_range(0..STORES.len());
            match leader {
                Some(leader) if promises.deployment.rng.random_bool(0.3) => promises.freeze(leader),
                Some(leader) if promises.deployment.rng.random_bool(0.4) => {
                    promises.lose_disk(leader);
                }
                _ => promises.lose_disk(STORES[index]),
            }
            promises.check(seed);
        }
    }
}
