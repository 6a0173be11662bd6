//! What a gateway is told before it starts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::key::HostId;
use crate::time::Millis;

/// What a host does in a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests; has no disk.
    Entry,
    /// Keeps the directory on its disk; takes what operators and upstreams say.
    Store,
}

/// Times that a deployment sets, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Bounds {
    /// The time between two announcements of an upstream.
    pub announce_every: Millis,
    /// How long orders of one host exclude orders of another.
    pub order_lease: Millis,
    /// How long a host may take to stop.
    pub grace: Millis,
    /// How long results of a job stay readable after its acceptance.
    pub results_kept: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            announce_every: Millis(1_200),
            order_lease: Millis(3_000),
            grace: Millis(8_000),
            results_kept: Millis(120_000),
        }
    }
}

/// The settings of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GatewaySettings {
    /// The number of this host: its IPv4 address.
    pub id: HostId,
    /// The name of this host.
    pub name: Box<str>,
    /// The availability zone of this host.
    pub zone: Box<str>,
    /// The region of each availability zone.
    pub regions: BTreeMap<Box<str>, Box<str>>,
    /// The role.
    pub role: Role,
    /// Store hosts that are known beforehand.
    pub seeds: Vec<HostId>,
    /// Whether the deployment starts for the first time, with empty disks.
    pub first_start: bool,
    /// How many hosts with disks may be lost at once.
    pub tolerated: u32,
    /// Sets this life of the host's state apart from every other.
    pub incarnation: u64,
    /// Sets this life of the process apart from every other.
    pub life: u64,
    /// The seed of all random choices.
    pub seed: u64,
    /// The most events that the time line keeps.
    pub timeline: usize,
    /// The shortest time without word from a leader before an election.
    pub election: Millis,
    /// Times that the deployment sets.
    pub bounds: Bounds,
}

impl GatewaySettings {
    /// Makes the settings of a host that knows no other.
    #[must_use]
    pub fn new(
        id: HostId,
        name: impl Into<Box<str>>,
        zone: impl Into<Box<str>>,
        role: Role,
    ) -> Self {
        Self {
            id,
            name: name.into(),
            zone: zone.into(),
            regions: BTreeMap::new(),
            role,
            seeds: Vec::new(),
            first_start: false,
            tolerated: 1,
            incarnation: 1,
            life: 1,
            seed: 0,
            timeline: 1_024,
            election: Millis(1_200),
            bounds: Bounds::default(),
        }
    }

    /// Sets the store hosts that are known beforehand; the default is none.
    #[must_use]
    pub fn seeds(mut self, seeds: impl IntoIterator<Item = HostId>) -> Self {
        self.seeds = seeds.into_iter().collect();
        self
    }

    /// Sets the region of each availability zone; the default is none.
    #[must_use]
    pub fn regions(mut self, regions: BTreeMap<Box<str>, Box<str>>) -> Self {
        self.regions = regions;
        self
    }

    /// Sets whether the deployment starts for the first time; the default is no.
    #[must_use]
    pub fn first_start(mut self, first: bool) -> Self {
        self.first_start = first;
        self
    }

    /// Sets how many hosts with disks may be lost at once; the default is 1.
    #[must_use]
    pub fn tolerated(mut self, hosts: u32) -> Self {
        self.tolerated = hosts;
        self
    }

    /// Sets the lives of the host's state and of its process; the default is 1 for both.
    #[must_use]
    pub fn lives(mut self, incarnation: u64, life: u64) -> Self {
        self.incarnation = incarnation;
        self.life = life;
        self
    }

    /// Sets the seed of random choices; the default is 0.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the shortest time before an election; the default is 1.2 s.
    #[must_use]
    pub fn election(mut self, election: Millis) -> Self {
        self.election = election;
        self
    }

    /// Sets the times of the deployment.
    #[must_use]
    pub fn bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Returns how far a zone is: 0 for this host's own, 1 in its region, 2 elsewhere.
    #[must_use]
    pub fn distance(&self, zone: &str) -> u8 {
        if *zone == *self.zone {
            return 0;
        }
        let near = self.regions.get(zone).is_some_and(|r| Some(r) == self.regions.get(&self.zone));
        if near { 1 } else { 2 }
    }

    /// Returns how many voters the directory group wants: a majority survives the tolerated losses.
    #[must_use]
    pub fn voters_wanted(&self) -> usize {
        2 * self.tolerated as usize + 1
    }
}
