//! The timeline of events, ordered across all processes.
//!
//! Events are stamped by a hybrid logical clock: wall time, and a counter for events within one
//! millisecond. A process that receives a message moves its clock past the sender's stamp, so that
//! a cause is stamped before its effect even if the hosts' clocks differ.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::key::HostId;
use crate::time::Millis;

/// A point on the timeline.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct Stamp {
    /// Wall time, no less than that of any event that caused this one.
    pub wall: Millis,
    /// Orders events within one millisecond.
    pub count: u32,
}

/// A hybrid logical clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns the next stamp, later than every stamp issued or observed before.
    pub fn next(&mut self, wall: Millis) -> Stamp {
        if wall > self.last.wall {
            self.last = Stamp { wall, count: 0 };
        } else {
            self.last.count = self.last.count.saturating_add(1);
        }
        self.last
    }

    /// Moves the clock past a stamp from another process.
    pub fn observe(&mut self, stamp: Stamp) {
        self.last = self.last.max(stamp);
    }
}

/// The kind of a timeline event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A request arrived.
    Arrived,
    /// A request was refused before it ran.
    Refused,
    /// A request was sent to an upstream or another host.
    Dispatched,
    /// An attempt failed.
    AttemptFailed,
    /// A request was answered.
    Answered,
    /// The caller disconnected.
    CallerGone,
    /// An upstream announced itself.
    UpstreamJoined,
    /// An upstream left or became silent.
    UpstreamLeft,
    /// A message came from a host that was down.
    HostUp,
    /// A host became silent.
    HostDown,
    /// This host became the leader of a group.
    LeaderElected,
    /// Settings came into force on this host.
    SettingsInForce,
    /// An order was sent to an upstream.
    Ordered,
    /// An order to an upstream ended.
    OrderEnded,
    /// A trainer submitted groups.
    Submitted,
    /// A sample was generated.
    SampleReady,
    /// Samples were delivered.
    Delivered,
    /// Samples became stale and are generated again.
    SamplesStale,
    /// A trainer published a version.
    Published,
    /// A non-idempotent request was recorded before its dispatch.
    Intended,
    /// The host is stopping.
    Draining,
    /// The host has started.
    Started,
    /// The settings file was reloaded.
    Reloaded,
    /// The voter set of a group changed.
    VotersChanged,
    /// A host or an upstream became unreachable, or reachable again.
    Dependency,
    /// An item of a job was sent to an upstream, moved to another, or listed as a result.
    Item,
    /// A batch job was accepted, ended or removed.
    Job,
    /// A request to another host ended.
    Asked,
    /// A call to the infrastructure provider was sent.
    ProviderCalled,
    /// A call to the infrastructure provider ended.
    ProviderAnswered,
    /// A usage window was settled, reported or dropped.
    Usage,
    /// A number of upstreams was decided or ordered, or such an order ended.
    Scaling,
}

/// One event on the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TimelineEvent {
    /// When it happened.
    pub stamp: Stamp,
    /// The host that recorded it.
    pub host: HostId,
    /// What happened.
    pub kind: EventKind,
    /// The request, sample, upstream, host or other object that it concerns.
    pub subject: Box<str>,
    /// Details for the reader of the log.
    pub detail: Box<str>,
}

/// A bounded ring of the latest events.
#[derive(Debug, Clone)]
pub struct Timeline {
    events: VecDeque<TimelineEvent>,
    capacity: usize,
}

impl Timeline {
    /// Creates an empty ring for `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { events: VecDeque::new(), capacity }
    }

    /// Adds an event, and drops the oldest if the ring is full.
    pub fn push(&mut self, event: TimelineEvent) {
        if self.events.len() >= self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the events after a stamp, oldest first.
    pub fn after(&self, stamp: Stamp) -> impl Iterator<Item = &TimelineEvent> {
        self.events.iter().filter(move |event| event.stamp > stamp)
    }
}
