//! Data folders that are damaged, belong to another host, or are on a full or failing disk.

use std::time::Duration;

use anyhow::Context;
use chestnutdrift_core::agreement::GroupState;
use chestnutdrift_core::agreement::{Command, Entry, GroupId, Record, Snapshot};
use chestnutdrift_core::fleet::FleetState;
use chestnutdrift_core::gateway::FactBatch;
use chestnutdrift_core::key::SyncToken;
use chestnutdrift_daemon::disk::{
    DataFolder, Disk, DiskJob, DiskReport, DiskThread, JournalCompactor, decode_batches,
    encode_batch,
};
use crossbeam::channel;

use crate::fixture::{TestFolder, WAIT_TIMEOUT, change, one_host};

fn entry(index: u64, term: u64) -> Record {
    let entry = Entry { index, term, command: Command::Noop };
    Record::Entry { group: GroupId::Zone, entry }
}

fn records() -> Vec<Record> {
    (1..=5).map(|index| entry(index, 1)).collect()
}

/// Returns five batches of one record each, and the length of the first four.
fn batches() -> (Vec<u8>, usize) {
    let batches: Vec<Vec<u8>> = records()
        .iter()
        .map(|record| encode_batch(std::slice::from_ref(record)).expect("a batch"))
        .collect();
    (batches.concat(), batches[..4].concat().len())
}

#[test]
fn records_are_decoded_as_they_were_encoded() {
    let bytes = encode_batch(&records()).unwrap();
    assert_eq!(decode_batches(&bytes).unwrap(), (records(), bytes.len()));
}

#[test]
fn a_truncated_last_batch_is_ignored_at_every_length() {
    let (whole, first_four_len) = batches();
    for length in first_four_len..whole.len() {
        let (found, used) = decode_batches(&whole[..length]).unwrap();
        assert_eq!((found, used), (records()[..4].to_vec(), first_four_len), "cut at {length}");
    }
}

#[test]
fn a_last_batch_is_ignored_whichever_of_its_sectors_are_lost() {
    const SECTOR: usize = 512;
    let before = encode_batch(&records()).unwrap();
    let last: Vec<Record> = (6..=60).map(|index| entry(index, 1)).collect();
    let whole = [before.clone(), encode_batch(&last).unwrap()].concat();
    assert!(whole.len() > 4 * SECTOR);
    let sectors = whole.len().div_ceil(SECTOR);
    for lost in 0..1_u32 << sectors.min(8) {
        let mut bytes = whole.clone();
        for at in (before.len()..whole.len()).filter(|at| lost >> (at / SECTOR % 8) & 1 == 1) {
            bytes[at] = 0;
        }
        let expected = if bytes == whole { 60 } else { 5 };
        let (found, _) = decode_batches(&bytes).unwrap_or_else(|error| panic!("{lost:b}: {error}"));
        assert_eq!(found.len(), expected, "sectors {lost:b} are lost");
    }
}

#[test]
fn any_flipped_bit_before_the_last_batch_is_an_error() {
    let (whole, first_four_len) = batches();
    for at in 0..first_four_len {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            let decoded = decode_batches(&bytes);
            assert!(decoded.is_err(), "byte {at} bit {bit}");
        }
    }
}

#[test]
fn a_folder_keeps_its_records_over_a_restart() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    let (mut disk, first, found) = DataFolder::open(&path, "host-1").unwrap();
    assert!(found.is_empty());
    disk.write(&records()).unwrap();
    drop(disk);
    let (_, again, found) = DataFolder::open(&path, "host-1").unwrap();
    assert_eq!((again, found), (first, records()));
}

#[test]
fn a_folder_of_another_host_is_refused() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    DataFolder::open(&path, "host-1").unwrap();
    let error = DataFolder::open(&path, "host-2").unwrap_err().to_string();
    assert!(error.contains("belongs to host host-1"), "{error}");
}

#[test]
fn a_folder_without_its_identity_is_refused() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
    disk.write(&records()).unwrap();
    std::fs::remove_file(path.join("identity.json")).unwrap();
    assert!(DataFolder::open(&path, "host-1").is_err());
}

/// Guards against hosts that never start again because their disk was full at their first start.
#[test]
fn a_folder_whose_identity_was_not_written_is_used_as_a_new_one() {
    let identity = "{\"host\":\"host-1\",\"incarnation\":7}";
    for length in [0, 1, identity.len() - 1] {
        for name in ["identity.json", "identity.json.new"] {
            let folder = TestFolder::new();
            let path = folder.0.join("data");
            std::fs::create_dir_all(&path).unwrap();
            std::fs::write(path.join(name), &identity[..length]).unwrap();
            let (_, first, found) = DataFolder::open(&path, "host-1").unwrap();
            assert!(found.is_empty() && first.incarnation != 7, "{name} of {length} bytes");
            let (_, again, _) = DataFolder::open(&path, "host-1").unwrap();
            assert_eq!(again, first);
        }
    }
}

/// Guards against records that are taken for those of another state of the host.
#[test]
fn a_folder_with_records_and_a_damaged_identity_is_refused() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
    disk.write(&records()).unwrap();
    std::fs::write(path.join("identity.json"), "").unwrap();
    let error = DataFolder::open(&path, "host-1").unwrap_err();
    assert!(format!("{error:#}").contains("identity.json can't be read"), "{error:#}");
}

/// Returns the number of batches in a journal; each begins with a header of eight bytes, of which the
/// first four are the length of the rest.
fn batch_count(mut journal: &[u8]) -> usize {
    let mut count = 0;
    while let Some((length, _)) = journal.split_first_chunk() {
        count += 1;
        journal = journal.get(8 + u32::from_le_bytes(*length) as usize..).unwrap_or_default();
    }
    count
}

#[test]
fn the_daemon_exits_with_code_1_on_a_damaged_folder() {
    let folder = TestFolder::new();
    let mut fleet = one_host(&folder);
    // Damage to a single batch is taken for a torn write, so the host has to sync another one.
    let answer = fleet.propose_change(0, &change("c0", 0, 1)).unwrap();
    assert!(answer.accepted, "{answer:?}");
    fleet.kill_host(0).unwrap();
    let journal = fleet.hosts[0].data.clone().unwrap().join("journal");
    let mut bytes = std::fs::read(&journal).unwrap();
    assert!(batch_count(&bytes) > 1, "the journal has a single batch");
    bytes[10] ^= 1;
    std::fs::write(&journal, bytes).unwrap();
    fleet.start_host(0).unwrap();
    let status = fleet.process(0).unwrap().wait(WAIT_TIMEOUT).unwrap();
    assert_eq!(status.code(), Some(1));
    let log = std::fs::read_to_string(folder.0.join("host-1.log")).unwrap();
    assert!(log.contains("is damaged"), "{log}");
}

#[test]
fn a_snapshot_removes_the_records_that_it_covers_from_the_journal() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
    disk.write(&records()).unwrap();
    let state = GroupState::Fleet(FleetState::default());
    let snapshot = Snapshot { index: 4, term: 1, voters: Vec::new(), state };
    let snapshot = Record::Snapshot { group: GroupId::Zone, snapshot };
    disk.write(std::slice::from_ref(&snapshot)).unwrap();
    disk.write(&[entry(6, 1)]).unwrap();
    drop(disk);
    let (_, _, found) = DataFolder::open(&path, "host-1").unwrap();
    assert_eq!(found, [snapshot, entry(5, 1), entry(6, 1)]);
}

#[test]
fn a_truncation_removes_earlier_entries_but_not_later_ones() {
    let mut compactor = JournalCompactor::default();
    records().iter().for_each(|record| compactor.apply(record));
    compactor.apply(&Record::Truncate { group: GroupId::Zone, index: 3 });
    compactor.apply(&entry(3, 2));
    assert_eq!(compactor.records(), [entry(1, 1), entry(2, 1), entry(3, 2)]);
}

/// Guards against a compaction that keeps entries which an installed snapshot had dropped beside
/// the acknowledged ones that replaced them.
#[test]
fn a_compaction_drops_the_entries_that_a_later_entry_replaced() {
    let mut compactor = JournalCompactor::default();
    records().iter().for_each(|record| compactor.apply(record));
    let state = GroupState::Fleet(FleetState::default());
    let snapshot = Snapshot { index: 2, term: 1, voters: Vec::new(), state };
    let snapshot = Record::Snapshot { group: GroupId::Zone, snapshot };
    compactor.apply(&snapshot);
    assert_eq!(compactor.records(), [snapshot.clone(), entry(3, 1), entry(4, 1), entry(5, 1)]);
    compactor.apply(&entry(3, 1));
    compactor.apply(&entry(4, 2));
    assert_eq!(compactor.records(), [snapshot, entry(3, 1), entry(4, 2)]);
}

/// A disk that fails after `left` batches.
#[derive(Debug)]
struct FailingDisk {
    left: u32,
}

impl Disk for FailingDisk {
    fn write(&mut self, _records: &[Record]) -> anyhow::Result<()> {
        anyhow::ensure!(self.left > 0, "no space left");
        self.left -= 1;
        Ok(())
    }

    fn write_facts(&mut self, _facts: &FactBatch) -> anyhow::Result<()> {
        self.write(&[])
    }
}

#[test]
fn a_failed_sync_is_reported_once_and_never_retried() {
    let (reports, events) = channel::unbounded();
    let (thread, jobs) =
        DiskThread::start(FailingDisk { left: 1 }, reports, |report| report).unwrap();
    jobs.send(DiskJob::new(SyncToken(1), records())).unwrap();
    let first = events.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert_eq!(first, DiskReport::Synced(SyncToken(1)));
    jobs.send(DiskJob::new(SyncToken(2), records())).unwrap();
    let second = events.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(matches!(second, DiskReport::Failed(_)), "{second:?}");
    thread.close();
    assert!(events.try_recv().is_err(), "the disk was used after it had failed");
}

/// A disk that is full for the first `refusals` writes.
#[derive(Debug)]
struct FullDisk {
    refusals: u32,
    written: Vec<Record>,
}

impl Disk for FullDisk {
    fn write(&mut self, records: &[Record]) -> anyhow::Result<()> {
        if self.refusals > 0 {
            self.refusals -= 1;
            let full = std::io::Error::from(std::io::ErrorKind::StorageFull);
            return Err(full).context("the journal can't be written");
        }
        self.written.extend(records.iter().cloned());
        assert_eq!(self.written, records, "a batch is written twice");
        Ok(())
    }

    fn write_facts(&mut self, facts: &FactBatch) -> anyhow::Result<()> {
        panic!("{facts:?} were not sent");
    }
}

#[test]
fn records_wait_while_the_disk_is_full() {
    let (reports, events) = channel::unbounded();
    let disk = FullDisk { refusals: 2, written: Vec::new() };
    let (thread, jobs) = DiskThread::start(disk, reports, |report| report).unwrap();
    jobs.send(DiskJob::new(SyncToken(1), records())).unwrap();
    let early = events.recv_timeout(Duration::from_millis(100));
    assert!(early.is_err(), "{early:?} while the disk is full");
    assert_eq!(events.recv_timeout(WAIT_TIMEOUT).unwrap(), DiskReport::Synced(SyncToken(1)));
    drop(jobs);
    thread.close();
}

/// A disk that takes all records.
#[derive(Debug)]
struct EndlessDisk;

impl Disk for EndlessDisk {
    fn write(&mut self, _records: &[Record]) -> anyhow::Result<()> {
        Ok(())
    }

    fn write_facts(&mut self, _facts: &FactBatch) -> anyhow::Result<()> {
        Ok(())
    }
}

/// Guards against a control thread that waits for room in the queue of the disk, while the disk thread
/// waits for the control thread to take a report.
#[test]
fn a_full_queue_of_records_is_written_while_no_report_is_taken() {
    // More than the queue of the disk holds.
    const BATCHES: u64 = 20_000;
    let (reports, events) = channel::bounded(1);
    reports.send(DiskReport::Synced(SyncToken(0))).unwrap();
    let (thread, jobs) = DiskThread::start(EndlessDisk, reports, |report| report).unwrap();
    let (sent, all_sent) = channel::bounded(1);
    let control = std::thread::spawn(move || {
        for token in 1..=BATCHES {
            jobs.send(DiskJob::new(SyncToken(token), records())).unwrap();
        }
        sent.send(()).unwrap();
        jobs
    });
    all_sent.recv_timeout(WAIT_TIMEOUT).expect("the batches are queued");
    let mut last = SyncToken(0);
    while last < SyncToken(BATCHES) {
        let report = events.recv_timeout(WAIT_TIMEOUT).expect("a report");
        let DiskReport::Synced(token) = report else { panic!("{report:?}") };
        last = last.max(token);
    }
    drop(control.join().unwrap());
    thread.close();
}

#[test]
fn records_that_a_full_disk_refused_can_be_written_again() {
    let folder = TestFolder::new();
    let path = folder.0.join("data");
    let (mut disk, ..) = DataFolder::open(&path, "host-1").unwrap();
    disk.write(&records()).unwrap();
    let state = GroupState::Fleet(FleetState::default());
    let snapshot = Snapshot { index: 4, term: 1, voters: Vec::new(), state };
    let batch = [Record::Snapshot { group: GroupId::Zone, snapshot }, entry(6, 1)];
    std::os::unix::fs::symlink("/dev/full", path.join("journal.new")).unwrap();
    let error = disk.write(&batch).unwrap_err();
    let kind = error.downcast_ref::<std::io::Error>().map(std::io::Error::kind);
    assert_eq!(kind, Some(std::io::ErrorKind::StorageFull), "{error:#}");
    std::fs::remove_file(path.join("journal.new")).unwrap();
    disk.write(&batch).unwrap();
    disk.write(&[entry(7, 1)]).unwrap();
    drop(disk);
    let (_, _, found) = DataFolder::open(&path, "host-1").unwrap();
    let [snapshot, last] = batch;
    assert_eq!(found, [snapshot, entry(5, 1), last, entry(7, 1)]);
}

#[test]
fn an_intact_batch_is_found_anywhere_in_a_long_damaged_tail() {
    const TAIL_BYTES: usize = 20_000_000;
    let before = encode_batch(&records()).unwrap();
    let mut tail = vec![0; TAIL_BYTES];
    let mut state = 1_u64;
    for byte in &mut tail {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        *byte = state.to_be_bytes()[0];
    }
    let bytes = [before.clone(), tail].concat();
    let started = std::time::Instant::now();
    let (found, used) = decode_batches(&bytes).unwrap();
    println!("searched {TAIL_BYTES} bytes in {:?}", started.elapsed());
    assert_eq!((found, used), (records(), before.len()));
    let later: Vec<Record> = (6..=4_000).map(|index| entry(index, 1)).collect();
    let later = encode_batch(&later).unwrap();
    for at in [before.len() + 1, 9_999_999, bytes.len() - later.len()] {
        let mut bytes = bytes.clone();
        bytes[at..at + later.len()].copy_from_slice(&later);
        assert!(decode_batches(&bytes).is_err(), "the batch at byte {at} was not found");
    }
}
