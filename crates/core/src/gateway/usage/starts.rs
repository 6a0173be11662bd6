//! The starts of requests that an entry host has observed, until the leader has them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use slotmap::SlotMap;

use crate::gateway::usage::UsageStarts;
use crate::key::{AttemptKey, RequestKey, WorkspaceKey};
use crate::time::Millis;

/// The steps in which starts of one workspace are merged.
const STEP: Millis = Millis(10);

/// The steps in which starts are merged while there are too many records, and half of that for those
/// that the leader has.
const COARSE_STEP: Millis = Millis(100);

/// How long records are kept for a new leader: longer than a window and the time to settle it, and
/// the election and the wait of a new holder.
const RETENTION: Millis = Millis(25_000);

/// The most records of one host; beyond it, starts are merged in coarse steps.
const MAX_RECORDS: usize = 4_096;

/// The most records in one message, about 10 kB.
const MAX_RECORDS_PER_MESSAGE: usize = 1_024;

/// The names of workspaces, each with a key.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceNames {
    names: SlotMap<WorkspaceKey, Box<str>>,
    index: BTreeMap<Box<str>, WorkspaceKey>,
}

impl WorkspaceNames {
    /// Returns the key of a name, which is added where it is new.
    pub fn key(&mut self, name: &str) -> WorkspaceKey {
        if let Some(key) = self.index.get(name) {
            return *key;
        }
        let key = self.names.insert(name.into());
        self.index.insert(name.into(), key);
        key
    }

    /// Drops all names but those of the given keys.
    fn retain(&mut self, used: &BTreeSet<WorkspaceKey>) {
        self.names.retain(|key, _| used.contains(&key));
        self.index.retain(|_, key| used.contains(key));
    }

    /// Returns the name of a key.
    #[must_use]
    pub fn name(&self, key: WorkspaceKey) -> &str {
        self.names.get(key).map_or("", |name| name)
    }
}

/// A request that was sent to an upstream and whose start may still have to be recorded.
#[derive(Debug, Clone, Copy)]
pub(super) struct Dispatched {
    pub(super) workspace: WorkspaceKey,
    pub(super) attempt: AttemptKey,
    pub(super) at: Millis,
    pub(super) is_recorded: bool,
}

/// Starts of one workspace within a step.
#[derive(Debug, Clone, Copy)]
struct StartRecord {
    workspace: WorkspaceKey,
    at: Millis,
    count: u32,
}

/// The number of starts by the time of their step and the workspace.
type Steps = BTreeMap<(Millis, WorkspaceKey), u32>;

/// The starts of requests on an entry host.
#[derive(Debug, Clone, Default)]
pub struct StartLog {
    pub(super) names: WorkspaceNames,
    /// The requests of workspaces that were sent to upstreams, until they have ended.
    pub(super) dispatched: BTreeMap<RequestKey, Dispatched>,
    /// Starts that were sent in no message yet.
    new: Steps,
    /// Records that the leader has not acknowledged, in the order of their numbers.
    unacknowledged: VecDeque<StartRecord>,
    /// The number of the first of these records.
    first_seq: u64,
    /// Starts that the leader has, kept for the next one.
    acknowledged: Steps,
    /// How often starts were merged in coarse steps because there were too many records.
    pub merges: u64,
    /// The number of starts that were dropped although the leader did not have them.
    pub lost: u64,
}

/// Returns the step of a start; a coarse step is named by the fine one in its middle.
fn step_of(at: Millis, step: Millis) -> Millis {
    Millis(at.0 / step.0 * step.0) + Millis((step.0 - STEP.0) / 2)
}

impl StartLog {
    /// Records the start of a request.
    pub(super) fn record(&mut self, workspace: WorkspaceKey, at: Millis) {
        let is_full = self.len() >= MAX_RECORDS;
        let step = if is_full { COARSE_STEP } else { STEP };
        *self.new.entry((step_of(at, step), workspace)).or_default() += 1;
        self.merges += u64::from(is_full);
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.new.len() + self.unacknowledged.len() + self.acknowledged.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether there are starts that were sent in no message yet.
    #[must_use]
    pub fn has_new(&self) -> bool {
        !self.new.is_empty()
    }

    /// Returns whether there are starts that the leader has not acknowledged.
    #[must_use]
    pub fn has_unacknowledged(&self) -> bool {
        self.has_new() || !self.unacknowledged.is_empty()
    }

    /// Makes all records new ones, for a leader that has none of them.
    pub(super) fn send_all_again(&mut self) {
        let mut all = std::mem::take(&mut self.acknowledged);
        self.first_seq += self.unacknowledged.len() as u64;
        for record in std::mem::take(&mut self.unacknowledged) {
            *all.entry((record.at, record.workspace)).or_default() += record.count;
        }
        for (step, count) in std::mem::take(&mut self.new) {
            *all.entry(step).or_default() += count;
        }
        self.new = all;
    }

    /// Drops the records that are too old for any window that is still counted.
    pub(super) fn expire(&mut self, now: Millis) {
        let oldest = Millis(now.0.saturating_sub(RETENTION.0));
        let from = (oldest, WorkspaceKey::default());
        self.acknowledged = self.acknowledged.split_off(&from);
        let recent = self.new.split_off(&from);
        let expired = std::mem::replace(&mut self.new, recent);
        self.lost += expired.values().copied().map(u64::from).sum::<u64>();
        while self.unacknowledged.front().is_some_and(|record| record.at < oldest) {
            let Some(record) = self.pop_unacknowledged() else { break };
            self.lost += u64::from(record.count);
        }
        // Records of very many workspaces are too many in coarse steps too.
        while self.len() > MAX_RECORDS && self.acknowledged.pop_first().is_some() {}
        while self.len() > MAX_RECORDS {
            let Some(record) = self.pop_unacknowledged() else { break };
            self.lost += u64::from(record.count);
        }
        while self.len() > MAX_RECORDS {
            let Some((_, count)) = self.new.pop_first() else { break };
            self.lost += u64::from(count);
        }
        self.forget_names();
    }

    /// Drops the names that no record refers to, once there are more of them than records may have.
    fn forget_names(&mut self) {
        if self.names.names.len() <= MAX_RECORDS {
            return;
        }
        let mut used: BTreeSet<WorkspaceKey> =
            self.unacknowledged.iter().map(|record| record.workspace).collect();
        used.extend(self.new.keys().chain(self.acknowledged.keys()).map(|(_, key)| *key));
        used.extend(self.dispatched.values().map(|dispatched| dispatched.workspace));
        self.names.retain(&used);
    }

    fn pop_unacknowledged(&mut self) -> Option<StartRecord> {
        let record = self.unacknowledged.pop_front()?;
        self.first_seq += 1;
        Some(record)
    }

    /// Handles the acknowledgement of the records before a number.
    pub(super) fn acknowledge(&mut self, next_seq: u64) {
        while self.first_seq < next_seq {
            let Some(record) = self.pop_unacknowledged() else { return };
            let is_many = self.len() >= MAX_RECORDS / 2;
            let step = if is_many { COARSE_STEP } else { STEP };
            let step = (step_of(record.at, step), record.workspace);
            *self.acknowledged.entry(step).or_default() += record.count;
        }
    }

    /// Returns a message with the first records that are not acknowledged; the caller fills in the
    /// fencing token, the boot id and the number.
    ///
    /// `transit` is the expected time until the message arrives, which makes its starts older.
    pub(super) fn message(&mut self, now: Millis, transit: Millis) -> UsageStarts {
        for ((at, workspace), count) in std::mem::take(&mut self.new) {
            self.unacknowledged.push_back(StartRecord { workspace, at, count });
        }
        let mut positions: BTreeMap<WorkspaceKey, u32> = BTreeMap::new();
        let (mut workspaces, mut records) = (Vec::new(), Vec::new());
        for record in self.unacknowledged.iter().take(MAX_RECORDS_PER_MESSAGE) {
            let position = *positions.entry(record.workspace).or_insert_with(|| {
                workspaces.push(self.names.name(record.workspace).into());
                u32::try_from(workspaces.len() - 1).unwrap_or(u32::MAX)
            });
            // Starts lie anywhere in their step, so its middle is the best guess.
            let age = (now + transit).since(record.at + Millis(STEP.0 / 2));
            records.push((position, u32::try_from(age.0).unwrap_or(u32::MAX), record.count));
        }
        let (fence, boot_id, number) = (0, 0, 0);
        UsageStarts { fence, boot_id, number, first_seq: self.first_seq, workspaces, records }
    }
}
