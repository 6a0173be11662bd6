//! Bodies of operators' requests and their answers. Reports are types of the core and are not
//! repeated here.

use chestnutdrift_core::event::OrderTask;
use chestnutdrift_core::fleet::{Change, ChangeOutcome, Edit, Scope, SettingKey};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/operator/changes`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// The id that the operator gives the change.
    pub id: Box<str>,
    /// The settings version that the change is based on.
    #[serde(rename = "base")]
    pub base_version: u64,
    /// The operator who proposes the change.
    #[serde(rename = "by")]
    pub author: Box<str>,
    /// The edits.
    pub edits: Vec<EditBody>,
}

/// One edit, of a default or, if a scope is given, of an exception.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditBody {
    /// The name of the setting.
    pub key: Box<str>,
    /// The new value; `None` removes the default or the exception.
    pub value: Option<u64>,
    /// The scope of an exception, as `zone:NAME`, `host:NAME` or `service:NAME`; `None` for a
    /// default.
    #[serde(default)]
    pub scope: Option<Box<str>>,
    /// The reason for an exception.
    #[serde(default)]
    pub reason: Box<str>,
}

impl ChangeBody {
    /// Converts the body into a change.
    ///
    /// # Errors
    ///
    /// Returns a message that names the unknown setting or the malformed scope, and the valid ones.
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
            let names = names.join(", ");
            return Err(format!("no setting is named {}; there are {names}", self.key).into());
        };
        let Some(scope) = self.scope else {
            return Ok(Edit::Default { key, value: self.value });
        };
        let Some(scope) = Scope::parse(&scope) else {
            let forms = "zone:NAME, host:NAME or service:NAME";
            return Err(format!("scope {scope} is not of the form {forms}").into());
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
    /// The engine's name.
    pub upstream: Box<str>,
    /// The adapter to load.
    #[serde(default)]
    pub adapter: Option<Box<str>>,
    /// The role to take.
    #[serde(default)]
    pub role: Option<Box<str>>,
}

impl OrderBody {
    /// Returns the task that is ordered.
    ///
    /// # Errors
    ///
    /// Returns a message if the order names both an adapter and a role, or neither.
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
    /// Whether the engine carried out the order.
    pub obeyed: bool,
}

/// The answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChangeAnswer {
    /// Whether the change was accepted.
    pub accepted: bool,
    /// The settings version that the change created if it was accepted; otherwise the current one.
    pub version: u64,
    /// The id of the change that was accepted first, if this one conflicts with it.
    #[serde(rename = "winner")]
    pub conflicting_change: Option<Box<str>>,
}

impl From<ChangeOutcome> for ChangeAnswer {
    fn from(outcome: ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Accepted { version } => {
                Self { accepted: true, version, conflicting_change: None }
            }
            ChangeOutcome::Conflict { version, conflicting_change } => {
                Self { accepted: false, version, conflicting_change: Some(conflicting_change) }
            }
        }
    }
}
