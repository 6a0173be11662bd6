//! Workspaces: the tenants of a deployment, each with the keys that its callers present.

use std::fmt::{Debug, Formatter};

use serde::{Deserialize, Serialize};

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
#[serde(transparent)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the text of the key.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl Debug for ApiKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
