//! What a host is told about itself and its peers before it starts.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::key::HostId;
use crate::time::Millis;

/// The most hosts that agree on the fleet's settings.
const MOST_FLEET_VOTERS: usize = 7;

/// The most hosts that keep a zone's records.
const MOST_ZONE_VOTERS: usize = 5;

/// One host of the fleet, as written in every host's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerSpec {
    /// The number of the host, the same everywhere.
    pub id: HostId,
    /// The name of the host.
    pub name: Box<str>,
    /// The availability zone of the host.
    pub zone: Box<str>,
    /// Whether the host has a data folder.
    pub disk: bool,
    /// Where it takes HTTP, for those who read the list of hosts; the core itself calls nobody.
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
    /// Every host of the fleet, this one too.
    pub fleet: Vec<PeerSpec>,
    /// Whether records go to a disk before they count.
    pub disk: bool,
    /// Sets this life of the host's state apart from every other.
    pub incarnation: u64,
    /// The seed of all random choices.
    pub seed: u64,
    /// The most upstream calls at a time; the shell has this many threads.
    #[serde(rename = "calls")]
    pub max_calls: u32,
    /// The most events that the time line keeps.
    #[serde(rename = "timeline")]
    pub timeline_capacity: usize,
    /// The shortest time without word from a leader before an election, in milliseconds.
    #[serde(rename = "election")]
    pub election_timeout: Millis,
}

impl HostSettings {
    /// Makes the settings of a fleet of one host.
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

    /// Returns the hosts that agree on the fleet's settings: the first with a disk of each zone, an
    /// odd number of them and no more than seven, so that agreement costs the same however large
    /// the fleet is.
    #[must_use]
    pub fn fleet_members(&self) -> Vec<HostId> {
        let mut zones = BTreeSet::new();
        let mut members = Vec::new();
        for peer in self.by_number() {
            if peer.disk && members.len() < MOST_FLEET_VOTERS && zones.insert(&peer.zone) {
                members.push(peer.id);
            }
        }
        if members.len() % 2 == 0 {
            members.pop();
        }
        members
    }

    /// Returns the hosts that keep this zone's records: those with a disk before those without, no
    /// more than five.
    #[must_use]
    pub fn zone_members(&self) -> Vec<HostId> {
        let mut peers = self.by_number();
        peers.retain(|peer| peer.zone == self.zone);
        peers.sort_by_key(|peer| (!peer.disk, peer.id));
        peers.truncate(MOST_ZONE_VOTERS);
        peers.iter().map(|peer| peer.id).collect()
    }

    fn by_number(&self) -> Vec<&PeerSpec> {
        let mut peers: Vec<&PeerSpec> = self.fleet.iter().collect();
        peers.sort_by_key(|peer| peer.id);
        peers
    }

    /// Sets the hosts of the fleet and which of them this is; the default is this host alone.
    #[must_use]
    pub fn fleet(mut self, id: HostId, fleet: impl Into<Vec<PeerSpec>>) -> Self {
        self.id = id;
        self.fleet = fleet.into();
        self
    }

    /// Sets whether records go to a disk before they count; the default is no.
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

    /// Sets how many events the time line keeps; the default is 4,096.
    #[must_use]
    pub fn timeline_capacity(mut self, capacity: usize) -> Self {
        self.timeline_capacity = capacity;
        self
    }

    /// Sets the shortest time before an election; the default is one second.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Millis) -> Self {
        self.election_timeout = timeout;
        self
    }
}
