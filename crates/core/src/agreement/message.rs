//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};

use crate::agreement::{Entry, Snapshot, Voter};
use crate::time::Millis;

/// Names a group among those that a host takes part in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupId {
    /// The hosts with disks of all zones; they agree on the settings.
    Fleet,
    /// The hosts of the sender's zone; they keep that zone's records.
    Zone,
    /// The hosts with disks of a deployment whose hosts find each other; they agree on the directory.
    Directory,
}

/// A message with the group and the formation that it belongs to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupFrame {
    /// The group.
    pub group: GroupId,
    /// The number of the group's first voter set; frames of another formation are dropped.
    #[serde(rename = "formation")]
    pub epoch: u64,
    /// The message.
    pub message: GroupMessage,
}

/// What one replica tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupMessage {
    /// The sender has no state and is not a voter.
    #[serde(rename = "blank")]
    JoinRequest {
        /// The sender's incarnation.
        incarnation: u64,
    },
    /// The first voter set of a group.
    #[serde(rename = "form")]
    Bootstrap {
        /// Every voter.
        voters: Vec<Voter>,
    },
    /// Asks for a vote.
    #[serde(rename = "vote")]
    RequestVote {
        /// The candidate's term, or the term it would take where `pre_vote` is set.
        term: u64,
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
        /// Whether this only asks if a vote would be given.
        #[serde(rename = "pre")]
        pre_vote: bool,
        /// Whether the leader has handed over to the candidate, so that nobody need wait for it.
        #[serde(rename = "handed_over")]
        leadership_transfer: bool,
    },
    /// The leader stops and holds no lease any more; the receiver is to stand at once.
    #[serde(rename = "hand_over")]
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// Answers a `RequestVote`.
    VoteReply {
        /// The voter's term, or the term asked about where a pre-vote is granted.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
        /// Whether a pre-vote is answered.
        #[serde(rename = "pre")]
        pre_vote: bool,
    },
    /// Entries, or a heartbeat without any.
    #[serde(rename = "append")]
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// The index before the first entry sent.
        prev_index: u64,
        /// The term at that index.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The index up to which the leader has committed.
        #[serde(rename = "commit")]
        leader_commit: u64,
        /// The leader's monotonic clock when it sent this.
        sent_at: Millis,
    },
    /// The whole state, for a replica that lags behind the leader's log.
    #[serde(rename = "install")]
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The state.
        snapshot: Snapshot,
        /// The leader's monotonic clock when it sent this.
        sent_at: Millis,
    },
    /// Answers an `AppendEntries` or `InstallSnapshot`.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// The sender's incarnation.
        incarnation: u64,
        /// Whether the entries fitted the sender's log.
        accepted: bool,
        /// The last index known to match; after a refusal, where to try next.
        #[serde(rename = "matched")]
        match_index: u64,
        /// The leader's clock from the message that this answers.
        sent_at: Millis,
    },
}
