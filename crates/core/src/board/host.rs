//! Hosts on the board.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::host_settings::PeerSpec;
use crate::key::{HostId, ZoneKey};
use crate::time::Millis;

/// How long a host may be silent before it is taken for down; two heartbeats may be lost.
const SILENT_AFTER: Millis = Millis(2_800);

/// One host of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Host {
    /// Its number.
    pub id: HostId,
    /// Its name.
    pub name: Box<str>,
    /// Its zone.
    pub zone: ZoneKey,
    /// Whether it has a disk.
    pub disk: bool,
    /// Where it takes HTTP.
    pub http: Box<str>,
    /// The life of its state, as it said last.
    pub incarnation: u64,
    /// The life of its process, as it said last.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// When it was last heard from directly.
    #[serde(rename = "heard")]
    pub last_seen: Option<Millis>,
    /// Whether it said that it takes work.
    pub ready: bool,
    /// The version of the settings that it said it serves under.
    #[serde(rename = "settings")]
    pub settings_version: u64,
    /// The sequence of each zone's digest that it was last sent.
    pub digests_sent: BTreeMap<ZoneKey, u64>,
    /// Whether it counted as up when this host last looked; for hosts of this zone only.
    pub was_up: bool,
}

impl Host {
    /// Makes a host that was not heard from.
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

    /// Tells whether the host was heard from lately.
    #[must_use]
    pub fn is_up(&self, now: Millis) -> bool {
        self.last_seen.is_some_and(|heard| now.since(heard) < SILENT_AFTER)
    }

    /// Tells whether the host is up and takes work.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        self.ready && self.is_up(now)
    }
}
