//! Items of jobs that are to be run, on the host that leads the directory group.

use std::sync::Arc;

use crate::directory::{ItemSpec, JobSpec};
use crate::key::{AttemptKey, ItemKey, JobKey, UpstreamKey};
use crate::time::Millis;

/// A job whose items this host runs.
#[derive(Debug, Clone)]
pub struct JobRun {
    /// The job.
    pub spec: Arc<JobSpec>,
    /// When its results are due, on this host's monotonic clock.
    pub due: Millis,
    /// When its items may be given up.
    pub give_up: Millis,
    /// The items that are not listed yet.
    pub open: Vec<ItemKey>,
}

/// Where an item stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemState {
    /// It waits for an upstream, until a time at least.
    Waiting(Millis),
    /// An attempt runs.
    Running(AttemptKey),
    /// An attempt was given up; the item waits until that attempt has ended.
    Stopping(AttemptKey),
    /// Its result is on its way to the log.
    Proposed,
}

/// One item.
#[derive(Debug, Clone)]
pub struct Item {
    /// The job.
    pub job: JobKey,
    /// The index in the job.
    pub index: u32,
    /// Where it stands.
    pub state: ItemState,
    /// The text so far.
    pub text: String,
    /// The events so far.
    pub events: u32,
    /// Events of the run in progress, and when the last report of them came.
    pub progress: (u32, Millis),
    /// The id of the last event.
    pub last_event: Option<u64>,
    /// The versions that generated the text so far, ascending.
    pub versions: Vec<u64>,
    /// Runs that the upstream failed.
    pub failures: u32,
    /// Runs so far.
    pub runs: u32,
    /// The upstream of the last run that did not end well.
    pub avoid: Option<UpstreamKey>,
}

impl Item {
    /// Makes an item that waits.
    #[must_use]
    pub fn new(job: JobKey, index: u32, now: Millis) -> Self {
        Self {
            job,
            index,
            state: ItemState::Waiting(now),
            text: String::new(),
            events: 0,
            progress: (0, now),
            last_event: None,
            versions: Vec::new(),
            failures: 0,
            runs: 0,
            avoid: None,
        }
    }

    /// Forgets the text, so that the next run begins anew.
    pub fn restart(&mut self) {
        self.text.clear();
        self.events = 0;
        self.last_event = None;
        self.versions.clear();
    }
}

impl JobRun {
    /// Returns what an item asks for.
    #[must_use]
    pub fn item(&self, index: u32) -> Option<&ItemSpec> {
        self.spec.items.get(index as usize)
    }
}
