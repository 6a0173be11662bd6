//! The other hosts of the deployment.

use crate::gateway::settings::Role;
use crate::key::HostId;
use crate::time::Millis;

/// Silence after which a host no longer counts as live; it is longer than three hello intervals and
/// than one election.
pub const HOST_SILENCE_TIMEOUT: Millis = Millis(3_500);

/// Another host, as this one sees it.
#[derive(Debug, Clone)]
pub struct Host {
    /// The host id.
    pub id: HostId,
    /// The name; empty until its first hello or view has arrived.
    pub name: Box<str>,
    /// The availability zone; empty until its first hello or view has arrived.
    pub zone: Box<str>,
    /// The role.
    pub role: Role,
    /// When its last message arrived; `None` before the first.
    pub last_seen: Option<Millis>,
    /// The incarnation of its stored state; zero until its first hello has arrived.
    pub incarnation: u64,
    /// When the next hello to it is due.
    pub next_hello: Millis,
    /// Its boot id and the revision of its registry that this host has.
    pub known_revision: (u64, u64),
    /// The revision of this host's registry that it has acknowledged.
    pub acknowledged_revision: u64,
    /// The revision of this host's registry up to which records have been sent to it.
    pub sent_revision: u64,
    /// The routing version in force there, from its last hello.
    pub routing_version: u64,
    /// The routing version last sent to it, and when.
    pub routing_sent: (u64, Millis),
    /// Whether it was live at the last check.
    pub was_live: bool,
}

impl Host {
    /// Creates a host of which no message has arrived.
    #[must_use]
    pub fn new(id: HostId, role: Role) -> Self {
        Self {
            id,
            name: Box::default(),
            zone: Box::default(),
            role,
            last_seen: None,
            incarnation: 0,
            next_hello: Millis(0),
            known_revision: (0, 0),
            acknowledged_revision: 0,
            sent_revision: 0,
            routing_version: 0,
            routing_sent: (0, Millis(0)),
            was_live: false,
        }
    }

    /// Returns whether the host's last message is recent enough for it to count as live.
    #[must_use]
    pub fn is_live(&self, now: Millis) -> bool {
        self.last_seen.is_some_and(|at| now.since(at) < HOST_SILENCE_TIMEOUT)
    }
}
