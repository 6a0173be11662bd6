//! Reward calls: requests to plain services whose answers score the texts of items.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A request that is sent once the text of an item is complete. It may run more than once.
///
/// The signature of its successful answer is the score of the item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RewardCall {
    /// The request id at the upstream.
    pub id: Box<str>,
    /// The `Host` of the request, which selects its route together with the path.
    pub host: Box<str>,
    /// The path and query at the upstream.
    pub path: Box<str>,
    /// The body.
    pub body: Bytes,
}

impl RewardCall {
    /// Returns the approximate size of the call in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 32;
        OVERHEAD + self.id.len() + self.host.len() + self.path.len() + self.body.len()
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path_without_query(&self) -> &str {
        self.path.split_once('?').map_or(&*self.path, |(path, _)| path)
    }
}
