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
pub struct DeploymentTimes {
    /// The time between two announcements of an upstream.
    #[serde(rename = "announce_every")]
    pub announce_interval: Millis,
    /// How long orders of one host exclude orders of another.
    pub order_lease: Millis,
    /// How long a host may take to stop.
    #[serde(rename = "grace")]
    pub stop_timeout: Millis,
    /// How long results of a job stay readable after its acceptance.
    #[serde(rename = "results_kept")]
    pub results_retention: Millis,
}

impl Default for DeploymentTimes {
    fn default() -> Self {
        Self {
            announce_interval: Millis(1_200),
            order_lease: Millis(3_000),
            stop_timeout: Millis(8_000),
            results_retention: Millis(120_000),
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
    #[serde(rename = "tolerated")]
    pub tolerated_losses: u32,
    /// Sets this life of the host's state apart from every other.
    pub incarnation: u64,
    /// Sets this life of the process apart from every other.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// The seed of all random choices.
    pub seed: u64,
    /// The most events that the time line keeps.
    #[serde(rename = "timeline")]
    pub timeline_capacity: usize,
    /// The shortest time without word from a leader before an election.
    #[serde(rename = "election")]
    pub election_timeout: Millis,
    /// Times that the deployment sets.
    #[serde(rename = "bounds")]
    pub times: DeploymentTimes,
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
            tolerated_losses: 1,
            incarnation: 1,
            boot_id: 1,
            seed: 0,
            timeline_capacity: 1_024,
            election_timeout: Millis(1_200),
            times: DeploymentTimes::default(),
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
    pub fn tolerated_losses(mut self, hosts: u32) -> Self {
        self.tolerated_losses = hosts;
        self
    }

    /// Sets the lives of the host's state and of its process; the default is 1 for both.
    #[must_use]
    pub fn instance_ids(mut self, incarnation: u64, boot_id: u64) -> Self {
        self.incarnation = incarnation;
        self.boot_id = boot_id;
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
    pub fn election_timeout(mut self, election_timeout: Millis) -> Self {
        self.election_timeout = election_timeout;
        self
    }

    /// Sets the times of the deployment.
    #[must_use]
    pub fn times(mut self, times: DeploymentTimes) -> Self {
        self.times = times;
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
        2 * self.tolerated_losses as usize + 1
    }
}
