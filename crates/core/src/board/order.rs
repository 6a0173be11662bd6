//! Orders to upstreams.

use serde::{Deserialize, Serialize};

use crate::event::OrderTask;
use crate::key::{RequestKey, UpstreamKey};
use crate::time::Millis;

/// An order that awaits the upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// What the upstream is ordered to do.
    pub task: OrderTask,
    /// When it was issued, on the monotonic clock.
    #[serde(rename = "given")]
    pub issued_at: Millis,
    /// The operator's request that waits for it; `None` for orders of the controllers.
    pub request: Option<RequestKey>,
}
