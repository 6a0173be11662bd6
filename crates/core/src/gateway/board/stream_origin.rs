//! The software versions that began the streams of callers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::key::HostId;
use crate::time::Millis;

/// The most streams that a store host remembers; beyond it, the oldest are forgotten.
const MAX_STREAMS: usize = 16_384;

/// The longest name of a stream, a service or a version that is remembered, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// How long a store host remembers a stream.
const RETENTION: Millis = Millis(600_000);

/// Where a stream began, which is where it may go on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamOrigin {
    /// The service.
    pub service: Box<str>,
    /// The version of the upstream's software.
    pub software: Box<str>,
}

/// One instance of an upstream, of all that have had its id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct InstanceId {
    /// The id.
    pub id: Box<str>,
    /// The wall time of its start in milliseconds.
    #[serde(rename = "born")]
    pub started_at: u64,
}

/// The origin of a stream, by the id of the caller's attempt that began it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamRecord {
    /// The id of the attempt.
    pub id: Box<str>,
    /// How many upstreams the attempt was sent to, this one included; the last one counts.
    pub number: u32,
    /// The origin.
    pub origin: StreamOrigin,
    /// The upstream, as the sender knows it; `None` from a host of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// The workspace of the caller, or `None` if it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Box<str>>,
}

/// The origins that a store host remembers.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    streams: BTreeMap<Box<str>, StreamRecord>,
    /// The ids, with the wall times at which they became known.
    order: VecDeque<(Millis, Box<str>)>,
}

impl StreamOrigins {
    /// Remembers a stream that became known at the wall time `at`, and returns whether that is news.
    pub fn insert(&mut self, record: StreamRecord, at: Millis, now: Millis) -> bool {
        let StreamOrigin { service, software } = &record.origin;
        if [&record.id, service, software].iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return false;
        }
        match self.streams.get_mut(&record.id) {
            // The id is the caller's choice, so another workspace may use it too.
            Some(known) if known.workspace != record.workspace => return false,
            Some(known) if known.number >= record.number => return false,
            Some(known) => *known = record,
            None => {
                self.order.push_back((at, record.id.clone()));
                self.streams.insert(record.id.clone(), record);
            }
        }
        let is_old = |at: Millis| now.since(at) > RETENTION;
        while self.order.len() > MAX_STREAMS
            || self.order.front().is_some_and(|(at, _)| is_old(*at))
        {
            let Some((_, id)) = self.order.pop_front() else { break };
            self.streams.remove(&id);
        }
        true
    }

    /// Returns the streams with the wall times at which they became known, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (Millis, &StreamRecord)> {
        self.order.iter().filter_map(|(at, id)| Some((*at, self.streams.get(id)?)))
    }

    /// Returns the origin of a stream; `None` if it is not known here, or is another workspace's. A
    /// stream without a workspace was begun before there were workspaces, or on a public route.
    #[must_use]
    pub fn get(&self, id: &str, workspace: Option<&str>) -> Option<&StreamOrigin> {
        let record = self.streams.get(id)?;
        let is_accessible = record.workspace.is_none() || record.workspace.as_deref() == workspace;
        is_accessible.then_some(&record.origin)
    }
}

/// The search for the origin of a stream.
#[derive(Debug, Clone, Default)]
pub struct StreamSearch {
    /// The hosts that have been asked and have not replied.
    pub asked: BTreeSet<HostId>,
    /// Until when their replies are awaited; `None` before they have been asked.
    pub until: Option<Millis>,
}
