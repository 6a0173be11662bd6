//! The queue of the disk thread, and the size of what waits in it.

use std::sync::atomic::Ordering;

use chestnutdrift_core::agreement::Record;
use crossbeam::channel::{self, Receiver, SendError, Sender};

use super::DiskJob;
use crate::memory::HOLDERS;

/// The most batches that may wait for the disk; when the queue is full, the control thread waits.
const MAX_QUEUED_BATCHES: usize = 4_096;

/// The sending end of the queue.
#[derive(Debug, Clone)]
pub struct DiskQueue {
    tx: Sender<DiskJob>,
}

/// The receiving end of the queue.
#[derive(Debug)]
pub(super) struct QueuedJobs {
    rx: Receiver<DiskJob>,
}

/// Creates the queue.
pub(super) fn queue() -> (DiskQueue, QueuedJobs) {
    let (tx, rx) = channel::bounded(MAX_QUEUED_BATCHES);
    (DiskQueue { tx }, QueuedJobs { rx })
}

impl DiskQueue {
    /// Queues a batch; waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the batch if the disk thread has ended.
    pub fn send(&self, job: DiskJob) -> Result<(), SendError<DiskJob>> {
        let bytes = job.bytes() as u64;
        HOLDERS.disk_queue_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.tx.send(job).inspect_err(|_| {
            HOLDERS.disk_queue_bytes.fetch_sub(bytes, Ordering::Relaxed);
        })
    }
}

impl QueuedJobs {
    /// Waits for a batch; `None` once the queue is closed.
    pub(super) fn recv(&self) -> Option<DiskJob> {
        self.rx.recv().ok()
    }

    /// Returns the receiver, for a wait on several channels.
    pub(super) fn receiver(&self) -> &Receiver<DiskJob> {
        &self.rx
    }

    /// Returns the next batch if one waits.
    pub(super) fn try_recv(&self) -> Option<DiskJob> {
        self.rx.try_recv().ok()
    }

    /// Releases the bytes of batches that are written.
    pub(super) fn release(&self, bytes: usize) {
        HOLDERS.disk_queue_bytes.fetch_sub(bytes as u64, Ordering::Relaxed);
    }
}

impl DiskJob {
    /// Returns the approximate size of the records and facts, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.records.iter().map(record_bytes).sum::<usize>() + self.facts.bytes()
    }
}

/// Returns the approximate size of a record, in bytes.
fn record_bytes(record: &Record) -> usize {
    match record {
        Record::Entry { entry, .. } => entry.bytes(),
        Record::Snapshot { snapshot, .. } => snapshot.bytes(),
        Record::Bootstrapped { .. }
        | Record::Term { .. }
        | Record::Truncate { .. }
        | Record::InForce { .. } => 0,
    }
}
