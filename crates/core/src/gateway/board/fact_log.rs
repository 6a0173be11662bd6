//! The facts that this host has to write to its disk, and how far they are written.

use std::collections::{BTreeSet, VecDeque};

use super::StreamRecord;
use crate::gateway::facts::FactBatch;
use crate::key::{SyncToken, UpstreamKey};

/// The most streams that wait for the disk; beyond it, the oldest are not written.
const MAX_WAITING_STREAMS: usize = 4_096;

/// The position of a change among all changes of facts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FactPosition(u64);

/// What has changed and is not being written yet.
#[derive(Debug, Default)]
pub struct Changes {
    /// The upstreams of which facts have changed.
    pub upstreams: BTreeSet<UpstreamKey>,
    /// The streams that became known.
    pub streams: VecDeque<StreamRecord>,
}

/// The facts of this host on their way to the disk.
///
/// One batch at a time is written. What changes meanwhile is gathered, so that a disk that stalls holds up
/// one batch, one key for each upstream, and a bounded number of streams.
#[derive(Debug, Default)]
pub struct FactLog {
    outbox: FactBatch,
    changed: Changes,
    last: FactPosition,
    /// The batch that is being written, and the last change in it.
    in_flight: Option<(Option<SyncToken>, FactPosition)>,
    synced: FactPosition,
}

impl FactLog {
    /// Records that the facts on an upstream have changed.
    pub fn mark_upstream(&mut self, upstream: UpstreamKey) {
        self.last.0 += 1;
        self.changed.upstreams.insert(upstream);
    }

    /// Records that a stream became known.
    pub fn mark_stream(&mut self, stream: StreamRecord) {
        self.last.0 += 1;
        if self.changed.streams.len() >= MAX_WAITING_STREAMS {
            self.changed.streams.pop_front();
        }
        self.changed.streams.push_back(stream);
    }

    /// Returns the position of the last change.
    #[must_use]
    pub fn position(&self) -> FactPosition {
        self.last
    }

    /// Returns whether all changes up to a position are on the disk.
    #[must_use]
    pub fn is_synced(&self, position: FactPosition) -> bool {
        self.synced >= position
    }

    /// Returns what has to be written now; `None` while a batch is being written, and where nothing has
    /// changed.
    ///
    /// [`FactLog::send`] follows.
    pub fn take_changed(&mut self) -> Option<Changes> {
        let Changes { upstreams, streams } = &self.changed;
        if self.in_flight.is_some() || (upstreams.is_empty() && streams.is_empty()) {
            return None;
        }
        self.in_flight = Some((None, self.last));
        Some(std::mem::take(&mut self.changed))
    }

    /// Hands over the facts on what was taken last; there may be none.
    pub fn send(&mut self, batch: FactBatch) {
        if !batch.is_empty() {
            self.outbox = batch;
            return;
        }
        if let Some((None, position)) = self.in_flight {
            self.synced = position;
            self.in_flight = None;
        }
    }

    /// Returns whether a batch is to be handed to the disk.
    #[must_use]
    pub fn has_batch(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Returns the batch to be handed to the disk; `token` is reported once it is synced.
    pub fn take_batch(&mut self, token: SyncToken) -> FactBatch {
        let batch = std::mem::take(&mut self.outbox);
        if let Some((in_flight, _)) = &mut self.in_flight
            && !batch.is_empty()
        {
            *in_flight = Some(token);
        }
        batch
    }

    /// Records that all batches up to a token are synced.
    pub fn mark_synced(&mut self, token: SyncToken) {
        let Some((Some(in_flight), position)) = self.in_flight else { return };
        if in_flight <= token {
            self.synced = position;
            self.in_flight = None;
        }
    }
}
