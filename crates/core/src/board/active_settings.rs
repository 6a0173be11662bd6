//! The settings that this host serves under.

use serde::{Deserialize, Serialize};

use crate::fleet::FleetSettings;
use crate::key::HostId;
use crate::time::Millis;

/// The settings in force, and since when.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ActiveSettings {
    /// The settings.
    pub settings: FleetSettings,
    /// Since when, in wall time.
    pub since: Millis,
    /// Settings that came in and are to be taken where they are newer.
    pub offered: Option<FleetSettings>,
    /// A host that serves under newer settings, and their version.
    pub newer: Option<(HostId, u64)>,
    /// Whether other hosts are still to be told of a new version.
    #[serde(rename = "tell")]
    pub push_pending: bool,
    /// Whether the fleet group's leader has said that nothing newer was accepted when this process
    /// had started.
    pub confirmed: bool,
}

impl ActiveSettings {
    /// Offers settings, of which the newest are taken.
    pub fn offer(&mut self, settings: FleetSettings) {
        if self.offered.as_ref().is_some_and(|other| other.version >= settings.version) {
            return;
        }
        self.offered = Some(settings);
    }
}
