//! This host's replica of the directory, and what waits for its disk.

use std::collections::{BTreeMap, VecDeque};

use crate::agreement::{GroupId, MembershipPolicy, Outbox, Replica, Voter};
use crate::board::HeldMessage;
use crate::directory::Directory;
use crate::gateway::board::Origin;
use crate::gateway::settings::GatewaySettings;
use crate::key::{HostId, SyncToken};
use crate::time::Millis;

/// How long a voter may be silent before a learner takes its place: longer than an ordinary restart.
const REPLACE_AFTER: Millis = Millis(3_000);

/// Entries that the log keeps behind its snapshot; a snapshot rewrites the results of every job, so
/// it is rare: at 20 entries a second every seven minutes.
const ENTRIES_PER_SNAPSHOT: u64 = 8_192;

/// The directory group on a store host.
#[derive(Debug)]
pub struct DirectoryGroup {
    /// The replica.
    pub replica: Replica,
    /// What it wants done.
    pub outbox: Outbox,
    /// The applied state.
    pub directory: Directory,
    /// For each index of this host's own commands the term and who waits.
    pub pending_commits: BTreeMap<u64, (u64, Option<Origin>)>,
    /// Whether this host held the lease when it last looked.
    pub was_leader: bool,
    /// The voters when this host last looked.
    pub known_voters: Vec<Voter>,
    /// Batches of records on their way to the disk, with the last index that each covers.
    pub pending_syncs: VecDeque<(SyncToken, u64)>,
    /// Messages that wait for a batch.
    pub held_messages: VecDeque<HeldMessage>,
    /// The last token given out.
    pub last_token: SyncToken,
    /// When the leader next looks for jobs that can be forgotten.
    pub next_job_cleanup: Millis,
}

impl DirectoryGroup {
    /// Makes a replica without any state.
    #[must_use]
    pub fn new(cfg: &GatewaySettings) -> Self {
        let me = Voter::new(cfg.id, cfg.incarnation);
        let plan = MembershipPolicy {
            target_voters: cfg.voters_wanted(),
            replace_after: REPLACE_AFTER,
            may_bootstrap: cfg.first_start,
        };
        let replica =
            Replica::new(GroupId::Directory, me, cfg.seeds.clone(), true, cfg.election_timeout)
                .with_membership_policy(plan)
                .snapshot_interval(ENTRIES_PER_SNAPSHOT);
        Self {
            replica,
            outbox: Outbox::default(),
            directory: Directory::default(),
            pending_commits: BTreeMap::new(),
            was_leader: false,
            known_voters: Vec::new(),
            pending_syncs: VecDeque::new(),
            held_messages: VecDeque::new(),
            last_token: SyncToken(0),
            next_job_cleanup: Millis(0),
        }
    }
}

impl DirectoryGroup {
    /// Returns the hosts that vote.
    #[must_use]
    pub fn voter_hosts(&self) -> Vec<HostId> {
        self.replica.voters().iter().map(|voter| voter.host).collect()
    }
}
