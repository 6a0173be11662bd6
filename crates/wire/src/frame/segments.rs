//! A cache of compressed log entries.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use chestnutdrift_core::agreement::{Entry, GroupFrame, GroupId};

/// The most bytes of segments that are cached.
///
/// Replicas that keep up need the entries of a few round trips; the others get theirs compressed
/// again.
const MAX_CACHED_BYTES: usize = 1024 * 1024;

/// Identifies a log entry. In one group and epoch, the entries of one index and term are the same on
/// all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct SegmentKey {
    group: GroupId,
    epoch: u64,
    index: u64,
    term: u64,
}

impl SegmentKey {
    /// Returns the key of an entry in a frame of its group.
    pub(super) fn new(frame: &GroupFrame, entry: &Entry) -> Self {
        Self { group: frame.group, epoch: frame.epoch, index: entry.index, term: entry.term }
    }
}

/// The segments of the entries that were encoded last.
#[derive(Debug, Default)]
pub(super) struct SegmentCache {
    segments: HashMap<SegmentKey, Bytes>,
    insertion_order: VecDeque<SegmentKey>,
    bytes: usize,
}

impl SegmentCache {
    /// Returns the segment of an entry.
    pub(super) fn get(&self, key: SegmentKey) -> Option<&Bytes> {
        self.segments.get(&key)
    }

    /// Adds the segment of an entry, and evicts those that were added first where the cache is full.
    pub(super) fn insert(&mut self, key: SegmentKey, segment: Bytes) {
        self.bytes += segment.len();
        match self.segments.insert(key, segment) {
            Some(replaced) => self.bytes -= replaced.len(),
            None => self.insertion_order.push_back(key),
        }
        while self.bytes > MAX_CACHED_BYTES {
            let Some(oldest) = self.insertion_order.pop_front() else { break };
            let Some(evicted) = self.segments.remove(&oldest) else { continue };
            self.bytes -= evicted.len();
        }
    }
}
