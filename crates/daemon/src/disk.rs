//! The journal on disk: one thread that owns the data folder.
//!
//! Records are appended with a length and a checksum and count only once they are synced. A failed
//! write or sync ends the process: what the file then holds is not known, and to try again as if
//! nothing had happened would promise what may not be there. A full disk is another matter: what it
//! refused is cut off again and written anew once there is room, and nothing is promised before.

mod codec;
mod compactor;
mod folder;

use std::io;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Context;
use chestnutdrift_core::agreement::Record;
use chestnutdrift_core::key::SyncToken;
use crossbeam::channel::{self, Receiver, Sender};

use crate::clock;

pub use codec::{decode_batches, encode_batch};
pub use compactor::JournalCompactor;
pub use folder::{DataFolder, Disk, Identity};

/// Batches that may wait for the disk; beyond them the control thread waits too.
const BATCHES_WAITING: usize = 4_096;

/// The most batches that are synced together.
const BATCHES_TOGETHER: usize = 256;

/// The time between two tries to write to a full disk.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// A batch of records to be synced.
#[derive(Debug, Clone, PartialEq)]
pub struct DiskJob {
    /// The token to report.
    pub token: SyncToken,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// What the disk thread reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiskReport {
    /// Every batch up to a token is synced.
    Synced(SyncToken),
    /// The disk failed: nothing more can be promised.
    Failed(Box<str>),
}

/// What a data folder gave, or nothing where the host has no disk.
#[derive(Debug)]
pub struct RestoredData {
    /// The life of the host's state.
    pub incarnation: u64,
    /// The records, in order.
    pub records: Vec<Record>,
    /// The thread that owns the folder.
    pub thread: Option<DiskThread>,
    /// The way to that thread.
    pub jobs: Option<Sender<DiskJob>>,
}

impl RestoredData {
    /// Opens the data folder of a host and starts the thread that owns it; its reports go to
    /// `inputs`.
    ///
    /// # Errors
    ///
    /// Returns an error where the folder belongs to another host, is damaged, or can't be used.
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
        let inputs = inputs.clone();
        let report = move |news| inputs.send(to_input(news)).is_ok();
        let (thread, jobs) = DiskThread::start(folder, report)?;
        let incarnation = identity.incarnation;
        Ok(Self { incarnation, records, thread: Some(thread), jobs: Some(jobs) })
    }
}

/// The thread that owns the disk.
#[derive(Debug)]
pub struct DiskThread {
    thread: JoinHandle<()>,
}

impl DiskThread {
    /// Starts the thread and returns the way to it; `report` says whether anyone still listens.
    ///
    /// # Errors
    ///
    /// Returns an error where the thread can't be started.
    pub fn start(
        disk: impl Disk + 'static,
        report: impl Fn(DiskReport) -> bool + Send + 'static,
    ) -> anyhow::Result<(Self, Sender<DiskJob>)> {
        let (tx, rx) = channel::bounded(BATCHES_WAITING);
        let builder = std::thread::Builder::new().name("disk".into());
        let thread = builder
            .spawn(move || run(disk, &rx, &report))
            .context("the thread for the disk can't be started")?;
        Ok((Self { thread }, tx))
    }

    /// Waits until everything that was handed over is synced.
    pub fn close(self) {
        let _ = self.thread.join();
    }
}

fn run(mut disk: impl Disk, jobs: &Receiver<DiskJob>, report: &impl Fn(DiskReport) -> bool) {
    while let Ok(first) = jobs.recv() {
        let mut token = first.token;
        let mut records = first.records;
        for job in jobs.try_iter().take(BATCHES_TOGETHER) {
            token = job.token;
            records.extend(job.records);
        }
        let news = match write(&mut disk, &records) {
            Ok(()) => DiskReport::Synced(token),
            Err(error) => DiskReport::Failed(format!("{error:#}").into()),
        };
        let failed = matches!(news, DiskReport::Failed(_));
        if !report(news) || failed {
            return;
        }
    }
}

/// Writes records, and waits for room where the disk is full.
fn write(disk: &mut impl Disk, records: &[Record]) -> anyhow::Result<()> {
    let mut full_since = None;
    loop {
        match disk.write(records) {
            Err(error) if is_full(&error) => {
                if full_since.is_none() {
                    log::error!(event = "disk-full"; "records wait for room: {error:#}");
                }
                full_since.get_or_insert_with(Instant::now);
                std::thread::sleep(FULL_RETRY);
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
