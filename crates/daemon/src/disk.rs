//! The journal on disk: one thread that owns the data folder.
//!
//! Records are appended with a length and a checksum, and are durable only once they are synced. A
//! failed write or sync ends the process: the contents of the file are then unknown, and a retry
//! could report records as durable that are not on the disk. A full disk is an exception: the part
//! that was written is cut off, and the records are written again once there is room. They are
//! reported as durable only after that.

mod codec;
mod compactor;
mod folder;
mod queue;
mod reader;
mod tail;

use std::io;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Context;
use chestnutdrift_core::agreement::Record;
use chestnutdrift_core::key::SyncToken;
use crossbeam::channel::Sender;

use crate::{clock, memory};

pub use codec::{decode_batches, encode_batch};
pub use compactor::JournalCompactor;
pub use folder::{DataFolder, Disk, Identity};
pub use queue::DiskQueue;

use queue::QueuedJobs;

/// The most waiting batches that are synced together with the first one.
const MAX_JOINED_BATCHES: usize = 256;

/// The size of the records in bytes from which no further batch is synced together with them, because
/// they are encoded together.
const MAX_JOINED_BYTES: usize = 1024 * 1024;

/// The time between two attempts to write to a full disk.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A batch of records to be synced.
#[derive(Debug, Clone, PartialEq)]
pub struct DiskJob {
    /// The token to report once the records are synced.
    pub token: SyncToken,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// What the disk thread reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiskReport {
    /// Every batch up to a token is synced.
    Synced(SyncToken),
    /// The disk failed, with the reason; no further records become durable.
    Failed(Box<str>),
}

/// What was restored from a data folder; empty if the host has no disk.
#[derive(Debug)]
pub struct RestoredData {
    /// A number that identifies the host's state; without a disk, each start has a new one.
    pub incarnation: u64,
    /// The records, in order.
    pub records: Vec<Record>,
    /// The thread that owns the folder; `None` without a disk.
    pub thread: Option<DiskThread>,
    /// The queue of that thread; `None` without a disk.
    pub jobs: Option<DiskQueue>,
}

impl RestoredData {
    /// Opens the data folder of a host and starts the thread that owns it, which sends its reports
    /// to `inputs`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder belongs to another host, is damaged, or can't be used.
    pub fn open<I: Send + 'static>(
        path: Option<&Path>,
        host: &str,
        inputs: &Sender<I>,
        to_input: fn(DiskReport) -> I,
    ) -> anyhow::Result<Self> {
        let Some(path) = path else {
            let incarnation = clock::wall().0;
            return Ok(Self { incarnation, records: Vec::new(), thread: None, jobs: None });
        };
        let (folder, identity, records) = DataFolder::open(path, host)?;
        memory::log_use("journal-read");
        let inputs = inputs.clone();
        let send_report = move |report| inputs.send(to_input(report)).is_ok();
        let (thread, jobs) = DiskThread::start(folder, send_report)?;
        let incarnation = identity.incarnation;
        Ok(Self { incarnation, records, thread: Some(thread), jobs: Some(jobs) })
    }
}

/// The thread that owns the data folder.
#[derive(Debug)]
pub struct DiskThread {
    thread: JoinHandle<()>,
}

impl DiskThread {
    /// Starts the thread and returns its queue.
    ///
    /// `send_report` returns `false` if there is no receiver any more, which ends the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(
        disk: impl Disk + 'static,
        send_report: impl Fn(DiskReport) -> bool + Send + 'static,
    ) -> anyhow::Result<(Self, DiskQueue)> {
        let (queue, jobs) = queue::queue();
        let builder = std::thread::Builder::new().name("disk".into());
        let thread = builder
            .spawn(move || run(disk, &jobs, &send_report))
            .context("can't start the disk thread")?;
        Ok((Self { thread }, queue))
    }

    /// Waits until all batches that were sent to the thread are synced.
    pub fn close(self) {
        let _ = self.thread.join();
    }
}

fn run(mut disk: impl Disk, jobs: &QueuedJobs, send_report: &impl Fn(DiskReport) -> bool) {
    while let Some(first) = jobs.recv() {
        let mut bytes = first.bytes();
        let mut token = first.token;
        let mut records = first.records;
        for _ in 0..MAX_JOINED_BATCHES {
            if bytes >= MAX_JOINED_BYTES {
                break;
            }
            let Some(job) = jobs.try_recv() else { break };
            bytes += job.bytes();
            token = job.token;
            records.extend(job.records);
        }
        let report = match write(&mut disk, &records) {
            Ok(()) => DiskReport::Synced(token),
            Err(error) => DiskReport::Failed(format!("{error:#}").into()),
        };
        jobs.release(bytes);
        let failed = matches!(report, DiskReport::Failed(_));
        if !send_report(report) || failed {
            return;
        }
    }
}

/// Writes records; waits for room while the disk is full.
fn write(disk: &mut impl Disk, records: &[Record]) -> anyhow::Result<()> {
    let mut full_since = None;
    loop {
        match disk.write(records) {
            Err(error) if is_full(&error) => {
                if full_since.is_none() {
                    log::error!(event = "disk-full"; "records wait for free space: {error:#}");
                }
                full_since.get_or_insert_with(Instant::now);
                std::thread::sleep(DISK_FULL_RETRY_DELAY);
            }
            written => {
                if let Some(since) = full_since {
                    let full_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
                    let room = written.is_ok();
                    log::info!(event = "disk-full-over", full_ms = full_ms, room = room; "");
                }
                return written;
            }
        }
    }
}

fn is_full(error: &anyhow::Error) -> bool {
    let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
    matches!(kind, Some(io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded))
}
