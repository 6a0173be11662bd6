//! When the controllers have something to do that no event announces.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// The next time of each recurring piece of work, on the monotonic clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Schedule {
    /// Looking at who is up and what the zone has.
    pub membership: Millis,
    /// Heartbeats to the hosts of this zone.
    #[serde(rename = "near_heartbeat")]
    pub zone_heartbeat: Millis,
    /// Heartbeats to the other zones.
    #[serde(rename = "far_heartbeat")]
    pub remote_heartbeat: Millis,
    /// Asking another host for newer settings.
    pub settings_pull: Millis,
    /// Asking the fleet group's leader whether the settings are the newest.
    pub settings_confirm: Millis,
    /// Looking for silent upstreams and sharing out their slots.
    pub registry: Millis,
    /// Looking after assigned samples.
    pub assignment: Millis,
    /// Handing over the ends of non-idempotent requests again.
    pub conclusions: Millis,
    /// Looking for upstreams that run an old version.
    pub weights: Millis,
}
