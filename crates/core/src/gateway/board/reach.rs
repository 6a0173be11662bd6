//! Whether this host can open connections to the upstreams over its own links.

use crate::key::UpstreamKey;
use crate::time::Millis;

/// The number of upstreams to which connections fail before the links count as lost; a single one may
/// have failed itself.
const MIN_FAILED_UPSTREAMS: usize = 2;

/// The most failed upstreams that are remembered.
const MAX_FAILED_UPSTREAMS: usize = 16;

/// The number of connections in a row that must be opened before lost links count as sound.
const OPENED_TO_RECOVER: u32 = 2;

/// The state of a host's links to the upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    /// The last connection was opened, or none was tried.
    #[default]
    Sound,
    /// Connections fail, to too few upstreams to tell whose fault it is.
    Doubted,
    /// Connections to several upstreams fail, and none was opened in between.
    Lost,
}

/// What connections tell about this host's links to the upstreams.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// When the next connection is tried without a request.
    pub next_probe: Millis,
    /// The service of the upstream to which a connection failed last.
    pub failed_service: Box<str>,
    state: LinkState,
    /// The upstreams to which connections failed since the last one that was opened.
    failed: Vec<UpstreamKey>,
    opened_in_a_row: u32,
    last_opened: Option<Millis>,
    /// When the state last left [`LinkState::Sound`].
    failing_since: Millis,
}

impl Reach {
    /// Returns the state of the links.
    #[must_use]
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Returns the upstreams to which connections failed since the last one that was opened.
    #[must_use]
    pub fn failed(&self) -> &[UpstreamKey] {
        &self.failed
    }

    /// Returns when the last connection was opened; `None` before the first one.
    #[must_use]
    pub fn last_opened(&self) -> Option<Millis> {
        self.last_opened
    }

    /// Returns when the first connection failed since the links were last sound.
    #[must_use]
    pub fn failing_since(&self) -> Millis {
        self.failing_since
    }

    /// Records that a connection was opened, and returns the state before.
    pub fn record_opened(&mut self, now: Millis) -> LinkState {
        let before = self.state;
        self.last_opened = Some(now);
        self.opened_in_a_row += 1;
        self.next_probe = now;
        if before != LinkState::Lost || self.opened_in_a_row >= OPENED_TO_RECOVER {
            self.state = LinkState::Sound;
            self.failed.clear();
        }
        before
    }

    /// Records that a connection to an upstream failed, and returns the state before.
    pub fn record_failed(&mut self, upstream: UpstreamKey, now: Millis) -> LinkState {
        let before = self.state;
        self.opened_in_a_row = 0;
        if before == LinkState::Sound {
            self.failing_since = now;
            self.next_probe = now;
            self.state = LinkState::Doubted;
        }
        if !self.failed.contains(&upstream) && self.failed.len() < MAX_FAILED_UPSTREAMS {
            self.failed.push(upstream);
        }
        if self.failed.len() >= MIN_FAILED_UPSTREAMS {
            self.state = LinkState::Lost;
        }
        before
    }
}
