//! The records that a replica writes to its disk, and snapshots.

use serde::{Deserialize, Serialize};

use crate::agreement::{Entry, GroupId, Voter};
use crate::directory::Directory;
use crate::fleet::{FleetSettings, FleetState};
use crate::records::ZoneRecords;

/// One record of the journal on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The epoch of the group that this replica joined.
    #[serde(rename = "formed")]
    Bootstrapped {
        /// The group.
        group: GroupId,
        /// The epoch.
        #[serde(rename = "formation")]
        epoch: u64,
        /// The first voter set; empty if the replica joined later.
        voters: Vec<Voter>,
    },
    /// The current term, and the vote in it.
    Term {
        /// The group.
        group: GroupId,
        /// The term.
        term: u64,
        /// The candidate that got this replica's vote, if any.
        voted_for: Option<crate::HostId>,
        /// The leader of the term, if this replica has led or followed in it.
        #[serde(default)]
        leader: Option<crate::HostId>,
    },
    /// One entry of the log.
    Entry {
        /// The group.
        group: GroupId,
        /// The entry.
        entry: Entry,
    },
    /// Removes the entry at `index` and all after it.
    Truncate {
        /// The group.
        group: GroupId,
        /// The index of the first removed entry.
        index: u64,
    },
    /// The settings in force at this host; not part of a replicated log.
    InForce {
        /// The settings.
        settings: FleetSettings,
    },
    /// The state up to an index, in place of the entries up to it.
    Snapshot {
        /// The group.
        group: GroupId,
        /// The snapshot.
        snapshot: Snapshot,
    },
}

impl Record {
    /// Returns the group that the record belongs to.
    #[must_use]
    pub fn group(&self) -> GroupId {
        match self {
            Self::Bootstrapped { group, .. }
            | Self::Term { group, .. }
            | Self::Entry { group, .. }
            | Self::Truncate { group, .. }
            | Self::Snapshot { group, .. } => *group,
            Self::InForce { .. } => GroupId::Fleet,
        }
    }
}

impl Snapshot {
    /// Returns the approximate size of the state in a message, in bytes; that of a small state is
    /// left out.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match &self.state {
            GroupState::Directory(directory) => directory.job_bytes(),
            GroupState::Fleet(_) | GroupState::Zone(_) => 0,
        }
    }
}

/// The state of a group up to an index.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Snapshot {
    /// The index of the last entry applied.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The voter set at that index.
    pub voters: Vec<Voter>,
    /// The applied state.
    pub state: GroupState,
}

/// The applied state of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// The settings and the outcomes of changes.
    Fleet(FleetState),
    /// The records of a zone.
    Zone(ZoneRecords),
    /// The directory.
    Directory(Directory),
}

impl GroupState {
    /// Returns the state of a group before its first entry.
    #[must_use]
    pub fn empty(group: GroupId) -> Self {
        match group {
            GroupId::Fleet => Self::Fleet(FleetState::default()),
            GroupId::Zone => Self::Zone(ZoneRecords::default()),
            GroupId::Directory => Self::Directory(Directory::default()),
        }
    }
}
