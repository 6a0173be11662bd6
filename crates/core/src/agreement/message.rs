//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};

use crate::agreement::{Entry, Snapshot, SnapshotPart, Voter};
use crate::directory::DirectoryCommand;
use crate::time::Millis;

/// Identifies one of the groups that a host can be a member of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupId {
    /// The hosts with disks of all zones, which agree on the settings.
    Fleet,
    /// The hosts of the sender's zone, which keep that zone's records.
    Zone,
    /// The hosts with disks of a deployment whose hosts discover each other; they agree on the
    /// directory.
    Directory,
}

/// A message with its group and epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupFrame {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group: a number that grows with each bootstrap or recovery of the group.
    /// Zero until the group is bootstrapped. Frames of another epoch are dropped.
    #[serde(rename = "formation")]
    pub epoch: u64,
    /// The message.
    pub message: GroupMessage,
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupMessage {
    /// Requests membership. The sender is not a voter, and has no state or is still catching up.
    #[serde(rename = "blank")]
    JoinRequest {
        /// The sender's incarnation.
        incarnation: u64,
        /// In a closed group, the incarnations of the hosts whose join requests the sender has
        /// received lately.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        heard: Vec<Voter>,
    },
    /// Announces the first voter set of a group.
    #[serde(rename = "form")]
    Bootstrap {
        /// The voters.
        voters: Vec<Voter>,
    },
    /// Requests a vote.
    #[serde(rename = "vote")]
    RequestVote {
        /// The candidate's term, or the term it would take where `pre_vote` is set.
        term: u64,
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
        /// Whether this is a pre-vote, which asks whether a vote would be granted.
        #[serde(rename = "pre")]
        pre_vote: bool,
        /// Whether the leader has transferred its leadership to the candidate, so that voters need
        /// not wait for its lease to end.
        #[serde(rename = "handed_over")]
        leadership_transfer: bool,
    },
    /// Asks the receiver to start an election at once. The sender led the term and no longer holds
    /// a lease.
    #[serde(rename = "hand_over")]
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// Answers a `RequestVote`.
    VoteReply {
        /// The voter's term, or the requested term if a pre-vote is granted.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        #[serde(rename = "pre")]
        pre_vote: bool,
    },
    /// Replicates entries, or is a heartbeat if it carries none.
    #[serde(rename = "append")]
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// The index before the first entry.
        prev_index: u64,
        /// The term of the entry at `prev_index`.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The index up to which the leader has committed.
        #[serde(rename = "commit")]
        leader_commit: u64,
        /// The leader's monotonic clock at the time of sending.
        sent_at: Millis,
    },
    /// Replaces the state of a replica that needs entries which the leader has compacted.
    #[serde(rename = "install")]
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The snapshot to install.
        snapshot: Snapshot,
        /// The leader's monotonic clock at the time of sending.
        sent_at: Millis,
    },
    /// Carries one part of the snapshot of a directory. The snapshot replaces the state of a replica
    /// that needs entries which the leader has compacted.
    #[serde(rename = "part")]
    SnapshotPart {
        /// The leader's term.
        term: u64,
        /// The part.
        part: SnapshotPart,
        /// The leader's monotonic clock at the time of sending.
        sent_at: Millis,
    },
    /// Answers a `SnapshotPart` unless it was the last one, which an `AppendReply` answers.
    #[serde(rename = "part_reply")]
    SnapshotPartReply {
        /// The sender's term.
        term: u64,
        /// The sender's incarnation.
        incarnation: u64,
        /// The index of the snapshot.
        index: u64,
        /// The next part that the sender needs.
        next_part: u32,
        /// `sent_at` of the part that this answers.
        sent_at: Millis,
    },
    /// Answers an `AppendEntries`, an `InstallSnapshot` or the last `SnapshotPart`.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// The sender's incarnation.
        incarnation: u64,
        /// Whether the entries were consistent with the sender's log.
        accepted: bool,
        /// The last index known to match. After a rejection, the `prev_index` to try next.
        #[serde(rename = "matched")]
        match_index: u64,
        /// `sent_at` of the message that this answers; zero in the rejection of an earlier term,
        /// so that it extends no lease.
        sent_at: Millis,
    },
}

impl GroupMessage {
    /// Returns the approximate size of the entries or the state in the message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::AppendEntries { entries, .. } => entries.iter().map(Entry::bytes).sum(),
            Self::InstallSnapshot { snapshot, .. } => snapshot.bytes(),
            Self::SnapshotPart { part, .. } => {
                part.commands.iter().map(DirectoryCommand::bytes).sum()
            }
            Self::JoinRequest { .. }
            | Self::Bootstrap { .. }
            | Self::RequestVote { .. }
            | Self::TimeoutNow { .. }
            | Self::VoteReply { .. }
            | Self::SnapshotPartReply { .. }
            | Self::AppendReply { .. } => 0,
        }
    }
}
