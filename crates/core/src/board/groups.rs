//! The replicas on the board, their applied state, and what waits for the disk.

use std::collections::{BTreeMap, VecDeque};

use crate::agreement::{GroupId, Outbox, Record, Replica, Voter};
use crate::board::{CommandResult, Proposal, Purpose};
use crate::fleet::FleetState;
use crate::host_settings::HostSettings;
use crate::key::{HostId, SyncToken};
use crate::message::Message;
use crate::records::{ZoneOutcome, ZoneRecords};

/// A replica with the purposes of the commands that this host wrote.
#[derive(Debug)]
pub struct GroupReplica {
    /// The replica.
    pub replica: Replica,
    /// For each index of this host's own commands the term and the purpose.
    pub pending_commits: BTreeMap<u64, (u64, Purpose)>,
    /// What the replica wants done.
    pub outbox: Outbox,
    /// Whether this host led the group when it last looked.
    pub was_leader: bool,
}

/// A message that may leave only when a batch of records is synced.
#[derive(Debug, Clone)]
pub struct HeldMessage {
    /// The batch.
    pub token: SyncToken,
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub message: Message,
}

/// A batch of records on its way to the disk.
#[derive(Debug, Clone, Copy)]
pub struct SyncBatch {
    /// The token.
    pub token: SyncToken,
    /// The last index of the fleet group's log when the batch left.
    pub fleet: u64,
    /// The last index of the zone group's log when the batch left.
    pub zone: u64,
}

/// The groups that a host takes part in.
#[derive(Debug)]
pub struct Groups {
    /// The fleet group, on hosts with a disk.
    pub fleet: Option<GroupReplica>,
    /// The zone group.
    pub zone: GroupReplica,
    /// The applied state of the fleet group.
    pub fleet_state: FleetState,
    /// The applied state of the zone group.
    pub records: ZoneRecords,
    /// Commands that controllers want written.
    pub proposals: Vec<Proposal>,
    /// Commands of this host whose fate is known.
    pub results: Vec<CommandResult>,
    /// Commands that were refused after this round's results were read.
    pub rejected: Vec<CommandResult>,
    /// What was applied to the zone's records in this round, by whichever host it was written.
    pub applied: Vec<ZoneOutcome>,
    /// Records that are to be written.
    pub pending_records: Vec<Record>,
    /// The last token given out.
    pub last_token: SyncToken,
    /// Batches on their way.
    pub pending_syncs: VecDeque<SyncBatch>,
    /// Messages that wait for a batch.
    pub held_messages: VecDeque<HeldMessage>,
    /// The hosts that agree on the fleet's settings.
    pub fleet_members: Vec<HostId>,
    /// The fencing number and leader of the zone group, as far as this host has heard from others.
    pub zone_leader: Option<(u64, HostId)>,
    /// The fencing number and leader of the fleet group, as far as this host has heard.
    pub fleet_leader: Option<(u64, HostId)>,
}

impl Groups {
    /// Makes the replicas that a host's settings name.
    #[must_use]
    pub fn new(cfg: &HostSettings) -> Self {
        let fleet_members = cfg.fleet_members();
        let agrees = fleet_members.contains(&cfg.id);
        let fleet = fleet_members.clone();
        Self {
            fleet: agrees.then(|| GroupReplica::new(cfg, GroupId::Fleet, fleet)),
            zone: GroupReplica::new(cfg, GroupId::Zone, cfg.zone_members()),
            fleet_members,
            zone_leader: None,
            fleet_state: FleetState::default(),
            records: ZoneRecords::default(),
            proposals: Vec::new(),
            results: Vec::new(),
            rejected: Vec::new(),
            applied: Vec::new(),
            pending_records: Vec::new(),
            last_token: SyncToken(0),
            pending_syncs: VecDeque::new(),
            held_messages: VecDeque::new(),
            fleet_leader: None,
        }
    }

    /// Returns the replica of a group, where this host has one.
    pub fn group_mut(&mut self, group: GroupId) -> Option<&mut GroupReplica> {
        match group {
            GroupId::Fleet => self.fleet.as_mut(),
            GroupId::Zone => Some(&mut self.zone),
            GroupId::Directory => None,
        }
    }

    /// Gives up the lead of every group.
    pub fn resign(&mut self) {
        self.zone.replica.resign();
        if let Some(group) = &mut self.fleet {
            group.replica.resign();
        }
    }

    /// Returns the replica of a group, where this host has one.
    #[must_use]
    pub fn group(&self, group: GroupId) -> Option<&GroupReplica> {
        match group {
            GroupId::Fleet => self.fleet.as_ref(),
            GroupId::Zone => Some(&self.zone),
            GroupId::Directory => None,
        }
    }
}

impl GroupReplica {
    /// Returns the leader that the replica knows, with the fencing number of its term.
    #[must_use]
    pub fn known_leader(&self) -> Option<(u64, HostId)> {
        self.replica.leader().map(|leader| (self.replica.fencing_token(), leader))
    }

    fn new(cfg: &HostSettings, group: GroupId, members: Vec<HostId>) -> Self {
        let me = Voter::new(cfg.id, cfg.incarnation);
        let disks = cfg.fleet.iter().filter(|peer| peer.disk && members.contains(&peer.id));
        let on_disk: Vec<HostId> = disks.map(|peer| peer.id).collect();
        Self {
            replica: Replica::new(group, me, members, cfg.disk, cfg.election_timeout)
                .durable_members(on_disk),
            pending_commits: BTreeMap::new(),
            outbox: Outbox::default(),
            was_leader: false,
        }
    }
}
