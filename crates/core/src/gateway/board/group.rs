//! This host's replica of the directory, and the messages that wait for its disk.

use std::collections::{BTreeMap, VecDeque};

use crate::agreement::{GroupId, MembershipPolicy, Outbox, Replica, Voter};
use crate::board::HeldMessage;
use crate::directory::Directory;
use crate::gateway::board::{Origin, ProcessMemory};
use crate::gateway::settings::GatewaySettings;
use crate::key::{HostId, SyncToken};
use crate::time::Millis;

/// Silence after which a learner replaces a voter; an ordinary restart is shorter.
const VOTER_REPLACE_TIMEOUT: Millis = Millis(3_000);

/// Number of store hosts that replicate the log and stand ready to replace a voter.
const SPARE_LEARNERS: usize = 2;

/// Number of log entries between two snapshots.
const ENTRIES_PER_SNAPSHOT: u64 = 8_192;

/// The most bytes of log entries between two snapshots; some hosts wait for up to twice as many.
///
/// A snapshot rewrites the results of every job, so it must be rare. The log and the journal between
/// two snapshots hold texts of jobs that the directory has removed, so it must not be too rare.
const BYTES_PER_SNAPSHOT: usize = 12 * 1024 * 1024;

/// The most bytes of log entries that a host without a memory limit keeps for others.
const DEFAULT_MAX_LOG_BYTES: usize = 64 * 1024 * 1024;

/// Number of different sizes at which hosts take their snapshots, so that not all voters write one
/// at the same time.
const SNAPSHOT_STEPS: u32 = 4;

/// The share of the log's budget, in percent, that is written between two snapshots.
const SNAPSHOT_PERCENT: usize = 40;

/// The entries that are kept for replicas that lag behind a snapshot: one byte of so many that are
/// written between two snapshots.
const LOG_TAIL_DIVISOR: usize = 3;

/// A command that this host has proposed.
#[derive(Debug, Clone, Copy)]
pub struct PendingCommit {
    /// The term in which it was proposed.
    pub term: u64,
    /// The sender that waits for the commit, if any.
    pub origin: Option<Origin>,
    /// When it was proposed.
    pub proposed_at: Millis,
}

/// A batch of records that is not synced yet.
#[derive(Debug, Clone, Copy)]
pub struct PendingSync {
    /// The token that is reported once it is synced.
    pub token: SyncToken,
    /// The last log index that it covers.
    pub last_index: u64,
    /// The approximate size of its entries, in bytes.
    pub entry_bytes: u64,
}

/// The directory group, as a store host takes part in it.
#[derive(Debug)]
pub struct DirectoryGroup {
    /// The replica of the replicated log.
    pub replica: Replica,
    /// Records to write and messages to send for the replica.
    pub outbox: Outbox,
    /// The state of the directory, with every committed entry applied.
    pub directory: Directory,
    /// The commands that this host proposed and that are not committed yet, by log index.
    pub pending_commits: BTreeMap<u64, PendingCommit>,
    /// Whether this host held the leader's lease at the last check.
    pub was_leader: bool,
    /// The voters at the last check.
    pub known_voters: Vec<Voter>,
    /// Batches of records that are not synced yet.
    pub pending_syncs: VecDeque<PendingSync>,
    /// Whether the entries of the last append were refused because too many bytes wait for the disk.
    pub refuses_entries: bool,
    /// Messages that may be sent only after a batch is synced.
    pub held_messages: VecDeque<HeldMessage>,
    /// The token of the last batch.
    pub last_token: SyncToken,
    /// When the leader next checks for jobs that can be removed from the directory.
    pub next_job_cleanup: Millis,
}

/// Returns the least bytes of log entries between two snapshots of a host with a memory limit.
fn bytes_per_snapshot(memory_limit: Option<u64>) -> usize {
    let Some(budget) = ProcessMemory::new(memory_limit).log_budget() else {
        return BYTES_PER_SNAPSHOT;
    };
    let budget = usize::try_from(budget).unwrap_or(usize::MAX);
    BYTES_PER_SNAPSHOT.min(budget / 100 * SNAPSHOT_PERCENT)
}

/// Returns the most bytes of log entries that a host keeps for others that still need them.
fn max_log_bytes(memory_limit: Option<u64>) -> usize {
    let budget = ProcessMemory::new(memory_limit).log_budget();
    budget.map_or(DEFAULT_MAX_LOG_BYTES, |budget| usize::try_from(budget).unwrap_or(usize::MAX))
}

/// Returns `bytes`, or up to twice as many, by the id of a host.
fn spread(bytes: usize, host: HostId) -> usize {
    // The multiplier spreads ids that differ in any of their bits.
    let step = host.0.wrapping_mul(0x9e37_79b9).rotate_left(2) % SNAPSHOT_STEPS;
    bytes + bytes * step as usize / SNAPSHOT_STEPS as usize
}

impl DirectoryGroup {
    /// Creates the group with an empty replica.
    #[must_use]
    pub fn new(cfg: &GatewaySettings) -> Self {
        let voter = Voter::new(cfg.id, cfg.incarnation);
        let membership = MembershipPolicy {
            target_voters: cfg.target_voters(),
            spare_learners: SPARE_LEARNERS,
            replace_after: VOTER_REPLACE_TIMEOUT,
            may_bootstrap: cfg.first_start,
        };
        let bytes_per_snapshot = bytes_per_snapshot(cfg.memory_limit);
        let replica =
            Replica::new(GroupId::Directory, voter, cfg.seeds.clone(), true, cfg.election_timeout)
                .with_membership_policy(membership)
                .snapshot_interval(ENTRIES_PER_SNAPSHOT)
                .snapshot_bytes(spread(bytes_per_snapshot, cfg.id))
                .log_tail_bytes(bytes_per_snapshot / LOG_TAIL_DIVISOR)
                .max_log_bytes(max_log_bytes(cfg.memory_limit));
        Self {
            replica,
            outbox: Outbox::default(),
            directory: Directory::default(),
            pending_commits: BTreeMap::new(),
            was_leader: false,
            known_voters: Vec::new(),
            pending_syncs: VecDeque::new(),
            refuses_entries: false,
            held_messages: VecDeque::new(),
            last_token: SyncToken(0),
            next_job_cleanup: Millis(0),
        }
    }
}

impl DirectoryGroup {
    /// Returns the approximate size of the entries that wait for the disk, in bytes.
    ///
    /// A snapshot is left out: there is one at most, and it shares its texts with the directory.
    #[must_use]
    pub fn unsynced_bytes(&self) -> u64 {
        self.pending_syncs.iter().map(|batch| batch.entry_bytes).sum()
    }

    /// Returns the hosts that vote in the group.
    #[must_use]
    pub fn voter_hosts(&self) -> Vec<HostId> {
        self.replica.voters().iter().map(|voter| voter.host).collect()
    }
}
