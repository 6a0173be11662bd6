//! Another host of the deployment.

use crate::gateway::settings::Role;
use crate::key::HostId;
use crate::time::Millis;

/// How long after its last message a host counts as silent: three hellos, and one election.
pub const HOST_SILENCE_TIMEOUT: Millis = Millis(3_500);

/// Another host, as this one knows it.
#[derive(Debug, Clone)]
pub struct Host {
    /// The number.
    pub id: HostId,
    /// The name, empty until it has been heard from.
    pub name: Box<str>,
    /// The availability zone, empty until it has been heard from.
    pub zone: Box<str>,
    /// The role.
    pub role: Role,
    /// When it was last heard from.
    pub last_seen: Option<Millis>,
    /// The life of its state.
    pub incarnation: u64,
    /// When the next hello to it is due.
    pub next_hello: Millis,
    /// The process and revision of its registry that this host has.
    pub known_revision: (u64, u64),
    /// The revision of this host's registry that it has confirmed.
    pub acknowledged_revision: u64,
    /// The revision of this host's registry up to which records have been sent.
    pub sent_revision: u64,
    /// The routing version that it serves under.
    pub routing_version: u64,
    /// The routing version that was last sent to it, and when.
    pub routing_sent: (u64, Millis),
    /// Whether it counted as live when this host last looked.
    pub was_live: bool,
}

impl Host {
    /// Makes a host that has not been heard from.
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

    /// Tells whether the host was heard from lately.
    #[must_use]
    pub fn is_live(&self, now: Millis) -> bool {
        self.last_seen.is_some_and(|heard| now.since(heard) < HOST_SILENCE_TIMEOUT)
    }
}
