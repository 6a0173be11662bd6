//! What a replica writes to its disk, and the snapshot.

use serde::{Deserialize, Serialize};

use crate::agreement::{Entry, GroupId, Voter};
use crate::directory::Directory;
use crate::fleet::{FleetSettings, FleetState};
use crate::records::ZoneRecords;

/// One record of the log on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The group that this replica belongs to.
    #[serde(rename = "formed")]
    Bootstrapped {
        /// The group.
        group: GroupId,
        /// The formation number.
        #[serde(rename = "formation")]
        epoch: u64,
        /// The first voter set, empty where the replica joined later.
        voters: Vec<Voter>,
    },
    /// The term, and the candidate that got the vote in it.
    Term {
        /// The group.
        group: GroupId,
        /// The term.
        term: u64,
        /// The candidate voted for.
        voted_for: Option<crate::HostId>,
        /// The leader of the term, where this replica has led it or followed it.
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
    /// The entries from `index` on are void.
    Truncate {
        /// The group.
        group: GroupId,
        /// The first void index.
        index: u64,
    },
    /// The settings that this host serves under; not a part of any log.
    InForce {
        /// The settings.
        settings: FleetSettings,
    },
    /// Everything up to an index, in place of the entries.
    Snapshot {
        /// The group.
        group: GroupId,
        /// The state.
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
    /// The settings and what was decided about changes.
    Fleet(FleetState),
    /// The records of a zone.
    Zone(ZoneRecords),
    /// The directory.
    Directory(Directory),
}
