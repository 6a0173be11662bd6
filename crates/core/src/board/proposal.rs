//! Commands that controllers propose for a replicated log, and their outcomes.

use serde::{Deserialize, Serialize};

use crate::agreement::{Command, GroupId};
use crate::error::Problem;
use crate::fleet::ChangeOutcome;
use crate::key::RequestKey;
use crate::records::ZoneOutcome;

/// A command that a controller proposes for the log of a group that this host leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Proposal {
    /// The group.
    pub group: GroupId,
    /// The command.
    pub command: Command,
    /// Who needs its result.
    pub purpose: Purpose,
}

/// Who needs the result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// The request to answer.
    Request(RequestKey),
    /// Nobody; the command only records something.
    Record,
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// It was applied to the zone's records.
    Zone(ZoneOutcome),
    /// It was applied to the settings.
    Changed(ChangeOutcome),
    /// It was not appended, because this host does not lead the group.
    NotWritten(Problem),
    /// Another entry was committed at its index.
    Replaced,
}

/// The result of a command of this host.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandResult {
    /// Who needs the result.
    pub purpose: Purpose,
    /// Its index in the log; 0 if it was not appended.
    pub index: u64,
    /// Its outcome.
    pub outcome: CommandOutcome,
}
