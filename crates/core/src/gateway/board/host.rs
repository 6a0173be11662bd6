//! The other hosts of the deployment.

use crate::gateway::message::{Subscription, View};
use crate::gateway::settings::Role;
use crate::key::HostId;
use crate::time::Millis;

/// Silence after which a host no longer counts as live; it is longer than three hello intervals and
/// than one election.
pub const HOST_SILENCE_TIMEOUT: Millis = Millis(3_500);

/// Silence after which a store host no longer counts as live with which this one exchanges hellos at
/// the slow interval only: longer than two of them.
const DISTANT_SILENCE_TIMEOUT: Millis = Millis(25_000);

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
    /// When a live contact last reported it as live; `None` before the first time.
    pub reported_at: Option<Millis>,
    /// Since when it is a contact of this host; `None` if it is not.
    pub contact_since: Option<Millis>,
    /// Until when it is no contact while others are live.
    pub avoided_until: Millis,
    /// What this host asks it to send without being asked.
    pub subscribes_as: Subscription,
    /// What its last hello asked this host to send without being asked, and when that came; `None`
    /// before the first hello.
    pub subscription: Option<(Subscription, Millis)>,
    /// The store hosts that it last reported as live, and the digest of that roster.
    pub reported_stores: (u64, Vec<HostId>),
    /// The boot id of the process of that host to which a hello with this host's name was sent.
    pub introduced_to: u64,
    /// The digest of this host's roster that it has; zero if it has none.
    pub known_roster: u64,
    /// Whether contacts of that host leave its hellos unanswered.
    pub misses_contacts: bool,
    /// Whether it answers messages on upstreams that leave.
    pub keeps_leaves: bool,
    /// Whether it relays connections to upstreams.
    pub relays: bool,
    /// Whether its replica of the directory keeps up with the leader.
    pub holds_directory: bool,
    /// When the last hello to it was sent.
    pub last_hello_sent: Millis,
    /// When the next hello to it is due.
    pub next_hello: Millis,
    /// The boot id of that host, and the revision of its registry that this host has applied.
    pub known_revision: (u64, u64),
    /// The revision of this host's registry that it has acknowledged.
    pub acknowledged_revision: u64,
    /// The revision of this host's registry up to which records have been sent to it.
    pub sent_revision: u64,
    /// The routing version in force there, from its last hello.
    pub routing_version: u64,
    /// The routing version last sent to it, and the time of sending.
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
            reported_at: None,
            contact_since: None,
            avoided_until: Millis(0),
            subscribes_as: Subscription::None,
            subscription: None,
            reported_stores: (0, Vec::new()),
            introduced_to: 0,
            known_roster: 0,
            misses_contacts: false,
            keeps_leaves: false,
            relays: false,
            holds_directory: false,
            last_hello_sent: Millis(0),
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
        // Store hosts that are no contacts of each other say hello at the slow interval.
        let is_distant = self.contact_since.is_none()
            && self
                .subscription
                .is_some_and(|(subscription, _)| subscription == Subscription::None);
        let timeout = if is_distant { DISTANT_SILENCE_TIMEOUT } else { HOST_SILENCE_TIMEOUT };
        self.last_seen.is_some_and(|at| now.since(at) < timeout)
    }

    /// Returns whether the host is live, or a live contact reports it as live.
    #[must_use]
    pub fn is_reachable(&self, now: Millis) -> bool {
        self.is_live(now) || self.reported_at.is_some_and(|at| now.since(at) < HOST_SILENCE_TIMEOUT)
    }

    /// Returns whether this host knows all upstream records of that host once it has applied a view.
    ///
    /// Otherwise an earlier view was lost, and the next hello asks for the records again.
    #[must_use]
    pub fn follows_known_revision(&self, view: &View) -> bool {
        let (boot_id, known) = self.known_revision;
        match view.since {
            None | Some(0) => true,
            Some(since) => boot_id == view.revision.0 && since <= known && known <= view.revision.1,
        }
    }

    /// Returns what the host is sent without being asked.
    #[must_use]
    pub fn active_subscription(&self, now: Millis) -> Subscription {
        match self.subscription {
            Some((subscription, at)) if now.since(at) < HOST_SILENCE_TIMEOUT => subscription,
            _ => Subscription::None,
        }
    }
}
