//! The memory that a snapshot needs while it is written.
//!
//! The peak is that of the process, so this test has a program of its own.

#[path = "memory/fixture.rs"]
mod fixture;

use std::sync::Arc;

use chestnutdrift_core::Millis;
use chestnutdrift_core::agreement::{GroupId, GroupState, Record, Snapshot};
use chestnutdrift_core::directory::{Directory, DirectoryCommand};
use chestnutdrift_daemon::disk::{DataFolder, Disk};
use chestnutdrift_daemon::memory::MemoryUse;

use fixture::TestFolder;

/// The size of the jobs in the snapshot, in bytes.
const JOB_BYTES: usize = 40 * 1024 * 1024;

/// The share of the jobs, in percent, that the write may need beside them.
const MAX_EXTRA_PERCENT: u64 = 20;

/// Guards against a snapshot that was encoded as a whole before it was written.
#[test]
fn a_snapshot_is_written_without_an_encoded_copy_of_it() {
    let folder = TestFolder::new("snapshot-of-jobs");
    let path = folder.path().join("data");
    let (mut disk, _, _) = DataFolder::open(&path, "host-1").unwrap();
    let record = snapshot();
    let before = MemoryUse::read();
    disk.write(std::slice::from_ref(&record)).unwrap();
    let extra = MemoryUse::read().peak_allocated - before.allocated;
    println!("held: {} extra: {extra}", before.allocated);
    drop(disk);

    let (_, _, restored) = DataFolder::open(&path, "host-1").unwrap();
    assert_eq!(restored, [record]);
    let max = JOB_BYTES as u64 * MAX_EXTRA_PERCENT / 100;
    assert!(extra <= max, "the snapshot needed {extra} bytes beside {}", before.allocated);
}

fn snapshot() -> Record {
    let mut directory = Directory::default();
    let mut id = 0;
    while directory.job_bytes() < JOB_BYTES {
        id += 1;
        let spec = Arc::new(fixture::job_spec(id));
        let job = spec.id.clone();
        let items = u32::try_from(spec.items.len()).expect("a small job");
        directory.apply(&DirectoryCommand::SubmitJob { spec, at: Millis(id) });
        let results = (0..items).map(fixture::result).collect();
        directory.apply(&DirectoryCommand::AppendResults { job, results });
    }
    let state = GroupState::Directory(directory);
    let snapshot = Snapshot { index: id, term: 1, voters: Vec::new(), state };
    Record::Snapshot { group: GroupId::Directory, snapshot }
}
