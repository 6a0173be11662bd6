//! The settings that this host applies.

use serde::{Deserialize, Serialize};

use crate::fleet::FleetSettings;
use crate::key::HostId;
use crate::time::Millis;

/// The settings that this host applies, and updates to them that it has received.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ActiveSettings {
    /// The settings.
    pub settings: FleetSettings,
    /// When they came into force, in wall time.
    pub since: Millis,
    /// Received settings, applied if they are newer.
    pub offered: Option<FleetSettings>,
    /// A host that reported newer settings, and their version.
    pub newer: Option<(HostId, u64)>,
    /// Whether a new version must still be announced to other hosts.
    #[serde(rename = "tell")]
    pub push_pending: bool,
    /// Whether the fleet group's leader has confirmed, since this process started, that no newer
    /// settings were accepted.
    pub confirmed: bool,
}

impl ActiveSettings {
    /// Offers received settings; only the newest offer is kept.
    pub fn offer(&mut self, settings: FleetSettings) {
        if self.offered.as_ref().is_some_and(|other| other.version >= settings.version) {
            return;
        }
        self.offered = Some(settings);
    }
}
