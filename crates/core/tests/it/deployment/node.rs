//! A host of a simulated deployment.

use chestnutdrift_core::agreement::Record;
use chestnutdrift_core::gateway::{Event, Fact, FactBatch, Gateway, Role};
use chestnutdrift_core::key::SyncToken;

/// A simulated host.
pub(super) struct Node {
    pub(super) name: Box<str>,
    pub(super) role: Role,
    pub(super) gateway: Option<Gateway>,
    pub(super) boot_id: u64,
    pub(super) started_at: u64,
    pub(super) incarnation: u64,
    pub(super) disk: Vec<Record>,
    pub(super) facts: Vec<Fact>,
    /// The facts that a kill loses, as they are not synced yet.
    pub(super) unsynced_facts: Vec<(SyncToken, FactBatch)>,
    pub(super) queued_events: Vec<Event>,
    pub(super) is_frozen: bool,
    pub(super) tick: u64,
}

impl Node {
    /// Writes the facts of the batches up to a token to the disk.
    pub(super) fn write_facts(&mut self, up_to: SyncToken) {
        for (token, batch) in std::mem::take(&mut self.unsynced_facts) {
            if token > up_to {
                self.unsynced_facts.push((token, batch));
                continue;
            }
            if batch.replaces {
                self.facts.clear();
            }
            self.facts.extend(batch.facts);
        }
    }
}
