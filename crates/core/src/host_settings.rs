//! The settings of a host and its list of peers, fixed at its start.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::key::HostId;
use crate::time::Millis;

/// The most members of the fleet group, which decides the fleet's settings.
const MAX_FLEET_VOTERS: usize = 7;

/// The most members of a zone group, which keeps the zone's records.
const MAX_ZONE_VOTERS: usize = 5;

/// One host of the fleet, listed in the settings of every host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerSpec {
    /// The number of the host, the same on every host.
    pub id: HostId,
    /// The name of the host.
    pub name: Box<str>,
    /// The availability zone of the host.
    pub zone: Box<str>,
    /// Whether the host has a data folder on a disk.
    pub disk: bool,
    /// The address of its HTTP server; the core only reports it in the list of hosts.
    pub http: Box<str>,
}

/// The settings of one core.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostSettings {
    /// The name of this host.
    pub name: Box<str>,
    /// The availability zone of this host.
    pub zone: Box<str>,
    /// The number of this host.
    pub id: HostId,
    /// Every host of the fleet, this one included.
    pub fleet: Vec<PeerSpec>,
    /// Whether records must be synced to a disk before they count as written.
    pub disk: bool,
    /// The number of this life of the host's state, unlike that of any other life.
    pub incarnation: u64,
    /// The seed of all random choices.
    pub seed: u64,
    /// The most upstream calls at a time; the process around the core has a thread for each.
    #[serde(rename = "calls")]
    pub max_calls: u32,
    /// The most events that the timeline keeps.
    #[serde(rename = "timeline")]
    pub timeline_capacity: usize,
    /// The shortest silence of a leader before an election, in milliseconds.
    #[serde(rename = "election")]
    pub election_timeout: Millis,
}

impl HostSettings {
    /// Creates the settings of a fleet of one host.
    #[must_use]
    pub fn new(name: impl Into<Box<str>>, zone: impl Into<Box<str>>) -> Self {
        let (name, zone) = (name.into(), zone.into());
        let id = HostId(1);
        let (http, disk) = (Box::default(), false);
        let me = PeerSpec { id, name: name.clone(), zone: zone.clone(), disk, http };
        Self {
            name,
            zone,
            id,
            fleet: vec![me],
            disk: false,
            incarnation: 1,
            seed: 0,
            max_calls: 256,
            timeline_capacity: 4096,
            election_timeout: Millis(1000),
        }
    }

    /// Returns the members of the fleet group: the first host with a disk of each zone.
    ///
    /// They are an odd number and at most seven, so that the cost of agreement doesn't grow with
    /// the fleet.
    #[must_use]
    pub fn fleet_members(&self) -> Vec<HostId> {
        let mut zones = BTreeSet::new();
        let mut members = Vec::new();
        for peer in self.peers_by_id() {
            if peer.disk && members.len() < MAX_FLEET_VOTERS && zones.insert(&peer.zone) {
                members.push(peer.id);
            }
        }
        if members.len() % 2 == 0 {
            members.pop();
        }
        members
    }

    /// Returns the members of this zone's group: at most five hosts, those with a disk first.
    #[must_use]
    pub fn zone_members(&self) -> Vec<HostId> {
        let mut peers = self.peers_by_id();
        peers.retain(|peer| peer.zone == self.zone);
        peers.sort_by_key(|peer| (!peer.disk, peer.id));
        peers.truncate(MAX_ZONE_VOTERS);
        peers.iter().map(|peer| peer.id).collect()
    }

    fn peers_by_id(&self) -> Vec<&PeerSpec> {
        let mut peers: Vec<&PeerSpec> = self.fleet.iter().collect();
        peers.sort_by_key(|peer| peer.id);
        peers
    }

    /// Sets this host's number and the hosts of the fleet; the default is this host alone.
    #[must_use]
    pub fn fleet(mut self, id: HostId, fleet: impl Into<Vec<PeerSpec>>) -> Self {
        self.id = id;
        self.fleet = fleet.into();
        self
    }

    /// Sets whether records must be synced to a disk before they count as written; the default is
    /// no.
    #[must_use]
    pub fn disk(mut self, disk: bool) -> Self {
        self.disk = disk;
        for peer in &mut self.fleet {
            if peer.id != self.id {
                continue;
            }
            peer.disk = disk;
        }
        self
    }

    /// Sets the number of this life of the host's state; the default is 1.
    #[must_use]
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the seed of all random choices; the default is 0.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the most upstream calls at a time; the default is 256.
    #[must_use]
    pub fn max_calls(mut self, max_calls: u32) -> Self {
        self.max_calls = max_calls;
        self
    }

    /// Sets how many events the timeline keeps; the default is 4,096.
    #[must_use]
    pub fn timeline_capacity(mut self, capacity: usize) -> Self {
        self.timeline_capacity = capacity;
        self
    }

    /// Sets the shortest silence of a leader before an election; the default is one second.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Millis) -> Self {
        self.election_timeout = timeout;
        self
    }
}
