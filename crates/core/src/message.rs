//! Messages between hosts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::agreement::GroupFrame;
use crate::fleet::FleetSettings;
use crate::gateway::GatewayMessage;
use crate::key::HostId;
use crate::records::{IntentKey, Outcome, Output, SampleId};
use crate::timeline::Stamp;

/// A message with its sender and the sender's stamp.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Envelope {
    /// The host that sent it.
    pub from: HostId,
    /// The sender's stamp, so that what it causes is stamped later.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The sender is alive; with what the receiver should know of it and of the zones.
    Heartbeat(Heartbeat),
    /// The sender's settings are older; it asks for the newer ones.
    SettingsPull {
        /// The sender's version.
        have: u64,
    },
    /// Settings in force.
    SettingsPush {
        /// The settings.
        settings: FleetSettings,
        /// Whether the sender leads the fleet group, so that nothing newer has been accepted.
        confirmed: bool,
    },
    /// A message between replicas.
    Group(GroupFrame),
    /// The zone's leader gives the receiver a sample to generate.
    Assign(SampleJob),
    /// The owner of a non-idempotent request reports how it ended, to the zone's leader.
    Conclude {
        /// The request's key.
        key: IntentKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// The receiver of a job reports what came of it.
    Generated(SampleResult),
    /// A message between hosts that find each other.
    Gateway(Box<GatewayMessage>),
}

/// One host's view, as it goes out with each heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Heartbeat {
    /// The life of the sender's state.
    pub incarnation: u64,
    /// The life of the sender's process.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// Whether the sender takes new work.
    pub ready: bool,
    /// The version of the settings that the sender serves under.
    #[serde(rename = "settings")]
    pub settings_version: u64,
    /// The fencing number and leader of the fleet group, as far as the sender knows.
    pub fleet_leader: Option<(u64, HostId)>,
    /// The fencing number and leader of the sender's zone group, as far as the sender knows.
    pub zone_leader: Option<(u64, HostId)>,
    /// What the sender knows of the zones.
    pub digests: Vec<ZoneDigest>,
}

/// A summary of one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneDigest {
    /// The zone's name.
    pub zone: Box<str>,
    /// Grows with each new summary; an older one never replaces a newer one.
    pub sequence: u64,
    /// The hosts of the zone that take work.
    pub hosts: Vec<HostId>,
    /// The leader of the zone group and its term.
    pub leader: Option<(u64, HostId)>,
    /// For each service the number of upstreams that take work.
    pub services: Vec<(Box<str>, u32)>,
    /// The weight version wanted for each service whose trainers are at home in the zone.
    pub wanted: Vec<(Box<str>, u64)>,
}

/// A sample that a host is to generate for the leader of its zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SampleJob {
    /// The sample.
    pub sample: SampleId,
    /// How often the sample was sent back to be generated anew.
    pub round: u32,
    /// The service.
    pub service: Box<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The most tokens.
    pub max_tokens: u32,
}

/// What came of a [`SampleJob`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SampleResult {
    /// The sample.
    pub sample: SampleId,
    /// The round of the job.
    pub round: u32,
    /// The output, or why there is none.
    pub output: Result<Arc<Output>, Box<str>>,
}
