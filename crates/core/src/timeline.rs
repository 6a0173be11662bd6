//! The time line of events over all processes.
//!
//! Events carry a hybrid logical clock: wall time, and a counter for events within one
//! millisecond. A process that hears from another moves its clock past the sender's, so cause is
//! stamped before effect even where the hosts' clocks differ.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::key::HostId;
use crate::time::Millis;

/// A point on the time line.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct Stamp {
    /// Wall time, at least that of every event that caused this one.
    pub wall: Millis,
    /// Orders the events of one millisecond.
    pub count: u32,
}

/// A hybrid logical clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns the next stamp of this process.
    pub fn next(&mut self, wall: Millis) -> Stamp {
        if wall > self.last.wall {
            self.last = Stamp { wall, count: 0 };
        } else {
            self.last.count = self.last.count.saturating_add(1);
        }
        self.last
    }

    /// Moves the clock past a stamp that came from another process.
    pub fn observe(&mut self, stamp: Stamp) {
        self.last = self.last.max(stamp);
    }
}

/// What an event is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A request was taken in.
    Arrived,
    /// A request was refused before it ran.
    Refused,
    /// A request was given to an upstream or another host.
    Dispatched,
    /// An attempt failed.
    AttemptFailed,
    /// A request ended with its answer.
    Answered,
    /// The caller went away.
    CallerGone,
    /// An upstream announced itself.
    UpstreamJoined,
    /// An upstream left or fell silent.
    UpstreamLeft,
    /// A host was heard from.
    HostUp,
    /// A host fell silent.
    HostDown,
    /// This host became the leader of a group.
    LeaderElected,
    /// Settings came into force on this host.
    SettingsInForce,
    /// An order was given to an upstream.
    Ordered,
    /// An order to an upstream was answered.
    OrderEnded,
    /// A trainer handed in groups.
    Submitted,
    /// A sample was generated.
    SampleReady,
    /// Samples were delivered.
    Delivered,
    /// Samples had become stale and are generated anew.
    SamplesStale,
    /// A trainer published a version.
    Published,
    /// A non-idempotent request was recorded before its dispatch.
    Intended,
    /// The host is stopping.
    Draining,
    /// The host has started.
    Started,
    /// The settings file was read again.
    Reloaded,
    /// The voter set of a group changed.
    VotersChanged,
    /// A host or an upstream can't be reached, or can be again.
    Dependency,
    /// An item of a job was given to an upstream, moved, or listed.
    Item,
    /// A batch job was accepted, ended or forgotten.
    Job,
    /// A question to another host ended.
    Asked,
}

/// One event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TimelineEvent {
    /// When.
    pub stamp: Stamp,
    /// The host whose event it is.
    pub host: HostId,
    /// What happened.
    pub kind: EventKind,
    /// The request, sample, upstream or host that it is about.
    pub subject: Box<str>,
    /// Details for a person.
    pub detail: Box<str>,
}

/// A bounded ring of the latest events.
#[derive(Debug, Clone)]
pub struct Timeline {
    events: VecDeque<TimelineEvent>,
    capacity: usize,
}

impl Timeline {
    /// Makes an empty ring of `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { events: VecDeque::new(), capacity }
    }

    /// Adds an event and drops the oldest where the ring is full.
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
