//! Availability zones, as this host sees them.

use serde::{Deserialize, Serialize};

use crate::key::HostKey;
use crate::message::ZoneDigest;

/// One availability zone.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Zone {
    /// Its name.
    pub name: Box<str>,
    /// Its hosts.
    pub hosts: Vec<HostKey>,
    /// The newest digest of the zone that this host has.
    pub digest: ZoneDigest,
    /// The sequence of the last digest of the host's own zone that it sent to other zones.
    pub digest_sent: u64,
}

impl Zone {
    /// Creates a zone without hosts.
    #[must_use]
    pub fn new(name: impl Into<Box<str>>) -> Self {
        let name = name.into();
        let digest = ZoneDigest { zone: name.clone(), ..Default::default() };
        Self { name, hosts: Vec::new(), digest, digest_sent: 0 }
    }

    /// Returns how many upstreams of a service accept work in the zone, by its newest digest.
    #[must_use]
    pub fn upstream_count(&self, service: &str) -> u32 {
        let found = self.digest.services.iter().find(|(name, _)| &**name == service);
        found.map_or(0, |(_, count)| *count)
    }
}
