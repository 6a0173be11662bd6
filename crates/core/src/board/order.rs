//! Orders to upstreams on the board.

use serde::{Deserialize, Serialize};

use crate::event::OrderTask;
use crate::key::{RequestKey, UpstreamKey};
use crate::time::Millis;

/// An order that has not been answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// What it is to do.
    pub task: OrderTask,
    /// When it was given.
    #[serde(rename = "given")]
    pub issued_at: Millis,
    /// The operator's request that waits for it, where one does.
    pub request: Option<RequestKey>,
}
