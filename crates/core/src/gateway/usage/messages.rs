//! Messages about usage between entry hosts, store hosts and the leader of the directory group.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Starts of requests at upstreams, from an entry host to the leader of the directory group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UsageStarts {
    /// The fencing token of the leader that they are meant for.
    pub fence: u64,
    /// The boot id of the sender; the numbers of its records start anew with each.
    pub boot_id: u64,
    /// The number of the message, which the acknowledgement repeats.
    pub number: u64,
    /// The number of the first record; those after it follow without a gap.
    pub first_seq: u64,
    /// The names of the workspaces that the records refer to.
    pub workspaces: Vec<Box<str>>,
    /// The records: the position of the workspace's name, the time since the starts in milliseconds, and
    /// the number of starts.
    pub records: Vec<(u32, u32, u32)>,
}

/// The reply to [`UsageStarts`] from the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UsageAck {
    /// The fencing token of the leader.
    pub fence: u64,
    /// The boot id in the message that it replies to; an earlier process numbered its records otherwise.
    pub boot_id: u64,
    /// The number of the message that it replies to.
    pub number: u64,
    /// The number of the next record that the leader lacks.
    pub next_seq: u64,
}

/// A message of a store host about its clock: the leader's question, or the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClockReading {
    /// The number of the question.
    pub number: u64,
    /// The time on the wall clock of the host that replies; `None` in the question.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wall: Option<Millis>,
}
