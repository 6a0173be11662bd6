//! The memory that a start needs for a journal of many small batches.
//!
//! The peak is that of the process, so this test has a program of its own.

#[path = "memory/fixture.rs"]
mod fixture;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use chestnutdrift_core::Millis;
use chestnutdrift_core::agreement::{Command, Entry, GroupId, Record};
use chestnutdrift_core::directory::DirectoryCommand;
use chestnutdrift_daemon::disk::{DataFolder, encode_batch};
use chestnutdrift_daemon::memory::MemoryUse;

use fixture::TestFolder;

/// The length of the journal, in bytes.
const JOURNAL_BYTES: u64 = 40 * 1024 * 1024;

/// The most that a start may need in addition to what it restores, in bytes.
const MAX_EXTRA_BYTES: u64 = 2 * 1024 * 1024;

#[test]
fn a_start_with_a_long_journal_needs_little_more_than_the_restored_records() {
    let folder = TestFolder::new("journal-of-entries");
    let path = folder.path().join("data");
    write_journal(&path);
    let before = MemoryUse::read();
    let (_folder, _, records) = DataFolder::open(&path, "host-1").unwrap();
    let after = MemoryUse::read();
    let held = after.allocated - before.allocated;
    let extra = after.peak_allocated - after.allocated;
    println!("records: {} held: {held} extra: {extra}", records.len());
    assert!(held >= JOURNAL_BYTES * 3 / 4, "only {held} bytes were restored");
    assert!(before.peak_allocated < after.allocated, "the peak is not that of the start");
    assert!(extra <= MAX_EXTRA_BYTES, "the start needed {extra} bytes beside {held}");
}

fn write_journal(path: &Path) {
    DataFolder::open(path, "host-1").expect("a folder");
    let mut journal = File::options().append(true).open(path.join("journal")).expect("a journal");
    let (mut job, mut index) = (0, 0);
    while journal.metadata().expect("a length").len() < JOURNAL_BYTES {
        job += 1;
        for batch in job_batches(job, &mut index) {
            journal.write_all(&encode_batch(&batch).expect("a batch")).expect("room on the disk");
        }
    }
}

/// Returns the batches of one job: its submission, and its results in batches of eight.
fn job_batches(id: u64, index: &mut u64) -> Vec<Vec<Record>> {
    let mut entry = |command| {
        *index += 1;
        let entry = Entry { index: *index, term: 1, command: Command::Directory(command) };
        vec![Record::Entry { group: GroupId::Directory, entry }]
    };
    let spec = Arc::new(fixture::job_spec(id));
    let job = spec.id.clone();
    let items = u32::try_from(spec.items.len()).expect("a small job");
    let mut batches = vec![entry(DirectoryCommand::SubmitJob { spec, at: Millis(id) })];
    for first in (0..items).step_by(8) {
        let results = (first..first + 8).map(fixture::result).collect();
        batches.push(entry(DirectoryCommand::AppendResults { job: job.clone(), results }));
    }
    batches
}
