//! Workspaces: the tenants of a deployment, each with the keys that its callers present.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Display, Formatter};
use std::hint::black_box;

use serde::{Deserialize, Serialize};

use crate::checksum::checksum_pair;
use crate::directory::{Route, RouteKind, RoutingConfig};

/// A workspace of the routing configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Workspace {
    /// The name, which upstreams receive with each request.
    pub name: Box<str>,
    /// The keys of its callers.
    pub keys: Vec<ApiKey>,
    /// The priority of its requests, or `None` if the route's applies; zero is the highest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
}

/// The key of a caller; its text never appears in the output of `Debug`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Box<str>", into = "Box<str>")]
pub struct ApiKey {
    text: Box<str>,
    /// A digest of the text, of the same length for all keys.
    digest: (u64, u64),
}

impl ApiKey {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: impl Into<Box<str>>) -> Self {
        let text = text.into();
        let digest = checksum_pair(&[text.as_bytes()]);
        Self { text, digest }
    }

    /// Returns the text of the key.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.text
    }

    /// Returns whether another key has the same text, in a time that depends on neither text unless
    /// both have the same digest.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        let difference = (self.digest.0 ^ other.digest.0) | (self.digest.1 ^ other.digest.1);
        black_box(difference) == 0 && self.text == other.text
    }

    /// Returns whether the key is a text that a header can carry without spaces.
    fn is_valid(&self) -> bool {
        !self.text.is_empty() && self.text.bytes().all(|byte| byte.is_ascii_graphic())
    }
}

impl From<Box<str>> for ApiKey {
    fn from(text: Box<str>) -> Self {
        Self::new(text)
    }
}

impl From<ApiKey> for Box<str> {
    fn from(key: ApiKey) -> Self {
        key.text
    }
}

impl Debug for ApiKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// The reason why a call is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessError {
    /// It has no key.
    MissingKey,
    /// Its key is none of the configuration's.
    UnknownKey,
}

impl Display for AccessError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::MissingKey => "the request has no key",
            Self::UnknownKey => "the key of the request is not known",
        })
    }
}

impl std::error::Error for AccessError {}

/// The reason why the workspaces of a configuration are not valid. Places are counted from zero.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkspaceError {
    /// A workspace has no name.
    NoName {
        /// The place of the workspace.
        index: usize,
    },
    /// A name has characters other than visible ASCII and spaces, or spaces at its ends.
    InvalidName {
        /// The place of the workspace.
        index: usize,
    },
    /// Two workspaces have the same name.
    DuplicateName {
        /// The place of the second workspace.
        index: usize,
        /// The name.
        name: Box<str>,
    },
    /// A workspace has no key.
    NoKey {
        /// The place of the workspace.
        index: usize,
        /// The name of the workspace.
        name: Box<str>,
    },
    /// A key is empty, or has a character that is not visible ASCII.
    InvalidKey {
        /// The place of the workspace.
        index: usize,
        /// The name of the workspace.
        name: Box<str>,
        /// The place of the key.
        key: usize,
    },
    /// Two workspaces have the same key.
    SharedKey {
        /// The place of the second workspace.
        index: usize,
        /// The name of the second workspace.
        name: Box<str>,
        /// The place of the key.
        key: usize,
        /// The name of the first workspace.
        other: Box<str>,
    },
}

impl Display for WorkspaceError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoName { index } => write!(f, "workspace {index}: it has no name"),
            Self::InvalidName { index } => write!(
                f,
                "workspace {index}: the name has characters other than visible ASCII and spaces, \
                 or spaces at its ends"
            ),
            Self::DuplicateName { index, name } => {
                write!(f, "workspace {index} ({name}): another workspace has the same name")
            }
            Self::NoKey { index, name } => write!(f, "workspace {index} ({name}): it has no key"),
            Self::InvalidKey { index, name, key } => write!(
                f,
                "workspace {index} ({name}): key {key} is empty, or has a character that is not \
                 visible ASCII"
            ),
            Self::SharedKey { index, name, key, other } => {
                write!(f, "workspace {index} ({name}): key {key} is also one of workspace {other}")
            }
        }
    }
}

/// Returns the workspaces' errors: those that lack a name or a key of their own.
pub(super) fn errors(workspaces: &[Workspace]) -> Vec<WorkspaceError> {
    let mut errors = Vec::new();
    let mut names = BTreeSet::new();
    let mut owners: BTreeMap<&ApiKey, usize> = BTreeMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let name = || workspace.name.clone();
        let has_outer_space = workspace.name.trim().len() < workspace.name.len();
        // Platforms send the name in a header, and leave it out where they can't.
        let is_sendable = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
        if workspace.name.trim().is_empty() {
            errors.push(WorkspaceError::NoName { index });
        } else if has_outer_space || !workspace.name.bytes().all(is_sendable) {
            errors.push(WorkspaceError::InvalidName { index });
        } else if !names.insert(&workspace.name) {
            errors.push(WorkspaceError::DuplicateName { index, name: name() });
        }
        if workspace.keys.is_empty() {
            errors.push(WorkspaceError::NoKey { index, name: name() });
        }
        for (key, text) in workspace.keys.iter().enumerate() {
            if !text.is_valid() {
                errors.push(WorkspaceError::InvalidKey { index, name: name(), key });
                continue;
            }
            let owner = *owners.entry(text).or_insert(index);
            if owner != index {
                let other = workspaces[owner].name.clone();
                errors.push(WorkspaceError::SharedKey { index, name: name(), key, other });
            }
        }
    }
    errors
}

impl RoutingConfig {
    /// Returns whether the configuration defines workspaces.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the workspace of a request, or `None` if it has none: the configuration defines none,
    /// or the route is public and the key is not known.
    ///
    /// # Errors
    ///
    /// Returns an error if the request needs a key and has none that is known.
    pub fn authorize(
        &self,
        route: &Route,
        key: Option<&ApiKey>,
    ) -> Result<Option<&Workspace>, AccessError> {
        self.admit(route.public, key)
    }

    /// Returns the workspace of a job call to a host, as [`RoutingConfig::authorize`] does.
    ///
    /// # Errors
    ///
    /// Returns an error if the call needs a key and has none that is known.
    pub fn authorize_job_call(
        &self,
        host: &str,
        key: Option<&ApiKey>,
    ) -> Result<Option<&Workspace>, AccessError> {
        self.admit(self.has_public_jobs(host), key)
    }

    /// Returns whether the job calls to a host need no key: it has routes for jobs, and all of them
    /// are public. The path of a job call names no route.
    #[must_use]
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let takes_jobs = |route: &&Route| &*route.host == host && route.kind == RouteKind::Batch;
        let mut routes = self.routes.iter().filter(takes_jobs).peekable();
        routes.peek().is_some() && routes.all(|route| route.public)
    }

    fn admit(
        &self,
        is_public: bool,
        key: Option<&ApiKey>,
    ) -> Result<Option<&Workspace>, AccessError> {
        if !self.has_workspaces() {
            return Ok(None);
        }
        match key.map(|key| self.workspace_of(key)) {
            Some(Some(workspace)) => Ok(Some(workspace)),
            _ if is_public => Ok(None),
            Some(None) => Err(AccessError::UnknownKey),
            None => Err(AccessError::MissingKey),
        }
    }

    /// Returns the workspace of a key. All keys are compared, so that the time tells nothing about
    /// the place of a match.
    fn workspace_of(&self, key: &ApiKey) -> Option<&Workspace> {
        let mut found = None;
        for workspace in &self.workspaces {
            for known in &workspace.keys {
                if known.matches(key) {
                    found = Some(workspace);
                }
            }
        }
        found
    }
}
