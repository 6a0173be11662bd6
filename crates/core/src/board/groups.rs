//! The replicas of this host, their applied state, and what waits for a sync to disk.

use std::collections::{BTreeMap, VecDeque};

use crate::agreement::{GroupId, Outbox, Record, Replica, Voter};
use crate::board::{CommandResult, Proposal, Purpose};
use crate::fleet::FleetState;
use crate::host_settings::HostSettings;
use crate::key::{HostId, SyncToken};
use crate::message::Message;
use crate::records::{ZoneOutcome, ZoneRecords};

/// A replica with the commands that this host proposed.
#[derive(Debug)]
pub struct GroupReplica {
    /// The replica.
    pub replica: Replica,
    /// The term and purpose of each uncommitted command that this host proposed, by index in the
    /// log.
    pub pending_commits: BTreeMap<u64, (u64, Purpose)>,
    /// The messages and records that the replica has produced.
    pub outbox: Outbox,
    /// Whether this host led the group at the last check.
    pub was_leader: bool,
}

/// A message that must not leave before a batch of records is synced.
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

/// The groups that this host is a member of.
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
    /// Commands that controllers propose for a log.
    pub proposals: Vec<Proposal>,
    /// The results of this host's commands.
    pub results: Vec<CommandResult>,
    /// Results of commands that were rejected after the controllers had read this round's results.
    pub rejected: Vec<CommandResult>,
    /// What was applied to the zone's records in this round, whichever host proposed it.
    pub applied: Vec<ZoneOutcome>,
    /// Records to write to the disk.
    pub pending_records: Vec<Record>,
    /// The token of the latest batch.
    pub last_token: SyncToken,
    /// Batches being written, oldest first.
    pub pending_syncs: VecDeque<SyncBatch>,
    /// Messages that wait for a batch, oldest first.
    pub held_messages: VecDeque<HeldMessage>,
    /// The members of the fleet group, which decides the fleet's settings.
    pub fleet_members: Vec<HostId>,
    /// The fencing token and leader of the zone group, as reported by other hosts.
    pub zone_leader: Option<(u64, HostId)>,
    /// The fencing token and leader of the fleet group, as reported by other hosts.
    pub fleet_leader: Option<(u64, HostId)>,
}

impl Groups {
    /// Creates the replicas of the groups that the host's settings make it a member of.
    #[must_use]
    pub fn new(cfg: &HostSettings) -> Self {
        let fleet_members = cfg.fleet_members();
        let is_member = fleet_members.contains(&cfg.id);
        let fleet = fleet_members.clone();
        Self {
            fleet: is_member.then(|| GroupReplica::new(cfg, GroupId::Fleet, fleet)),
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

    /// Returns the replica of a group to change it; `None` if this host has none.
    pub fn group_mut(&mut self, group: GroupId) -> Option<&mut GroupReplica> {
        match group {
            GroupId::Fleet => self.fleet.as_mut(),
            GroupId::Zone => Some(&mut self.zone),
            GroupId::Directory => None,
        }
    }

    /// Steps down as leader of every group.
    pub fn resign(&mut self) {
        self.zone.replica.resign();
        if let Some(group) = &mut self.fleet {
            group.replica.resign();
        }
    }

    /// Returns the replica of a group; `None` if this host has none.
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
    /// Returns the leader known to the replica, with the fencing token of its term.
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
