//! Items of jobs to run, on the host that leads the directory group.

use std::sync::Arc;

use crate::directory::{ItemSpec, ItemText, JobSpec, TextPart};
use crate::key::{AttemptKey, ItemKey, JobKey, UpstreamKey};
use crate::time::Millis;

/// A job whose items this host runs.
#[derive(Debug, Clone)]
pub struct JobRun {
    /// The content of the job.
    pub spec: Arc<JobSpec>,
    /// When its results are due, on this host's monotonic clock.
    pub due: Millis,
    /// When its items without a result get an errored result, on this host's monotonic clock.
    pub give_up_at: Millis,
    /// The items that have no committed result yet.
    pub open_items: Vec<ItemKey>,
}

/// The state of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemState {
    /// Waits for an upstream, at least until the given time.
    Waiting(Millis),
    /// Runs in the given attempt.
    Running(AttemptKey),
    /// Waits for the given attempt, which was cancelled, to end.
    Stopping(AttemptKey),
    /// Has a complete text, which waits for its reward call at least until the given time.
    Unscored(Millis),
    /// Has a complete text, and its reward call is the given attempt.
    Scoring(AttemptKey),
    /// Has a result that is proposed to the replicated log and not committed yet.
    Proposed,
}

/// An item of a job.
#[derive(Debug, Clone)]
pub struct Item {
    /// The job.
    pub job: JobKey,
    /// The index in the job.
    pub index: u32,
    /// The state.
    pub state: ItemState,
    /// The text that its runs have produced so far.
    pub text: ItemText,
    /// Number of reported events of the current run, and when the last report came.
    pub progress: (u32, Millis),
    /// Number of runs that an upstream answered with a failure.
    pub failures: u32,
    /// Number of runs that were started.
    pub runs: u32,
    /// Number of runs in a row that broke off after a few events or none.
    pub short_runs: u32,
    /// The software version of the upstream of the last run.
    pub run_software: Box<str>,
    /// Whether the events of the current run are dropped, since another version may have written them.
    pub is_run_void: bool,
    /// The upstream of the last run, where that run did not complete the text.
    pub avoid: Option<UpstreamKey>,
    /// Whether a run has ended the text without an event since the last event.
    pub end_reported: bool,
    /// When the text was complete, on this host's monotonic clock; `None` while it is not.
    pub whole_at: Option<Millis>,
    /// Number of reward calls that were started for the text.
    pub reward_calls: u32,
    /// Number of reward calls that an upstream answered with a failure.
    pub reward_failures: u32,
    /// The beginning of the text that has been proposed to the replicated log.
    logged_prefix: LoggedPrefix,
}

/// The length of the beginning of a text that has been proposed to the replicated log, in events
/// and in bytes.
#[derive(Debug, Clone, Copy, Default)]
struct LoggedPrefix {
    events: u32,
    bytes: usize,
}

impl Item {
    /// Creates an item that waits for an upstream.
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
            short_runs: 0,
            run_software: Box::default(),
            is_run_void: false,
            avoid: None,
            end_reported: false,
            whole_at: None,
            reward_calls: 0,
            reward_failures: 0,
            logged_prefix: LoggedPrefix::default(),
        }
    }

    /// Appends events of the last run.
    pub fn append_events(&mut self, events: &ItemText) {
        if self.is_run_void {
            return;
        }
        let begins = self.text.events == 0;
        self.text.append(events);
        if begins {
            self.text.software.clone_from(&self.run_software);
        }
    }

    /// Makes the text complete, so that only its score is missing.
    pub fn complete_text(&mut self, now: Millis) {
        self.whole_at = Some(now);
        self.state = ItemState::Unscored(now);
    }

    /// Returns how many events the text is expected to lack, or `None` if the caller stated nothing.
    #[must_use]
    pub fn remaining_events(&self, spec: &JobSpec, tokens_per_event: u32) -> Option<u32> {
        let expected = spec.items.get(self.index as usize)?.expected_tokens;
        let events = expected.div_ceil(tokens_per_event.max(1));
        (expected > 0).then(|| events.saturating_sub(self.text.events))
    }

    /// Sets the text to the part that the replicated log holds, from which the next run continues.
    pub fn resume_from_log(&mut self, text: ItemText) {
        self.logged_prefix = LoggedPrefix { events: text.events, bytes: text.text.len() };
        self.text = text;
    }

    /// Returns the number of events of the text that have been proposed to the replicated log.
    #[must_use]
    pub fn logged_events(&self) -> u32 {
        self.logged_prefix.events
    }

    /// Returns the text after the part that has been proposed to the replicated log.
    #[must_use]
    pub fn unlogged_text(&self) -> &str {
        &self.text.text[self.logged_prefix.bytes..]
    }

    /// Returns the part of the text that has not been proposed to the replicated log, and counts it
    /// as proposed.
    pub fn take_unlogged_part(&mut self) -> TextPart {
        let after = self.logged_prefix.events;
        let text = self.unlogged_text();
        let text = if after > 0 { text.strip_prefix('\n').unwrap_or(text) } else { text };
        let text = ItemText {
            text: text.into(),
            events: self.text.events - after,
            last_event: self.text.last_event,
            versions: self.text.versions.clone(),
            software: self.text.software.clone(),
        };
        self.logged_prefix = LoggedPrefix { events: self.text.events, bytes: self.text.text.len() };
        TextPart { item: self.index, event_offset: after, text: Arc::new(text) }
    }

    /// Discards the text, so that the next run starts from the beginning.
    pub fn discard_text(&mut self) {
        self.text = ItemText::default();
        self.logged_prefix = LoggedPrefix::default();
    }
}

impl JobRun {
    /// Returns the content of an item, or `None` where the job has no such index.
    #[must_use]
    pub fn item(&self, index: u32) -> Option<&ItemSpec> {
        self.spec.items.get(index as usize)
    }
}
