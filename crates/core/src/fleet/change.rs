//! A change of the settings and its outcome.

use serde::{Deserialize, Serialize};

use crate::fleet::{Scope, SettingKey};

/// One edit within a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Sets a default, or resets it to the built-in value.
    Default {
        /// The setting.
        key: SettingKey,
        /// The value, or `None` to reset it to the built-in one.
        value: Option<u64>,
    },
    /// Sets an exception, or removes it.
    Exception {
        /// The scope in which it applies.
        scope: Scope,
        /// The setting.
        key: SettingKey,
        /// The value, or `None` to remove the exception.
        value: Option<u64>,
        /// The reason. It must not be blank if a value is set.
        reason: Box<str>,
    },
}

/// A change that an operator proposes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Change {
    /// The id that the operator chose. A resend under the same id gets the first outcome.
    pub id: Box<str>,
    /// The version of the settings that the change is based on.
    #[serde(rename = "base")]
    pub base_version: u64,
    /// The author of the change.
    #[serde(rename = "by")]
    pub author: Box<str>,
    /// The edits, which are applied together or not at all.
    pub edits: Vec<Edit>,
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change was accepted.
    Accepted {
        /// The version of the settings that it created.
        version: u64,
    },
    /// Another change was accepted on the same base version.
    Conflict {
        /// The version in force.
        version: u64,
        /// The id of the change that created the version after the base, or `not remembered` if its
        /// outcome is no longer kept.
        #[serde(rename = "winner")]
        conflicting_change: Box<str>,
    },
}

/// The reason why a change is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The change has no id.
    NoId,
    /// The change has no edits.
    NoEdits,
    /// An exception has no reason.
    NoReason(SettingKey),
    /// A value is outside the range of its setting.
    OutOfRange(SettingKey, u64),
}

impl std::fmt::Display for ChangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoId => write!(f, "the change has no id"),
            Self::NoEdits => write!(f, "the change has no edits"),
            Self::NoReason(key) => {
                write!(f, "the exception for {} needs a written reason", key.name())
            }
            Self::OutOfRange(key, value) => {
                let (min, max) = key.range();
                write!(f, "{} = {value} is outside {min} to {max}", key.name())
            }
        }
    }
}

impl std::error::Error for ChangeError {}

impl Change {
    /// Checks that the change is valid in itself, without regard to the settings in force.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), ChangeError> {
        if self.id.is_empty() {
            return Err(ChangeError::NoId);
        }
        if self.edits.is_empty() {
            return Err(ChangeError::NoEdits);
        }
        for edit in &self.edits {
            check_edit(edit)?;
        }
        Ok(())
    }
}

fn check_edit(edit: &Edit) -> Result<(), ChangeError> {
    let (key, value) = match edit {
        Edit::Default { key, value } | Edit::Exception { key, value, .. } => (*key, *value),
    };
    let Some(value) = value else { return Ok(()) };
    let (min, max) = key.range();
    if value < min || value > max {
        return Err(ChangeError::OutOfRange(key, value));
    }
    match edit {
        Edit::Exception { reason, .. } if reason.trim().is_empty() => {
            Err(ChangeError::NoReason(key))
        }
        _ => Ok(()),
    }
}
