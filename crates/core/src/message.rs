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
    /// The sender's stamp; the receiver stamps its own events after it.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Returns the approximate size of the message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 256;
        OVERHEAD
            + match &self.message {
                Message::Group(frame) => frame.message.bytes(),
                Message::Gateway(message) => message.bytes(),
                Message::Assign(job) => job.prompt.len(),
                Message::Generated(result) => {
                    result.output.as_ref().map_or(0, |output| output.text.len())
                }
                Message::Heartbeat(_)
                | Message::SettingsPull { .. }
                | Message::SettingsPush { .. }
                | Message::Conclude { .. } => 0,
            }
    }
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The sender is alive; carries its state and the digests of the zones.
    Heartbeat(Heartbeat),
    /// The sender requests settings newer than its own.
    SettingsPull {
        /// The version of the sender's settings.
        have: u64,
    },
    /// The sender's settings in force.
    SettingsPush {
        /// The settings.
        settings: FleetSettings,
        /// Whether the sender leads the fleet group, so that no newer settings have been accepted.
        confirmed: bool,
    },
    /// A message between replicas.
    Group(GroupFrame),
    /// The zone's leader assigns a sample to the receiver.
    Assign(SampleJob),
    /// The owner of a non-idempotent request reports its outcome to the zone's leader.
    Conclude {
        /// The request's key.
        key: IntentKey,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The host that was assigned a sample reports the result to the leader.
    Generated(SampleResult),
    /// A message between hosts that discover each other.
    Gateway(Box<GatewayMessage>),
}

/// The state of one host, and its view of the fleet, as sent with each heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Heartbeat {
    /// The number of the current life of the sender's state.
    pub incarnation: u64,
    /// The number of the current run of the sender's process.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// Whether the sender accepts new work.
    pub ready: bool,
    /// The version of the sender's active settings.
    #[serde(rename = "settings")]
    pub settings_version: u64,
    /// The fencing token and leader of the fleet group, as far as the sender has them.
    pub fleet_leader: Option<(u64, HostId)>,
    /// The fencing token and leader of the sender's zone group, as far as the sender has them.
    pub zone_leader: Option<(u64, HostId)>,
    /// The sender's digests of the zones; not every heartbeat carries all of them.
    pub digests: Vec<ZoneDigest>,
    /// The sequence of the last digest of its zone that the sender sent to other zones.
    #[serde(default)]
    pub digest_sent: u64,
}

/// A summary of one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneDigest {
    /// The zone's name.
    pub zone: Box<str>,
    /// Grows with each new digest; an older digest never replaces a newer one.
    pub sequence: u64,
    /// The hosts of the zone that accept work.
    pub hosts: Vec<HostId>,
    /// The fencing token and leader of the zone group.
    pub leader: Option<(u64, HostId)>,
    /// The number of upstreams that accept work, for each service.
    pub services: Vec<(Box<str>, u32)>,
    /// The target weight version of each service whose trainers have the zone as their home.
    pub wanted: Vec<(Box<str>, u64)>,
}

/// A sample that the leader of a zone assigns to one of its hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SampleJob {
    /// The sample.
    pub sample: SampleId,
    /// How often the sample was reset to be generated again.
    pub round: u32,
    /// The service.
    pub service: Box<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The most tokens to generate.
    pub max_tokens: u32,
}

/// The result of a [`SampleJob`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SampleResult {
    /// The sample.
    pub sample: SampleId,
    /// The round of the job.
    pub round: u32,
    /// The output, or the reason why there is none.
    pub output: Result<Arc<Output>, Box<str>>,
}
