//! What operators say and read. The reports themselves are the core's own types.

use chestnutdrift_core::event::OrderTask;
use chestnutdrift_core::fleet::{Change, ChangeOutcome, Edit, Scope, SettingKey};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/operator/changes`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// The operator's name for the change.
    pub id: Box<str>,
    /// The version that the operator saw.
    #[serde(rename = "base")]
    pub base_version: u64,
    /// Who proposes it.
    #[serde(rename = "by")]
    pub author: Box<str>,
    /// The edits.
    pub edits: Vec<EditBody>,
}

/// One edit: of a default, or of an exception where a scope is given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditBody {
    /// The name of the setting.
    pub key: Box<str>,
    /// The value; none takes the default or exception back.
    pub value: Option<u64>,
    /// `zone:NAME`, `host:NAME` or `service:NAME`, for an exception.
    #[serde(default)]
    pub scope: Option<Box<str>>,
    /// The written reason of an exception.
    #[serde(default)]
    pub reason: Box<str>,
}

impl ChangeBody {
    /// Reads the change.
    ///
    /// # Errors
    ///
    /// Returns what is wrong and what would be right.
    pub fn into_change(self) -> Result<Change, Box<str>> {
        let mut edits = Vec::new();
        for edit in self.edits {
            edits.push(edit.into_edit()?);
        }
        Ok(Change { id: self.id, base_version: self.base_version, author: self.author, edits })
    }
}

impl EditBody {
    fn into_edit(self) -> Result<Edit, Box<str>> {
        let Some(key) = SettingKey::from_name(&self.key) else {
            let names: Vec<&str> = SettingKey::all().map(SettingKey::name).collect();
            let all = names.join(", ");
            return Err(format!("no setting is named {}; there are {all}", self.key).into());
        };
        let Some(scope) = self.scope else {
            return Ok(Edit::Default { key, value: self.value });
        };
        let Some(scope) = Scope::parse(&scope) else {
            let right = "zone:NAME, host:NAME or service:NAME";
            return Err(format!("scope {scope} is not of the form {right}").into());
        };
        Ok(Edit::Exception { scope, key, value: self.value, reason: self.reason })
    }
}

/// The body of `POST /v1/operator/orders`: an order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderBody {
    /// The engine's zone.
    pub zone: Box<str>,
    /// The engine.
    pub upstream: Box<str>,
    /// The adapter to load.
    #[serde(default)]
    pub adapter: Option<Box<str>>,
    /// The role to take.
    #[serde(default)]
    pub role: Option<Box<str>>,
}

impl OrderBody {
    /// Reads what the engine is to do.
    ///
    /// # Errors
    ///
    /// Returns what would be right where not exactly one thing is ordered.
    pub fn task(&self) -> Result<OrderTask, Box<str>> {
        match (&self.adapter, &self.role) {
            (Some(adapter), None) => Ok(OrderTask::Adapter(adapter.clone())),
            (None, Some(role)) => Ok(OrderTask::Role(role.clone())),
            _ => Err("an order names one of adapter and role".into()),
        }
    }
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OrderAnswer {
    /// Whether the engine obeyed.
    pub obeyed: bool,
}

/// The answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChangeAnswer {
    /// Whether the change was accepted.
    pub accepted: bool,
    /// The version that it made, or the one in force.
    pub version: u64,
    /// The id of the change that was accepted in its place.
    #[serde(rename = "winner")]
    pub conflicting_change: Option<Box<str>>,
}

impl From<ChangeOutcome> for ChangeAnswer {
    fn from(answer: ChangeOutcome) -> Self {
        match answer {
            ChangeOutcome::Accepted { version } => {
                Self { accepted: true, version, conflicting_change: None }
            }
            ChangeOutcome::Conflict { version, conflicting_change } => {
                Self { accepted: false, version, conflicting_change: Some(conflicting_change) }
            }
        }
    }
}
