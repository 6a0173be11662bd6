//! The facts that this host has to write to its disk, and how far they are written.

use std::collections::BTreeSet;

use crate::gateway::facts::FactBatch;
use crate::key::{SyncToken, UpstreamKey};

/// The position of a change among all changes of facts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FactPosition(u64);

/// The facts of this host on their way to the disk.
///
/// One batch at a time is written. What changes meanwhile is gathered by upstream, so that a disk that
/// stalls holds up one batch and one key for each upstream at most.
#[derive(Debug, Default)]
pub struct FactLog {
    outbox: FactBatch,
    changed: BTreeSet<UpstreamKey>,
    last: FactPosition,
    /// The batch that is being written, and the last change in it.
    in_flight: Option<(Option<SyncToken>, FactPosition)>,
    synced: FactPosition,
}

impl FactLog {
    /// Records that the facts on an upstream have changed.
    pub fn mark_changed(&mut self, upstream: UpstreamKey) {
        self.last.0 += 1;
        self.changed.insert(upstream);
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

    /// Returns the upstreams whose facts have to be written now; `None` while a batch is being written.
    ///
    /// [`FactLog::send`] follows.
    pub fn take_changed(&mut self) -> Option<BTreeSet<UpstreamKey>> {
        if self.in_flight.is_some() || self.changed.is_empty() {
            return None;
        }
        self.in_flight = Some((None, self.last));
        Some(std::mem::take(&mut self.changed))
    }

    /// Hands over the facts on the upstreams that were taken last; there may be none.
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
