//! Messages by which hosts make themselves known and tell each other of hosts and upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::LimitRecord;
use crate::checksum::checksum;
use crate::directory::RoutingConfig;
use crate::gateway::board::StatedLimit;
use crate::gateway::event::Announcement;
use crate::gateway::settings::Role;
use crate::key::HostId;
use crate::time::Millis;

/// The message that announces a host to a store host, repeated while the host is alive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Hello {
    /// The name of the sender; empty if the receiver knows it.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub name: Box<str>,
    /// The availability zone of the sender; empty if the receiver knows it.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub zone: Box<str>,
    /// The role of the sender.
    pub role: Role,
    /// The incarnation of the sender's stored state.
    pub incarnation: u64,
    /// The version of the routing configuration in force at the sender; zero without one.
    #[serde(rename = "routing")]
    pub routing_version: u64,
    /// The boot id of the receiver and the revision of its registry that the sender has.
    #[serde(rename = "seen")]
    pub known_revision: (u64, u64),
    /// Upstreams that have sent announcements to the sender itself since its last hello, by
    /// instance id, with the sequence number of the last announcement.
    #[serde(rename = "heard")]
    pub seen_upstreams: Vec<(Box<str>, u64)>,
    /// The start times of these upstreams, in the same order, since their numbers start anew with each
    /// instance; empty from a host of an earlier version.
    #[serde(default, rename = "heard_born", skip_serializing_if = "Vec::is_empty")]
    pub seen_starts: Vec<u64>,
    /// The digest of the sender's table of suspects; zero if it is empty, and from a host of an
    /// earlier version.
    #[serde(default)]
    pub suspects: u64,
    /// Upstreams that have said to the sender in an answer that they leave, by instance id, with the
    /// wall time of their start in milliseconds. A host of an earlier version ignores them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving_upstreams: Vec<(Box<str>, u64)>,
    /// The limits that upstreams have named, or lifted a short time ago, in answers to the sender. A
    /// host of an earlier version ignores them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitRecord>,
    /// Upstreams that the sender saw to be clearly slower than their peers, by instance id, with the wall
    /// time of their start in milliseconds. A host of an earlier version ignores them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slow_upstreams: Vec<(Box<str>, u64)>,
    /// What the receiver sends the sender beside replies; all from a host of an earlier version.
    #[serde(default, rename = "wants")]
    pub subscription: Subscription,
    /// The digest of the roster that the receiver sent last; zero before the first one, and from a
    /// host of an earlier version.
    #[serde(default, rename = "roster")]
    pub known_roster: u64,
}

/// What a store host sends another host without being asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subscription {
    /// Changes of upstreams, and each routing configuration, at once.
    #[default]
    Primary,
    /// Changes of upstreams at once.
    Secondary,
    /// Nothing.
    None,
}

/// The store hosts and the voters of a deployment, as one host knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Roster {
    /// The live store hosts, by availability zone; without a zone those of which no message has
    /// arrived.
    pub zones: BTreeMap<Box<str>, Vec<HostId>>,
    /// The hosts that vote in the directory group, from the log entry with an index.
    pub voters: (u64, Vec<HostId>),
}

impl Roster {
    /// Returns the digest by which a receiver tells which roster it has; never zero.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut text = format!("{:?}", self.voters);
        for (zone, hosts) in &self.zones {
            text.push_str(&format!(" {zone} {hosts:?}"));
        }
        checksum(&[&text]).max(1)
    }
}

/// The state that a store host sends to the hosts that have sent it a hello.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct View {
    /// The name of the sender; empty if the receiver knows it.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub name: Box<str>,
    /// The availability zone of the sender; empty if the receiver knows it.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub zone: Box<str>,
    /// The fencing token and leader of the directory group, as far as the sender knows.
    pub leader: Option<(u64, HostId)>,
    /// The store hosts that are live at the sender, for a receiver of an earlier version.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stores: Vec<HostId>,
    /// The roster of the sender; `None` if the receiver has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub roster: Option<Roster>,
    /// Whether the sender's replica of the directory keeps up with the leader.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub holds_directory: bool,
    /// Whether contacts of the sender leave its hellos unanswered, so that it may be cut off from a
    /// majority of the voters.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub misses_contacts: bool,
    /// Whether the sender answers [`super::GatewayMessage::Leaves`]; not so a host of an earlier version.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keeps_leaves: bool,
    /// Whether the sender relays connections to upstreams; not so a host of an earlier version.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub relays: bool,
    /// A newer routing configuration; `None` where the receiver needs none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub routing: Option<Arc<RoutingConfig>>,
    /// The boot id of the sender and the revision of its registry with these records applied.
    pub revision: (u64, u64),
    /// The revision of the sender's registry that the records follow, so that a receiver which lacks
    /// an earlier view does not count as knowing it; `None` from a host of an earlier version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// The upstreams that changed since the revision last sent.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<UpstreamRecord>,
}

impl UpstreamRecord {
    /// Returns whether the upstream leaves or has left.
    #[must_use]
    pub fn departs(&self) -> bool {
        self.gone || self.left || self.said_leaving || self.announced.leaving
    }
}

/// An upstream in the registry of a store host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamRecord {
    /// Its latest announcement.
    pub announced: Announcement,
    /// Whether the sender counts it as silent: neither the upstream nor another store host has
    /// reported it for too long.
    pub silent: bool,
    /// Whether it has left for good.
    pub gone: bool,
    /// Whether it has told a store host that it leaves. A host of an earlier version ignores this, and
    /// knows it from the announcement, which then says the same.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub left: bool,
    /// Whether it has said in an answer that it leaves. A host of an earlier version ignores this.
    #[serde(default)]
    pub said_leaving: bool,
    /// What it has said about its limit; `None` if it never named one. A host of an earlier version
    /// ignores this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<StatedLimit>,
    /// Whether hosts have reported to the sender that it is clearly slower than its peers. A host of an
    /// earlier version ignores this.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub slow: bool,
    /// How long ago its departure became known; `None` if it doesn't leave, and from a host of an earlier
    /// version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departed_ago: Option<Millis>,
}
