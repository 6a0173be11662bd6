//! Runs of items that end before their engine has generated all events.

use std::collections::BTreeMap;

use chestnutdrift_core::HostId;
use chestnutdrift_core::directory::ItemText;
use chestnutdrift_core::gateway::{Event, ItemEnd, ItemRunReport};
use chestnutdrift_core::key::AttemptKey;

use super::{Deployment, Scheduled};

/// The engine of each run.
pub(crate) type Runs = BTreeMap<(HostId, AttemptKey), usize>;

impl Deployment {
    /// Ends a run without the events that were not reported yet.
    pub(super) fn cancel_run(&mut self, host: HostId, boot_id: u64, attempt: AttemptKey) {
        self.end_run(host, boot_id, attempt, ItemEnd::Cancelled);
    }

    /// Takes an engine away, which breaks off its runs, and returns how many there were.
    pub(crate) fn take_away(&mut self, id: &str) -> usize {
        let index = self.engine_index(id);
        self.engines[index].up = false;
        let runs = self.runs.iter().flatten().filter(|(_, engine)| **engine == index);
        let mut broken = 0;
        for (host, attempt) in runs.map(|(run, _)| *run).collect::<Vec<_>>() {
            let end = ItemEnd::Broken { detail: "taken away".into() };
            broken += usize::from(self.end_run(host, self.boot_id(host), attempt, end));
        }
        broken
    }

    /// Ends a run unless it has ended, and returns whether it did.
    fn end_run(&mut self, host: HostId, boot_id: u64, attempt: AttemptKey, end: ItemEnd) -> bool {
        if self.runs.as_mut().and_then(|runs| runs.remove(&(host, attempt))).is_none() {
            return false;
        }
        let before = self.queue.len();
        self.queue.retain(|_, event| match event {
            Scheduled::Event(to, _, Event::ItemProgress(progress)) => {
                *to != host || progress.iter().all(|(of, _)| *of != attempt)
            }
            Scheduled::Event(to, _, Event::ItemEnded { attempt: of, .. }) => {
                *to != host || *of != attempt
            }
            _ => true,
        });
        let had_events = self.queue.len() < before;
        if had_events {
            let run = ItemRunReport { text: ItemText::default(), end };
            let event = Event::ItemEnded { attempt, run };
            self.schedule(self.now + 2, Scheduled::Event(host, boot_id, event));
        }
        had_events
    }
}
