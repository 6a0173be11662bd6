//! What a replica wants done after one step.

use crate::agreement::{GroupMessage, Record};
use crate::key::HostId;

/// Messages and records of one step of a replica.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages that may leave at once.
    pub immediate: Vec<(HostId, GroupMessage)>,
    /// Messages that may leave only when all records so far are synced.
    pub after_sync: Vec<(HostId, GroupMessage)>,
    /// Records for the disk, in order.
    pub records: Vec<Record>,
}
