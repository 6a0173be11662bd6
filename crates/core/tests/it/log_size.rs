//! The size of the log, in bytes.

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::Call;
use chestnutdrift_core::gateway::board::DirectoryGroup;

use crate::deployment::{Deployment, job};
use crate::directory::{ENTRY, STORES, started};

/// The most bytes of log entries that a store may hold: a quarter of the memory of a small store.
const MAX_LOG_BYTES: usize = 32 * 1024 * 1024;

/// Runs jobs with 12 MB of text each until a number of them have ended.
fn run_large_jobs(deployment: &mut Deployment, jobs: u32, mut check: impl FnMut(&Deployment)) {
    deployment.event_padding_bytes = 20_000;
    deployment.events_per_item = Some(10);
    for number in 0..jobs {
        let id = format!("large-{number}");
        deployment.submit(ENTRY, job(&id, 60, 1));
        for _ in 0..3 {
            deployment.run(1_000);
            check(deployment);
        }
        let call = Call::EndJob { job: id.as_str().into() };
        deployment.call(ENTRY, call, 900);
    }
}

fn group(deployment: &Deployment, id: HostId) -> &DirectoryGroup {
    deployment.gateway(id).board().group.as_ref().expect("a store has a group")
}

/// Guards against a log that was compacted by its number of entries alone, and outgrew the memory
/// of its host.
#[test]
fn the_log_of_a_store_does_not_outgrow_its_bytes() {
    let mut deployment = started(31);
    run_large_jobs(&mut deployment, 5, |deployment| {
        for id in STORES {
            let bytes = group(deployment, id).replica.log().bytes();
            assert!(bytes < MAX_LOG_BYTES, "the log of {id:?} has {bytes} bytes");
        }
    });
    let held = group(&deployment, STORES[0]).directory.job_bytes();
    assert!(held > MAX_LOG_BYTES, "only {held} bytes of jobs were written");
}
