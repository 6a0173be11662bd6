//! Consensus: a log of commands that a group of hosts replicates.
//!
//! There are three kinds of groups ([`GroupId`]). The fleet group consists of the hosts with a disk
//! and agrees on the settings. Each availability zone has a zone group, which keeps the records of
//! that zone's trainers and non-idempotent requests. The directory group keeps the directory of a
//! deployment whose hosts discover each other.
//!
//! Each member runs a [`Replica`]. The protocol is Raft: a leader elected by terms, with a
//! pre-vote, a leader lease on the leader's monotonic clock, and a replicated log with snapshots.
//!
//! It differs from Raft in that a voter is a host *and the incarnation of its state* ([`Voter`]).
//! A host that lost its disk, or that has none and restarted, returns with a new incarnation. The
//! new incarnation is not in the voter set and does not vote. It joins again through the log, one
//! change at a time: the old incarnation is removed, the host catches up, and the new incarnation
//! is added.

mod bootstrap;
mod compaction;
mod election;
mod entry;
mod inbox;
mod log;
mod membership;
mod message;
mod outbox;
mod record;
mod replica;
mod replication;
mod send_window;
mod snapshot_transfer;
mod voter;

pub use entry::{Command, Entry};
pub use log::Log;
pub use membership::MembershipPolicy;
pub use message::{GroupFrame, GroupId, GroupMessage};
pub use outbox::Outbox;
pub use record::{GroupState, Record, Snapshot};
pub use replica::{NotLeader, Replica, Role};
pub use snapshot_transfer::SnapshotPart;
pub use voter::Voter;
