//! What controllers want written to a log, and what came of it.

use serde::{Deserialize, Serialize};

use crate::agreement::{Command, GroupId};
use crate::error::Problem;
use crate::fleet::ChangeOutcome;
use crate::key::RequestKey;
use crate::records::ZoneOutcome;

/// A command that a controller wants written to the log of a group that this host leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Proposal {
    /// The group.
    pub group: GroupId,
    /// The command.
    pub command: Command,
    /// What it is for.
    pub purpose: Purpose,
}

/// What a command is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// To answer a request.
    Request(RequestKey),
    /// To record something that nobody waits for.
    Record,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// It was applied to the zone's records.
    Zone(ZoneOutcome),
    /// It was applied to the settings.
    Changed(ChangeOutcome),
    /// It was not written, because this host does not lead the group.
    NotWritten(Problem),
    /// Another entry took its place.
    Replaced,
}

/// A command of this host whose fate is known.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandResult {
    /// What it was for.
    pub purpose: Purpose,
    /// Its index in the log, or zero where it was not written.
    pub index: u64,
    /// Its fate.
    pub outcome: CommandOutcome,
}
