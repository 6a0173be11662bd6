//! The document of a routing configuration.

use std::fmt::{Debug, Formatter};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A routing configuration as the operator sent it.
///
/// It contains the keys of workspaces, so the output of `Debug` shows only its length.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigDocument(Bytes);

impl ConfigDocument {
    /// Returns the bytes of the document.
    #[must_use]
    pub fn expose(&self) -> &Bytes {
        &self.0
    }
}

impl<T: Into<Bytes>> From<T> for ConfigDocument {
    fn from(document: T) -> Self {
        Self(document.into())
    }
}

impl Debug for ConfigDocument {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "ConfigDocument({} bytes)", self.0.len())
    }
}
