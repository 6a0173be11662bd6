//! The output of a replica.

use crate::agreement::{GroupMessage, Record};
use crate::key::HostId;

/// Messages to send and records to write after a replica has handled an event.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages that may be sent at once.
    pub immediate: Vec<(HostId, GroupMessage)>,
    /// Messages that may be sent only when all records so far are synced.
    pub after_sync: Vec<(HostId, GroupMessage)>,
    /// Records to write to the disk, in this order.
    pub records: Vec<Record>,
}
