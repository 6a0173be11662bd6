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
    /// The term of the leader that wrote it.
    pub term: u64,
    /// What is to be applied.
    pub command: Command,
}

impl Entry {
    /// Returns about how many bytes the entry takes in a message.
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

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Nothing; a new leader's first entry.
    Noop,
    /// The voter set, in force from the moment the entry is in the log.
    Voters(Vec<Voter>),
    /// A change of the fleet's settings.
    Change(Change),
    /// A change of a zone's records.
    Zone(ZoneCommand),
    /// A change of the directory.
    Directory(DirectoryCommand),
}
