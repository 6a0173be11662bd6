//! The settings in force: defaults, exceptions, and the lookup of effective values.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::{Scope, SettingKey};

/// A value that replaces the default in a scope, and the reason for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Exception {
    /// The scope in which it applies.
    pub scope: Scope,
    /// The setting.
    pub key: SettingKey,
    /// The value.
    pub value: u64,
    /// The reason that the operator gave.
    pub reason: Box<str>,
}

/// A version of the fleet's settings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetSettings {
    /// The version, which each accepted change increases by one.
    pub version: u64,
    /// The defaults that replace built-in values.
    pub defaults: BTreeMap<SettingKey, u64>,
    /// The exceptions, in the order in which they were set.
    pub exceptions: Vec<Exception>,
}

/// The context in which a setting is looked up.
#[derive(Debug, Clone, Copy)]
pub struct SettingContext<'a> {
    /// The availability zone.
    pub zone: &'a str,
    /// The host.
    pub host: &'a str,
    /// The service, or `None` if the lookup is for no service.
    pub service: Option<&'a str>,
}

/// The value of a setting in a context, and its source.
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
    /// The reason of the exception; empty if the value comes from no exception.
    pub reason: Box<str>,
}

impl FleetSettings {
    /// Returns the value of a setting in a context.
    #[must_use]
    pub fn value(&self, key: SettingKey, context: SettingContext<'_>) -> u64 {
        if let Some(exception) = self.exception(key, context) {
            return exception.value;
        }
        self.defaults.get(&key).copied().unwrap_or_else(|| key.built_in_value())
    }

    /// Returns the value of a setting in a context, with its source.
    #[must_use]
    pub fn effective(&self, key: SettingKey, context: SettingContext<'_>) -> EffectiveSetting {
        let value = self.value(key, context);
        let exception = self.exception(key, context);
        let source = match exception {
            Some(exception) => exception.scope.to_string().into(),
            None if self.defaults.contains_key(&key) => "default".into(),
            None => "built-in".into(),
        };
        let reason = exception.map_or_else(Box::default, |exception| exception.reason.clone());
        EffectiveSetting { key, value, source, reason }
    }

    /// Returns the narrowest exception that applies: host before service before zone.
    fn exception(&self, key: SettingKey, context: SettingContext<'_>) -> Option<&Exception> {
        let mut narrowest: Option<(u8, &Exception)> = None;
        for exception in &self.exceptions {
            if exception.key != key {
                continue;
            }
            let Some(precedence) = precedence(&exception.scope, context) else { continue };
            if narrowest.is_none_or(|(other, _)| precedence > other) {
                narrowest = Some((precedence, exception));
            }
        }
        narrowest.map(|(_, exception)| exception)
    }
}

fn precedence(scope: &Scope, context: SettingContext<'_>) -> Option<u8> {
    match scope {
        Scope::Zone(name) if &**name == context.zone => Some(1),
        Scope::Service(name) if Some(&**name) == context.service => Some(2),
        Scope::Host(name) if &**name == context.host => Some(3),
        _ => None,
    }
}
