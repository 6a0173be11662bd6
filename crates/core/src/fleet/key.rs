//! The closed list of settings that operators can change while the fleet runs.

use serde::{Deserialize, Serialize};

/// A setting of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettingKey {
    /// The maximum number of interactive requests that wait at a host for one service.
    InteractiveQueue,
    /// The maximum number of rollout requests that wait at a host for one service.
    RolloutQueue,
    /// The share of dispatches that go to rollout requests while interactive requests wait, in
    /// percent.
    RolloutSharePercent,
    /// The share of a host's slots that rollout requests leave free while interactive requests
    /// arrive, in percent.
    InteractiveReservePercent,
    /// The maximum number of requests in flight to one upstream, from all hosts of its zone
    /// together.
    UpstreamSlots,
    /// The deadline of a request that states none, in milliseconds.
    DeadlineMs,
    /// The maximum number of attempts for one request.
    Attempts,
    /// The maximum number of retries relative to first attempts, in percent.
    RetryPercent,
    /// How long an upstream may be silent before it gets no new requests, in milliseconds.
    SilenceMs,
    /// The maximum number of versions that a sample may lie behind its trainer when it is delivered.
    Staleness,
    /// The maximum number of upstreams of a service and zone that load weights at the same time.
    LoadsAtOnce,
    /// How long a weight load may take before it is ordered again, in milliseconds.
    LoadTimeoutMs,
}

/// The name, built-in value, minimum and maximum of each setting.
const SETTINGS: [(SettingKey, &str, u64, u64, u64); 12] = [
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
    /// Returns all settings, in the order of declaration.
    pub fn all() -> impl Iterator<Item = Self> {
        SETTINGS.iter().map(|setting| setting.0)
    }

    /// Returns the setting with a name, or `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        SETTINGS.iter().find(|setting| setting.1 == name).map(|setting| setting.0)
    }

    /// Returns the name that operators use.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.setting().1
    }

    /// Returns the value that applies without a default or exception.
    #[must_use]
    pub fn built_in_value(self) -> u64 {
        self.setting().2
    }

    /// Returns the minimum and maximum allowed value.
    #[must_use]
    pub fn range(self) -> (u64, u64) {
        let setting = self.setting();
        (setting.3, setting.4)
    }

    fn setting(self) -> &'static (SettingKey, &'static str, u64, u64, u64) {
        SETTINGS.iter().find(|setting| setting.0 == self).unwrap_or(&SETTINGS[0])
    }
}

/// The scope of an exception.
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
    /// Parses a scope: `zone:NAME`, `host:NAME` or `service:NAME`.
    ///
    /// Returns `None` if the kind is unknown or the name is empty.
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
