//! The closed list of settings that operators change while the fleet runs.

use serde::{Deserialize, Serialize};

/// One setting of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettingKey {
    /// The most interactive requests that wait at a host for one service.
    InteractiveQueue,
    /// The most rollout requests that wait at a host for one service.
    RolloutQueue,
    /// The share of dispatches that rollout work gets while interactive work waits.
    RolloutSharePercent,
    /// The share of a host's slots that rollout work leaves free while interactive work comes in.
    InteractiveReservePercent,
    /// The most requests in flight to one upstream, from all hosts of its zone together.
    UpstreamSlots,
    /// The deadline of a request that brings none, in milliseconds.
    DeadlineMs,
    /// The most attempts for one request.
    Attempts,
    /// Retries as a share of first attempts.
    RetryPercent,
    /// How long an upstream may be silent before it gets no new work, in milliseconds.
    SilenceMs,
    /// The most versions that a sample may lie behind its trainer when it is delivered.
    Staleness,
    /// The most upstreams of a service and zone that load a version at a time.
    LoadsAtOnce,
    /// How long a weight load may take before it is ordered again, in milliseconds.
    LoadTimeoutMs,
}

/// The name, default, least and greatest value of each setting.
const TABLE: [(SettingKey, &str, u64, u64, u64); 12] = [
    (SettingKey::InteractiveQueue, "interactive_queue", 512, 1, 100_000),
    (SettingKey::RolloutQueue, "rollout_queue", 256, 1, 100_000),
    (SettingKey::RolloutSharePercent, "rollout_share_percent", 20, 0, 100),
    (SettingKey::InteractiveReservePercent, "interactive_reserve_percent", 10, 0, 90),
    (SettingKey::UpstreamSlots, "upstream_slots", 16, 1, 4_096),
    (SettingKey::DeadlineMs, "deadline_ms", 60_000, 10, 3_600_000),
    (SettingKey::Attempts, "attempts", 3, 1, 10),
    (SettingKey::RetryPercent, "retry_percent", 20, 0, 100),
    (SettingKey::SilenceMs, "silence_ms", 1_500, 100, 60_000),
    (SettingKey::Staleness, "staleness", 2, 0, 1_000),
    (SettingKey::LoadsAtOnce, "loads_at_once", 2, 1, 1_000),
    (SettingKey::LoadTimeoutMs, "load_timeout_ms", 30_000, 100, 600_000),
];

impl SettingKey {
    /// Returns every setting, in the order of the table.
    pub fn all() -> impl Iterator<Item = Self> {
        TABLE.iter().map(|row| row.0)
    }

    /// Looks a setting up by its name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        TABLE.iter().find(|row| row.1 == name).map(|row| row.0)
    }

    /// Returns the name as operators write it.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.row().1
    }

    /// Returns the value that holds where nothing else is said.
    #[must_use]
    pub fn built_in_value(self) -> u64 {
        self.row().2
    }

    /// Returns the least and the greatest value allowed.
    #[must_use]
    pub fn range(self) -> (u64, u64) {
        let row = self.row();
        (row.3, row.4)
    }

    fn row(self) -> &'static (SettingKey, &'static str, u64, u64, u64) {
        TABLE.iter().find(|row| row.0 == self).unwrap_or(&TABLE[0])
    }
}

/// What an exception applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All hosts of one availability zone.
    Zone(Box<str>),
    /// One host.
    Host(Box<str>),
    /// One service, on all hosts.
    Service(Box<str>),
}

impl Scope {
    /// Reads a scope as operators write it: `zone:NAME`, `host:NAME` or `service:NAME`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once(':')?;
        if name.is_empty() {
            return None;
        }
        match kind {
            "zone" => Some(Self::Zone(name.into())),
            "host" => Some(Self::Host(name.into())),
            "service" => Some(Self::Service(name.into())),
            _ => None,
        }
    }
}

impl std::fmt::Display for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Zone(name) => write!(f, "zone:{name}"),
            Self::Host(name) => write!(f, "host:{name}"),
            Self::Service(name) => write!(f, "service:{name}"),
        }
    }
}
