//! The retirement of the store host that leads the directory group.

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::{Answer, Call};

use crate::deployment::{Deployment, SimEngine, Size};

/// The longest time without a leader: some round trips, and less than an election timeout of 1.2 s.
const MAX_GAP_MS: u64 = 600;

/// Guards against a leader that gives up its role on retirement and leaves the others to wait for an
/// election, during which no item runs.
#[test]
fn a_leader_that_is_retired_hands_its_leadership_over() {
    for seed in 0..5 {
        let size =
            Size { stores: 5, entries: 1, zones: 3, zones_per_region: 1, tolerated_losses: 1 };
        let mut deployment = Deployment::sized(seed, size);
        deployment.add_engine(SimEngine::new(1));
        deployment.run(6_000);
        let leader = deployment.leader().expect("a leader");
        let other = (1..=5).map(HostId).find(|id| *id != leader).expect("another store");
        let host = deployment.gateway(leader).board().cfg.name.clone();
        assert_eq!(deployment.call(other, Call::Retire { host }, 900), Some(Answer::Done));
        let (mut gap, mut longest) = (0, 0);
        for _ in 0..400 {
            deployment.run(10);
            gap = if deployment.leader().is_some() { 0 } else { gap + 10 };
            longest = longest.max(gap);
        }
        assert_ne!(deployment.leader(), Some(leader), "seed {seed}: it still leads");
        assert!(longest <= MAX_GAP_MS, "seed {seed}: no leader for {longest} ms");
    }
}
