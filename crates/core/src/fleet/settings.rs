//! The settings in force: defaults, exceptions, and the value that holds at one place.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::{Scope, SettingKey};

/// A value that differs from the default at some places, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Exception {
    /// Where it applies.
    pub scope: Scope,
    /// The setting.
    pub key: SettingKey,
    /// The value.
    pub value: u64,
    /// The operator's written reason.
    pub reason: Box<str>,
}

/// One version of the fleet's settings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetSettings {
    /// Grows by one with each accepted change.
    pub version: u64,
    /// The defaults that were changed from the built-in values.
    pub defaults: BTreeMap<SettingKey, u64>,
    /// The exceptions, in the order in which they were made.
    pub exceptions: Vec<Exception>,
}

/// The place for which a value is asked.
#[derive(Debug, Clone, Copy)]
pub struct SettingContext<'a> {
    /// The availability zone.
    pub zone: &'a str,
    /// The host.
    pub host: &'a str,
    /// The service, where there is one.
    pub service: Option<&'a str>,
}

/// A value in force at a place, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EffectiveSetting {
    /// The setting.
    pub key: SettingKey,
    /// The value.
    pub value: u64,
    /// `built-in`, `default`, or the scope of the exception.
    #[serde(rename = "from")]
    pub source: Box<str>,
    /// The reason of the exception, empty otherwise.
    pub reason: Box<str>,
}

impl FleetSettings {
    /// Returns the value of a setting at a place.
    #[must_use]
    pub fn value(&self, key: SettingKey, place: SettingContext<'_>) -> u64 {
        if let Some(exception) = self.exception(key, place) {
            return exception.value;
        }
        self.defaults.get(&key).copied().unwrap_or_else(|| key.built_in_value())
    }

    /// Returns the value of a setting at a place, with where it comes from.
    #[must_use]
    pub fn effective(&self, key: SettingKey, place: SettingContext<'_>) -> EffectiveSetting {
        let value = self.value(key, place);
        let exception = self.exception(key, place);
        let from = match exception {
            Some(exception) => exception.scope.to_string().into(),
            None if self.defaults.contains_key(&key) => "default".into(),
            None => "built-in".into(),
        };
        let reason = exception.map_or_else(Box::default, |exception| exception.reason.clone());
        EffectiveSetting { key, value, source: from, reason }
    }

    /// Finds the narrowest exception for a place: host before service before zone.
    fn exception(&self, key: SettingKey, place: SettingContext<'_>) -> Option<&Exception> {
        let mut best: Option<(u8, &Exception)> = None;
        for exception in &self.exceptions {
            if exception.key != key {
                continue;
            }
            let Some(rank) = rank(&exception.scope, place) else { continue };
            if best.is_none_or(|(other, _)| rank > other) {
                best = Some((rank, exception));
            }
        }
        best.map(|(_, exception)| exception)
    }
}

fn rank(scope: &Scope, place: SettingContext<'_>) -> Option<u8> {
    match scope {
        Scope::Zone(name) if &**name == place.zone => Some(1),
        Scope::Service(name) if Some(&**name) == place.service => Some(2),
        Scope::Host(name) if &**name == place.host => Some(3),
        _ => None,
    }
}
