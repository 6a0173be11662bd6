//! Store hosts whose disks are full for some seconds each, one after another.

use bytes::Bytes;
use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::{Answer, Call, Role};
use rand::Rng;
use test_case::test_case;

use crate::deployment::{Deployment, SimEngine, Size, job, routing};

const ENTRY: HostId = HostId(101);

/// The time in which a change must be acknowledged, in milliseconds.
const ACK_MS: u64 = 5_000;

/// What else happens while the disks are full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// The leader is killed while another disk is full.
    KilledLeader,
    /// The leader is frozen while another disk is full.
    FrozenLeader,
    /// Each store with a full disk is restarted as soon as there is room.
    Restarts,
}

fn start(seed: u64, stores: u32, memory_limit: Option<u64>) -> Deployment {
    let size = Size { stores, entries: 2, zones: 3, zones_per_region: 1, tolerated_losses: 1 };
    let mut deployment = Deployment::sized(seed, size);
    if memory_limit.is_some() {
        deployment.memory_limit = memory_limit;
        for id in (1..=stores).map(HostId) {
            deployment.kill(id);
            deployment.add(id, Role::Store, true);
        }
    }
    for number in 0..3 {
        deployment.add_engine(SimEngine { break_percent: 10, ..SimEngine::new(number) });
    }
    deployment.start_serving();
    deployment
}

/// Puts the next routing configuration through a store that runs, as an operator does who sends it again
/// to other stores; returns the time until it is acknowledged.
fn change(deployment: &mut Deployment, version: u64, stores: &[HostId]) -> Option<u64> {
    let started = deployment.now;
    for attempt in 0.. {
        let store = stores[(usize::try_from(version).expect("a number") + attempt) % stores.len()];
        if deployment.call(store, Call::PutRouting(routing(version)), 1_000) == Some(Answer::Done) {
            return Some(deployment.now - started);
        }
        if deployment.now - started > 3 * ACK_MS {
            return None;
        }
    }
    None
}

/// Guards against changes that are refused or stay unanswered once disks were full in turn.
#[test_case(3, Trouble::None; "three stores")]
#[test_case(5, Trouble::None; "five stores, two of them learners")]
#[test_case(9, Trouble::None; "nine stores, most without the log")]
#[test_case(3, Trouble::KilledLeader; "and the leader is killed")]
#[test_case(5, Trouble::KilledLeader; "and one of five leads no more")]
#[test_case(3, Trouble::FrozenLeader; "and the leader is frozen")]
#[test_case(3, Trouble::Restarts; "and restarted")]
#[test_case(9, Trouble::Restarts; "and restarted among nine")]
fn changes_stayed_unanswered_after_disks_were_full_in_turn(stores: u32, trouble: Trouble) {
    let seeds = std::env::var("CHESTNUTDRIFT_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(6) {
        let mut deployment = start(1_000 + seed, stores, (seed % 2 == 0).then_some(100_000_000));
        deployment.event_padding_bytes = 400;
        let ids: Vec<HostId> = (1..=stores).map(HostId).collect();
        let mut version = 1;
        for round in 0..6_u64 {
            let leader = deployment.leader();
            let victim = match deployment.rng.random_range(0..3) {
                0 => leader.unwrap_or(ids[0]),
                _ => ids[deployment.rng.random_range(0..ids.len())],
            };
            let mut body = job(&format!("job-{round}"), 40, 1);
            for item in &mut body.items {
                item.body = Bytes::from(vec![7; 20_000]);
            }
            deployment.submit(ENTRY, body);
            let lead_in = deployment.rng.random_range(0..1_000);
            deployment.run(lead_in);
            deployment.stall_disk(victim);
            let others: Vec<HostId> = ids.iter().copied().filter(|id| *id != victim).collect();
            version += 1;
            let tag = deployment.send_call(others[0], Call::PutRouting(routing(version)));
            let full_for = deployment.rng.random_range(2_000..5_000);
            let hit = leader.filter(|leader| *leader != victim && stores > 3);
            match (trouble, hit.or(leader.filter(|leader| *leader != victim))) {
                (Trouble::KilledLeader, Some(leader)) if round == 2 => {
                    deployment.run(full_for / 2);
                    deployment.kill(leader);
                    deployment.run(full_for / 2);
                    deployment.resume_disk(victim);
                    deployment.start(leader);
                }
                (Trouble::FrozenLeader, Some(leader)) if round == 2 => {
                    deployment.freeze(leader);
                    deployment.run(full_for);
                    deployment.resume_disk(victim);
                    deployment.thaw(leader);
                }
                _ => {
                    deployment.run(full_for);
                    deployment.resume_disk(victim);
                }
            }
            if trouble == Trouble::Restarts {
                deployment.kill(victim);
                deployment.run(300);
                deployment.start(victim);
            }
            deployment.answers.remove(&tag);
            let pause = deployment.rng.random_range(100..1_500);
            deployment.run(pause);
        }
        deployment.run(4_000);
        for _ in 0..5 {
            version += 1;
            let took = change(&mut deployment, version, &ids);
            assert!(
                took.is_some_and(|took| took <= ACK_MS),
                "seed {seed}: version {version} took {took:?}\n{}",
                deployment.describe()
            );
            deployment.run(500);
        }
        let tag = deployment.submit(ENTRY, job("last", 12, 1));
        deployment.run(8_000);
        assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted), "seed {seed}");
        let page = deployment.results(ENTRY, "last", 0).expect("a page");
        assert_eq!(page.results.len(), 12, "seed {seed}");
    }
}
