//! The journal on disk: one thread that owns the data folder.
//!
//! Records are appended with a length and a checksum, and are durable only once they are synced. A
//! failed write or sync ends the process: the contents of the file are then unknown, and a retry
//! could report records as durable that are not on the disk. A full disk is an exception: the part
//! that was written is cut off, and the records are written again once there is room. They are
//! reported as durable only after that.
//!
//! Facts, which need no agreement, are kept in a file beside the journal. A damaged part of it is left
//! out, since other hosts know them too.

mod codec;
mod compactor;
mod fact_file;
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
use chestnutdrift_core::gateway::{Fact, FactBatch};
use chestnutdrift_core::key::SyncToken;
use crossbeam::channel::Sender;
use crossbeam::select;

use crate::{clock, memory};

pub use codec::{decode_batches, encode_batch};
pub use compactor::JournalCompactor;
pub use fact_file::FactFile;
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
    /// The facts, which are kept in a file of their own.
    pub facts: FactBatch,
}

impl DiskJob {
    /// Creates a batch without facts.
    #[must_use]
    pub fn new(token: SyncToken, records: Vec<Record>) -> Self {
        Self { token, records, facts: FactBatch::default() }
    }

    /// Sets the facts of the batch (default: none).
    #[must_use]
    pub fn facts(self, facts: FactBatch) -> Self {
        Self { facts, ..self }
    }
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
    /// The facts, in order.
    pub facts: Vec<Fact>,
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
            let (records, facts) = (Vec::new(), Vec::new());
            return Ok(Self { incarnation, records, facts, thread: None, jobs: None });
        };
        let (mut folder, identity, records) = DataFolder::open(path, host)?;
        let facts = folder.take_facts();
        memory::log_use("journal-read");
        let (thread, jobs) = DiskThread::start(folder, inputs.clone(), to_input)?;
        let incarnation = identity.incarnation;
        Ok(Self { incarnation, records, facts, thread: Some(thread), jobs: Some(jobs) })
    }
}

/// The thread that owns the data folder.
#[derive(Debug)]
pub struct DiskThread {
    thread: JoinHandle<()>,
}

impl DiskThread {
    /// Starts the thread, which sends its reports to `inputs`, and returns its queue. The thread ends
    /// if `inputs` has no receiver any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start<I: Send + 'static>(
        disk: impl Disk + 'static,
        inputs: Sender<I>,
        to_input: fn(DiskReport) -> I,
    ) -> anyhow::Result<(Self, DiskQueue)> {
        let (queue, jobs) = queue::queue();
        let builder = std::thread::Builder::new().name("disk".into());
        let reporter = Reporter { inputs, to_input, synced: None };
        let thread = builder
            .spawn(move || run(disk, jobs, reporter))
            .context("can't start the disk thread")?;
        Ok((Self { thread }, queue))
    }

    /// Waits until all batches that were sent to the thread are synced.
    pub fn close(self) {
        let _ = self.thread.join();
    }
}

/// Sends the reports of the disk thread.
#[derive(Debug)]
struct Reporter<I> {
    inputs: Sender<I>,
    to_input: fn(DiskReport) -> I,
    /// The token of the synced batches that are not reported yet.
    synced: Option<SyncToken>,
}

impl<I> Reporter<I> {
    /// Reports the synced batches if the queue of inputs has room. Returns `false` if it has no
    /// receiver any more.
    fn try_report(&mut self) -> bool {
        let Some(token) = self.synced else { return true };
        match self.inputs.try_send((self.to_input)(DiskReport::Synced(token))) {
            Ok(()) => self.synced = None,
            Err(error) => return error.is_full(),
        }
        true
    }

    /// Waits for a batch, and for room for a report that is not sent yet. Returns `None` once one of
    /// the queues is closed.
    ///
    /// The receiver of the inputs may itself wait for room in the queue of batches, so that these are
    /// taken although nothing can be reported.
    fn recv(&mut self, jobs: &QueuedJobs) -> Option<DiskJob> {
        if let Some(token) = self.synced {
            select! {
                send(self.inputs, (self.to_input)(DiskReport::Synced(token))) -> sent => {
                    sent.ok()?;
                    self.synced = None;
                }
                recv(jobs.receiver()) -> job => return job.ok(),
            }
        }
        jobs.recv()
    }
}

fn run<I>(mut disk: impl Disk, jobs: QueuedJobs, mut reporter: Reporter<I>) {
    while let Some(first) = reporter.recv(&jobs) {
        let mut bytes = first.bytes();
        let mut token = first.token;
        let mut records = first.records;
        let mut facts = first.facts;
        for _ in 0..MAX_JOINED_BATCHES {
            if bytes >= MAX_JOINED_BYTES {
                break;
            }
            let Some(job) = jobs.try_recv() else { break };
            bytes += job.bytes();
            token = job.token;
            records.extend(job.records);
            facts.append(job.facts);
        }
        let written = write_all(&mut disk, &records, &facts);
        jobs.release(bytes);
        if let Err(error) = written {
            // Closes the queue first: the receiver of the report may wait for room in it.
            drop(jobs);
            let report = DiskReport::Failed(format!("{error:#}").into());
            if reporter.inputs.send((reporter.to_input)(report)).is_err() {
                log::error!(event = "report-lost"; "{error:#}");
            }
            return;
        }
        reporter.synced = Some(token);
        if !reporter.try_report() {
            return;
        }
    }
}

/// Writes records and facts, as far as there are any.
fn write_all(disk: &mut impl Disk, records: &[Record], facts: &FactBatch) -> anyhow::Result<()> {
    if !records.is_empty() {
        retry_while_full(|| disk.write(records))?;
    }
    if !facts.is_empty() {
        retry_while_full(|| disk.write_facts(facts))?;
    }
    Ok(())
}

/// Writes to the disk; waits for room while it is full.
fn retry_while_full(mut write: impl FnMut() -> anyhow::Result<()>) -> anyhow::Result<()> {
    let mut full_since = None;
    loop {
        match write() {
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
