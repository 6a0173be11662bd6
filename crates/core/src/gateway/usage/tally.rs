//! The starts of requests that the leader has received, by time.

use std::collections::BTreeMap;

use crate::directory::UsageCounts;
use crate::gateway::usage::true_time::signed;
use crate::gateway::usage::{UsageStarts, WorkspaceNames};
use crate::key::{HostId, WorkspaceKey};
use crate::time::Millis;

/// The steps in which starts of one workspace are merged.
const STEP: i64 = 10;

/// The same while there are more than [`MAX_STEPS`].
const COARSE_STEP: i64 = 100;

/// The most fine steps: about 3 MB.
const MAX_STEPS: usize = 65_536;

/// The starts that a leader has received under one fencing token and not yet settled.
#[derive(Debug, Default)]
pub(super) struct Tally {
    names: WorkspaceNames,
    /// The number of starts by their time on this host's monotonic clock, which may lie before its
    /// zero.
    starts: BTreeMap<(i64, WorkspaceKey), u64>,
    sources: BTreeMap<HostId, Source>,
    /// The time up to which starts are settled; `None` before the first window.
    settled_to: Option<i64>,
    /// The number of starts that came after their window was settled.
    pub(super) late: u64,
}

/// The process of an entry host whose records are counted.
#[derive(Debug, Clone, Copy)]
struct Source {
    boot_id: u64,
    /// The boot id of the process before it, whose delayed messages are dropped.
    previous: Option<u64>,
    /// The number of the next record that is lacking.
    next_seq: u64,
}

impl Tally {
    /// Adds the records that are new, and returns the number of the next record.
    pub(super) fn add(&mut self, now: Millis, from: HostId, message: &UsageStarts) -> u64 {
        let boot_id = message.boot_id;
        let new = Source { boot_id, previous: None, next_seq: 0 };
        let source = self.sources.entry(from).or_insert(new);
        if source.previous == Some(boot_id) {
            return source.next_seq;
        }
        // Boot ids are not compared by size: the wall clock that they come from may be stepped back.
        if source.boot_id != boot_id {
            *source = Source { previous: Some(source.boot_id), ..new };
        }
        let lacking = source.next_seq;
        source.next_seq = lacking.max(message.first_seq + message.records.len() as u64);
        let next_seq = source.next_seq;
        for (seq, (position, age, count)) in (message.first_seq..).zip(&message.records) {
            let is_new = seq >= lacking;
            let name = message.workspaces.get(*position as usize);
            let Some(name) = name.filter(|_| is_new) else { continue };
            let at = signed(now) - i64::from(*age);
            if self.settled_to.is_some_and(|settled| at < settled) {
                self.late += u64::from(*count);
                continue;
            }
            let step = if self.starts.len() < MAX_STEPS { STEP } else { COARSE_STEP };
            let workspace = self.names.key(name);
            // A step may begin in the window before, which is settled.
            let begin = at.div_euclid(step) * step;
            let begin = self.settled_to.map_or(begin, |settled| begin.max(settled));
            *self.starts.entry((begin, workspace)).or_default() += u64::from(*count);
        }
        next_seq
    }

    /// Removes and returns the counts of a window that lies between two times on the monotonic clock.
    ///
    /// After the first window, each begins where the one before it ended, so that a start counts once
    /// although the estimate of the true time changes.
    pub(super) fn take_window(&mut self, begin: i64, end: i64) -> UsageCounts {
        let from = self.settled_to.unwrap_or(begin);
        let rest = self.starts.split_off(&(end, WorkspaceKey::default()));
        let starts = std::mem::replace(&mut self.starts, rest);
        self.settled_to = Some(end);
        let mut counts = UsageCounts::new();
        for ((at, workspace), count) in starts {
            if at >= from {
                *counts.entry(self.names.name(workspace).into()).or_default() += count;
            }
        }
        counts
    }
}
