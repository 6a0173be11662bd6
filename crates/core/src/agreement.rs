//! Agreement of a group of hosts on one list of commands.
//!
//! There are two groups: the fleet group, whose members are the hosts with a disk and which agrees
//! on the settings, and one zone group in each availability zone, which keeps the records of that
//! zone's trainers and non-idempotent requests. Each runs a [`Replica`]: a leader elected by terms,
//! with a pre-vote, a lease counted on the leader's monotonic clock, and a replicated log with
//! snapshots.
//!
//! Unlike the textbook protocol a voter is a host *and the incarnation of its state*
//! ([`Voter`]). A host that lost its disk, or that has none and restarted, comes back under a new
//! incarnation. It is not in the voter set, does not vote, and is let in again through the log:
//! its old incarnation is removed, it catches up, its new incarnation is added, one at a time.

mod bootstrap;
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
mod voter;

pub use entry::{Command, Entry};
pub use log::Log;
pub use membership::MembershipPolicy;
pub use message::{GroupFrame, GroupId, GroupMessage};
pub use outbox::Outbox;
pub use record::{GroupState, Record, Snapshot};
pub use replica::{NotLeader, Replica, Role};
pub use voter::Voter;
