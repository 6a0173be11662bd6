//! Entries of the replicated log.

use serde::{Deserialize, Serialize};

use crate::agreement::Voter;
use crate::directory::DirectoryCommand;
use crate::fleet::Change;
use crate::records::ZoneCommand;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// The position in the log, from 1.
    pub index: u64,
    /// The term of the leader that appended it.
    pub term: u64,
    /// The command to apply.
    pub command: Command,
}

impl Entry {
    /// Returns the approximate size of the entry in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 64;
        OVERHEAD
            + match &self.command {
                Command::Directory(command) => command.bytes(),
                Command::Noop | Command::Voters(_) | Command::Change(_) | Command::Zone(_) => 0,
            }
    }
}

/// The command of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// No change. Each new leader appends it first, so that an entry of its own term can commit.
    Noop,
    /// A voter set. It takes effect as soon as the entry is in the log, before it is committed.
    Voters(Vec<Voter>),
    /// A change of the fleet's settings.
    Change(Change),
    /// A change of a zone's records.
    Zone(ZoneCommand),
    /// A change of the directory.
    Directory(DirectoryCommand),
}
