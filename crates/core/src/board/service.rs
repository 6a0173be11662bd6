//! Services and the requests that wait for them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::board::Class;
use crate::key::{RequestKey, UpstreamKey};
use crate::time::Millis;

/// One service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Its name.
    pub name: Box<str>,
    /// Waiting interactive requests, oldest first.
    pub interactive: VecDeque<RequestKey>,
    /// Waiting rollout requests, oldest first.
    pub rollout: VecDeque<RequestKey>,
    /// Its upstreams in this zone.
    pub upstreams: Vec<UpstreamKey>,
    /// Rollout attempts of this host in progress on its upstreams.
    pub rollout_running: u32,
    /// When the last interactive request arrived, on the monotonic clock; `None` before the first.
    #[serde(rename = "interactive_at")]
    pub last_interactive: Option<Millis>,
    /// Whether its calls may be sent again, as announced by the upstream that joined last; true
    /// before the first joins.
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
}

impl Service {
    /// Creates a service without upstreams.
    #[must_use]
    pub fn new(name: impl Into<Box<str>>) -> Self {
        Self { name: name.into(), idempotent: true, ..Default::default() }
    }

    /// Returns the queue of a class.
    #[must_use]
    pub fn queue(&self, class: Class) -> &VecDeque<RequestKey> {
        match class {
            Class::Interactive => &self.interactive,
            Class::Rollout => &self.rollout,
        }
    }

    /// Returns the queue of a class, mutable.
    pub fn queue_mut(&mut self, class: Class) -> &mut VecDeque<RequestKey> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Rollout => &mut self.rollout,
        }
    }

    /// Returns the number of waiting requests of both classes.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.interactive.len() + self.rollout.len()
    }

    /// Removes a request from the queues.
    pub fn remove(&mut self, key: RequestKey) {
        self.interactive.retain(|other| *other != key);
        self.rollout.retain(|other| *other != key);
    }
}
