//! The settings of a gateway.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::provider::ProviderSettings;
use crate::key::HostId;
use crate::time::Millis;

/// The role of a host in a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests and has no disk.
    Entry,
    /// Replicates the directory on its disk and takes operators' requests and upstreams'
    /// announcements.
    Store,
}

/// The intervals and time limits that a deployment sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DeploymentTimes {
    /// Interval between two announcements of an upstream.
    #[serde(rename = "announce_every")]
    pub announce_interval: Millis,
    /// How long the orders of one host exclude orders of another: a new leader that takes over
    /// ordering waits at least this long before its first order.
    pub order_lease: Millis,
    /// How long a host may take to stop.
    #[serde(rename = "grace")]
    pub stop_timeout: Millis,
    /// How long the results of a job stay readable after the job was accepted.
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

/// How a host handles the keys of workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WorkspaceSettings {
    /// Whether requests that need a key are refused while no store host has been heard from for
    /// longer than `revocation`.
    pub fail_closed: bool,
    /// The time within which a revoked key is to be refused.
    pub revocation: Millis,
}

impl Default for WorkspaceSettings {
    fn default() -> Self {
        Self { fail_closed: false, revocation: Millis(5_000) }
    }
}

/// The settings of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GatewaySettings {
    /// The id of this host, which is its IPv4 address.
    pub id: HostId,
    /// The name of this host.
    pub name: Box<str>,
    /// The availability zone of this host.
    pub zone: Box<str>,
    /// The region of each availability zone.
    pub regions: BTreeMap<Box<str>, Box<str>>,
    /// The role of this host.
    pub role: Role,
    /// The store hosts that this host contacts first, to discover the others.
    pub seeds: Vec<HostId>,
    /// Whether the deployment starts for the first time, with empty disks, so that this host may
    /// form the directory group.
    pub first_start: bool,
    /// Number of store hosts that may be lost at once.
    #[serde(rename = "tolerated")]
    pub tolerated_losses: u32,
    /// Identifies the stored state of this host; a host without its former disk gets a new one.
    pub incarnation: u64,
    /// Identifies this process among those of the host; a restart gets a new one.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// The seed of random choices, combined with the name and the boot id.
    pub seed: u64,
    /// Maximum number of events on the timeline.
    #[serde(rename = "timeline")]
    pub timeline_capacity: usize,
    /// Minimum time without a message from a leader before an election.
    #[serde(rename = "election")]
    pub election_timeout: Millis,
    /// The intervals and time limits of the deployment.
    #[serde(rename = "bounds")]
    pub times: DeploymentTimes,
    /// The resident memory that the process must stay below, in bytes; `None` if it is not limited.
    #[serde(default)]
    pub memory_limit: Option<u64>,
    /// The interface of the infrastructure provider; `None` if the deployment has none.
    #[serde(default)]
    pub provider: Option<ProviderSettings>,
    /// How this host handles the keys of workspaces.
    #[serde(default)]
    pub workspaces: WorkspaceSettings,
    /// Whether the capacity of upstreams is learned; otherwise it is the announced slots.
    #[serde(default)]
    pub learned_capacity: bool,
}

impl GatewaySettings {
    /// Creates the settings of a host without seeds.
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
            memory_limit: None,
            provider: None,
            workspaces: WorkspaceSettings::default(),
            learned_capacity: false,
        }
    }

    /// Sets the seeds; the default is none.
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

    /// Sets the number of store hosts that may be lost at once; the default is 1.
    #[must_use]
    pub fn tolerated_losses(mut self, hosts: u32) -> Self {
        self.tolerated_losses = hosts;
        self
    }

    /// Sets the incarnation and the boot id; the default is 1 for both.
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

    /// Sets the minimum time before an election; the default is 1.2 s.
    #[must_use]
    pub fn election_timeout(mut self, election_timeout: Millis) -> Self {
        self.election_timeout = election_timeout;
        self
    }

    /// Sets the times of the deployment; the default is that of [`DeploymentTimes`].
    #[must_use]
    pub fn times(mut self, times: DeploymentTimes) -> Self {
        self.times = times;
        self
    }

    /// Sets the resident memory that the process must stay below, in bytes; the default is no limit.
    #[must_use]
    pub fn memory_limit(mut self, bytes: impl Into<Option<u64>>) -> Self {
        self.memory_limit = bytes.into();
        self
    }

    /// Sets the interface of the infrastructure provider; the default is none.
    #[must_use]
    pub fn provider(mut self, provider: impl Into<Option<ProviderSettings>>) -> Self {
        self.provider = provider.into();
        self
    }

    /// Sets how the host handles the keys of workspaces; the default is that of
    /// [`WorkspaceSettings`].
    #[must_use]
    pub fn workspaces(mut self, workspaces: WorkspaceSettings) -> Self {
        self.workspaces = workspaces;
        self
    }

    /// Returns whether usage is counted and reported.
    #[must_use]
    pub fn reports_usage(&self) -> bool {
        self.provider.as_ref().is_some_and(|provider| provider.usage_window.is_some())
    }

    /// Sets whether the capacity of upstreams is learned; the default is no.
    #[must_use]
    pub fn learned_capacity(mut self, learned: bool) -> Self {
        self.learned_capacity = learned;
        self
    }

    /// Returns the distance of a zone: 0 for this host's own, 1 for another in its region, 2
    /// elsewhere.
    #[must_use]
    pub fn distance(&self, zone: &str) -> u8 {
        if *zone == *self.zone {
            return 0;
        }
        let is_same_region = self
            .regions
            .get(zone)
            .is_some_and(|region| Some(region) == self.regions.get(&self.zone));
        if is_same_region { 1 } else { 2 }
    }

    /// Returns the target number of voters of the directory group.
    ///
    /// A majority of them survives the tolerated losses.
    #[must_use]
    pub fn target_voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }
}
