//! A change of the settings, and its answer.

use serde::{Deserialize, Serialize};

use crate::fleet::{Scope, SettingKey};

/// One edit within a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Sets a default, or brings back the built-in value.
    Default {
        /// The setting.
        key: SettingKey,
        /// The value; none brings back the built-in one.
        value: Option<u64>,
    },
    /// Sets an exception, or removes it.
    Exception {
        /// Where it applies.
        scope: Scope,
        /// The setting.
        key: SettingKey,
        /// The value; none removes the exception.
        value: Option<u64>,
        /// Why; it may not be empty where a value is set.
        reason: Box<str>,
    },
}

/// A change that an operator proposes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Change {
    /// The operator's name for this change; sending it again gives the first answer.
    pub id: Box<str>,
    /// The version of the settings that the operator saw.
    #[serde(rename = "base")]
    pub base_version: u64,
    /// Who proposes it.
    #[serde(rename = "by")]
    pub author: Box<str>,
    /// The edits, all or none of which are made.
    pub edits: Vec<Edit>,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// It was accepted and made this version.
    Accepted {
        /// The version that it made.
        version: u64,
    },
    /// Another change was accepted on the same base.
    Conflict {
        /// The version in force.
        version: u64,
        /// The id of the change that made the version after the base, where it is still known.
        #[serde(rename = "winner")]
        conflicting_change: Box<str>,
    },
}

/// Why a change is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// It has no id.
    NoId,
    /// It has no edits.
    NoEdits,
    /// An exception lacks its reason.
    NoReason(SettingKey),
    /// A value lies outside the range of its setting.
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
                let (least, most) = key.range();
                write!(f, "{} = {value} is outside {least} to {most}", key.name())
            }
        }
    }
}

impl std::error::Error for ChangeError {}

impl Change {
    /// Checks the change by itself, without regard to the settings in force.
    ///
    /// # Errors
    ///
    /// Returns the first [`ChangeError`] found.
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
    let (least, most) = key.range();
    if value < least || value > most {
        return Err(ChangeError::OutOfRange(key, value));
    }
    match edit {
        Edit::Exception { reason, .. } if reason.trim().is_empty() => {
            Err(ChangeError::NoReason(key))
        }
        _ => Ok(()),
    }
}
