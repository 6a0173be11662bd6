//! The start of a whole deployment after a loss of power: entry hosts may start before their stores.

use chestnutdrift_core::HostId;

use crate::directory::{ENTRY, STORES, started};

/// How long stores need to start listening after the entry hosts.
const STORES_LATER_MS: u64 = 400;

/// Longer than an election and two intervals between hellos at a start, shorter than the interval
/// between hellos to a silent contact.
const SOON_MS: u64 = 1_500;

/// Guards against entry hosts that refuse requests for seconds after all hosts have started, because
/// their first hellos were lost and the next ones came much later.
#[test]
fn an_entry_host_that_starts_before_its_stores_soon_has_a_routing_configuration() {
    for seed in 0..5 {
        let mut deployment = started(seed);
        deployment.run(3_000);
        let hosts: Vec<HostId> = deployment.hosts();
        for host in hosts {
            deployment.kill(host);
        }
        deployment.run(1_000);
        deployment.start(ENTRY);
        deployment.run(STORES_LATER_MS);
        for store in STORES {
            deployment.start(store);
        }
        deployment.run(SOON_MS);
        let routing = deployment.gateway(ENTRY).board().routing.as_ref();
        assert!(routing.is_some(), "seed {seed}: {}", deployment.describe());
    }
}
