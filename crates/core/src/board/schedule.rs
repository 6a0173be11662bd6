//! When the controllers' recurring work is due.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// The next time of each recurring piece of work, on the monotonic clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Schedule {
    /// Checking which hosts are up, and summarizing the zone.
    pub membership: Millis,
    /// Heartbeats to the hosts of this zone.
    #[serde(rename = "near_heartbeat")]
    pub zone_heartbeat: Millis,
    /// Heartbeats to the other zones.
    #[serde(rename = "far_heartbeat")]
    pub remote_heartbeat: Millis,
    /// Requesting newer settings from another host.
    pub settings_pull: Millis,
    /// Asking the fleet group's leader to confirm that the settings are the newest.
    pub settings_confirm: Millis,
    /// Checking for silent upstreams, and dividing upstream slots among the hosts.
    pub registry: Millis,
    /// Checking the samples assigned to hosts.
    pub assignment: Millis,
    /// Resending the outcomes of non-idempotent requests.
    pub conclusions: Millis,
    /// Checking for upstreams that run an old weight version.
    pub weights: Millis,
}
