//! Items of jobs that are to be run, on the host that leads the directory group.

use std::sync::Arc;

use crate::directory::{ItemSpec, ItemText, JobSpec, TextPart};
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
    pub give_up_at: Millis,
    /// The items that are not listed yet.
    pub open_items: Vec<ItemKey>,
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
    pub text: ItemText,
    /// Events of the run in progress, and when the last report of them came.
    pub progress: (u32, Millis),
    /// Runs that the upstream failed.
    pub failures: u32,
    /// Runs so far.
    pub runs: u32,
    /// The upstream of the last run that did not end well.
    pub avoid: Option<UpstreamKey>,
    /// How much of the text has been given to the log.
    logged: Logged,
}

/// The beginning of a text, in events and in bytes.
#[derive(Debug, Clone, Copy, Default)]
struct Logged {
    events: u32,
    bytes: usize,
}

impl Item {
    /// Makes an item that waits.
    #[must_use]
    pub fn new(job: JobKey, index: u32, now: Millis) -> Self {
        Self {
            job,
            index,
            state: ItemState::Waiting(now),
            text: ItemText::default(),
            progress: (0, now),
            failures: 0,
            runs: 0,
            avoid: None,
            logged: Logged::default(),
        }
    }

    /// Goes on from what the log holds of the text.
    pub fn resume_from_log(&mut self, text: ItemText) {
        self.logged = Logged { events: text.events, bytes: text.text.len() };
        self.text = text;
    }

    /// Returns how many events of the text have been given to the log.
    #[must_use]
    pub fn logged_events(&self) -> u32 {
        self.logged.events
    }

    /// Returns the text behind what has been given to the log.
    #[must_use]
    pub fn unlogged_text(&self) -> &str {
        &self.text.text[self.logged.bytes..]
    }

    /// Takes the part of the text that the log lacks, to be given to it.
    pub fn take_unlogged_part(&mut self) -> TextPart {
        let after = self.logged.events;
        let text = self.unlogged_text();
        let text = if after > 0 { text.strip_prefix('\n').unwrap_or(text) } else { text };
        let text = ItemText {
            text: text.into(),
            events: self.text.events - after,
            last_event: self.text.last_event,
            versions: self.text.versions.clone(),
        };
        self.logged = Logged { events: self.text.events, bytes: self.text.text.len() };
        TextPart { item: self.index, event_offset: after, text: Arc::new(text) }
    }

    /// Forgets the text, so that the next run begins anew.
    pub fn discard_text(&mut self) {
        self.text = ItemText::default();
        self.logged = Logged::default();
    }
}

impl JobRun {
    /// Returns what an item asks for.
    #[must_use]
    pub fn item(&self, index: u32) -> Option<&ItemSpec> {
        self.spec.items.get(index as usize)
    }
}
