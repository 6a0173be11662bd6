//! Facts in a data folder: restored, replaced, damaged, and on a full disk.

use std::fs;
use std::path::Path;

use chestnutdrift_core::Millis;
use chestnutdrift_core::gateway::message::UpstreamRecord;
use chestnutdrift_core::gateway::{Announcement, Fact, FactBatch};
use chestnutdrift_core::key::SyncToken;
use chestnutdrift_daemon::disk::{DataFolder, Disk, DiskJob, DiskReport, DiskThread};
use crossbeam::channel;

use crate::fixture::{TestFolder, WAIT_TIMEOUT};

fn departure(number: u64) -> Fact {
    let announced = Announcement {
        id: format!("desk-{number}").into(),
        service: "desk".into(),
        address: "10.0.0.8:8000".into(),
        zone: "zone-1".into(),
        slots: 8,
        leaving: true,
        started_at: number,
        seq: 5,
        versions: vec![("model".into(), 2)],
        software: "v1".into(),
        reclaimable: false,
        leaves_in: Some(Millis(900)),
    };
    let record = UpstreamRecord {
        announced,
        silent: false,
        gone: false,
        left: true,
        said_leaving: false,
        limit: None,
        slow: false,
        departed_ago: None,
    };
    Fact::Upstream { at: Millis(1_700_000_000_000), record }
}

fn added(numbers: &[u64]) -> FactBatch {
    FactBatch { facts: numbers.iter().copied().map(departure).collect(), replaces: false }
}

fn facts_in(path: &Path) -> Vec<Fact> {
    DataFolder::open(path, "host-1").expect("a data folder").0.take_facts()
}

/// Guards against facts that are lost when a process ends, and against ones that come back after they
/// were replaced.
#[test]
fn facts_are_restored_until_they_are_replaced() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
    disk.write_facts(&added(&[1, 2])).unwrap();
    disk.write_facts(&added(&[3])).unwrap();
    drop(disk);
    assert_eq!(facts_in(&path), [departure(1), departure(2), departure(3)]);
    let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
    disk.write_facts(&FactBatch { replaces: true, ..added(&[3]) }).unwrap();
    disk.write_facts(&added(&[4])).unwrap();
    drop(disk);
    assert_eq!(facts_in(&path), [departure(3), departure(4)]);
}

/// Guards against a host that can't start, or loses the facts before it, for a damaged batch of facts.
#[test]
fn a_host_starts_with_the_facts_before_a_damaged_one() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
    disk.write_facts(&added(&[1])).unwrap();
    let intact = fs::read(path.join("facts")).unwrap().len();
    disk.write_facts(&added(&[2])).unwrap();
    disk.write_facts(&added(&[3])).unwrap();
    drop(disk);
    let bytes = fs::read(path.join("facts")).unwrap();
    for at in [intact, intact + 3, intact + 8, intact + 100, bytes.len() - 1] {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x55;
        fs::write(path.join("facts"), &damaged).unwrap();
        let found = facts_in(&path);
        assert!(found.starts_with(&[departure(1)]) && found.len() < 3, "byte {at}: {found:?}");
        let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
        disk.write_facts(&added(&[4])).unwrap();
        drop(disk);
        assert_eq!(facts_in(&path).last(), Some(&departure(4)), "byte {at}");
    }
    for length in 0..bytes.len() {
        fs::write(path.join("facts"), &bytes[..length]).unwrap();
        let found = facts_in(&path);
        assert_eq!(found, [1, 2, 3].map(departure)[..found.len()], "{length} bytes");
    }
}

/// Guards against a host of an earlier version that drops all facts of a batch for one that it doesn't
/// know.
#[test]
fn facts_of_a_later_version_are_left_out() {
    #[derive(serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    enum LaterFact {
        Unheard {
            of: u64,
        },
        #[serde(untagged)]
        Known(Fact),
    }
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    drop(DataFolder::open(&path, "host-1").unwrap());
    let facts = [LaterFact::Unheard { of: 7 }, LaterFact::Known(departure(1))];
    let mut body = Vec::new();
    ciborium::into_writer(&facts, &mut body).unwrap();
    let mut bytes = u32::try_from(body.len()).unwrap().to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    fs::write(path.join("facts"), bytes).unwrap();
    assert_eq!(facts_in(&path), [departure(1)]);
}

/// Guards against a journal of facts that a failed write leaves in part, and against facts that are
/// reported before they are written.
#[test]
fn facts_that_a_full_disk_refused_are_written_again() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
    disk.write_facts(&added(&[1])).unwrap();
    let replacing = FactBatch { replaces: true, ..added(&[2, 3]) };
    std::os::unix::fs::symlink("/dev/full", path.join("facts.new")).unwrap();
    let error = disk.write_facts(&replacing).unwrap_err();
    let kind = error.downcast_ref::<std::io::Error>().map(std::io::Error::kind);
    assert_eq!(kind, Some(std::io::ErrorKind::StorageFull), "{error:#}");
    let (reports, events) = channel::unbounded();
    let (thread, jobs) = DiskThread::start(disk, reports, |report| report).unwrap();
    jobs.send(DiskJob::new(SyncToken(1), Vec::new()).facts(replacing)).unwrap();
    let early = events.recv_timeout(std::time::Duration::from_millis(100));
    assert!(early.is_err(), "{early:?} while the disk is full");
    fs::remove_file(path.join("facts.new")).unwrap();
    assert_eq!(events.recv_timeout(WAIT_TIMEOUT).unwrap(), DiskReport::Synced(SyncToken(1)));
    drop(jobs);
    thread.close();
    assert_eq!(facts_in(&path), [departure(2), departure(3)]);
}
