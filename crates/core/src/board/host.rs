//! Hosts of the fleet, as this host sees them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::host_settings::PeerSpec;
use crate::key::{HostId, ZoneKey};
use crate::time::Millis;

/// How long a host may be silent before it counts as down; two lost heartbeats are tolerated.
const HOST_SILENCE_TIMEOUT: Millis = Millis(2_800);

/// One host of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Host {
    /// Its number.
    pub id: HostId,
    /// Its name.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether it has a disk.
    pub disk: bool,
    /// The address of its HTTP server, for people and tools that read the list of hosts.
    pub http: Box<str>,
    /// The number of its state's current life, as last reported; 0 before the first heartbeat.
    pub incarnation: u64,
    /// The number of its process's current run, as last reported; 0 before the first heartbeat.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// When a message last came directly from it, on the monotonic clock; `None` before the first.
    #[serde(rename = "heard")]
    pub last_seen: Option<Millis>,
    /// Whether it reported that it accepts work.
    pub ready: bool,
    /// The version of its active settings, as last reported.
    #[serde(rename = "settings")]
    pub settings_version: u64,
    /// The sequence number of the last digest of each zone that was sent to it.
    pub digests_sent: BTreeMap<ZoneKey, u64>,
    /// Whether it counted as up at the last check; set for hosts of this zone only.
    pub was_up: bool,
}

impl Host {
    /// Creates a host that has not sent anything yet.
    #[must_use]
    pub fn new(peer: &PeerSpec, zone: ZoneKey) -> Self {
        Self {
            id: peer.id,
            name: peer.name.clone(),
            zone,
            disk: peer.disk,
            http: peer.http.clone(),
            incarnation: 0,
            boot_id: 0,
            last_seen: None,
            ready: false,
            settings_version: 0,
            digests_sent: BTreeMap::new(),
            was_up: false,
        }
    }

    /// Returns whether a message came from the host within the silence timeout.
    #[must_use]
    pub fn is_up(&self, now: Millis) -> bool {
        self.last_seen.is_some_and(|last_seen| now.since(last_seen) < HOST_SILENCE_TIMEOUT)
    }

    /// Returns whether the host is up and accepts work.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        self.ready && self.is_up(now)
    }
}
