//! The right of one host of the deployment to do what only one host may do at a time.
//!
//! [`HolderLease`] on the board is what every singleton task reads: orders for weight versions, calls
//! to the infrastructure provider. The controller in [`holder`] writes it.

pub mod holder;

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// The lease under which this host performs singleton tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderLease {
    /// The fencing token; it grows with each change of the holder.
    pub fence: u64,
    /// The time on the monotonic clock after which nothing may be sent under the lease.
    pub valid_until: Millis,
}
