//! Where an announcement of an upstream came from.

use crate::key::HostId;
use crate::time::Millis;

/// The source of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementSource {
    /// The upstream itself.
    Upstream,
    /// The registry of another store host.
    Registry {
        /// The store host.
        host: HostId,
        /// Whether that host counts the upstream as silent.
        silent: bool,
        /// Whether the upstream has left for good.
        gone: bool,
        /// Whether the upstream has told a store host that it leaves.
        left: bool,
        /// Whether the upstream has said in an answer that it leaves.
        said_leaving: bool,
        /// The wall time at which its departure became known; `None` if it doesn't leave, and from a
        /// host of an earlier version.
        departed_at: Option<Millis>,
    },
}

impl AnnouncementSource {
    /// Returns the host that passed the announcement on; `None` if it came from the upstream.
    #[must_use]
    pub fn host(self) -> Option<HostId> {
        match self {
            Self::Upstream => None,
            Self::Registry { host, .. } => Some(host),
        }
    }

    /// Returns the wall time at which the departure of the upstream became known to another host.
    #[must_use]
    pub fn departed_at(self) -> Option<Millis> {
        match self {
            Self::Upstream => None,
            Self::Registry { departed_at, .. } => departed_at,
        }
    }
}
