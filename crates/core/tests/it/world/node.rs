//! A simulated host.

use chestnutdrift_core::action::Action;
use chestnutdrift_core::agreement::{GroupId, Record};
use chestnutdrift_core::event::Event;
use chestnutdrift_core::key::SyncToken;
use chestnutdrift_core::{Core, Millis, Now, PeerSpec};

use super::{START_WALL_MS, core, host_settings};

/// A host: its core, which is `None` while the host is stopped, and its disk.
pub(crate) struct Node {
    pub(crate) name: Box<str>,
    pub(crate) zone: Box<str>,
    pub(crate) core: Option<Core>,
    pub(crate) boot_id: u64,
    pub(crate) is_frozen: bool,
    pub(crate) tick: u64,
    pub(crate) disk: Vec<Record>,
    /// The handled events with their times and actions; `None` unless the test records them.
    pub(crate) recording: Option<Vec<(Now, Event, Vec<Action>)>>,
    has_disk: bool,
    incarnation: u64,
    unsynced: Vec<(SyncToken, Vec<Record>)>,
    queued_events: Vec<Event>,
    started_at: u64,
    index: usize,
    fleet: Vec<PeerSpec>,
    seed: u64,
}

impl Node {
    pub(super) fn new(index: usize, fleet: Vec<PeerSpec>, seed: u64) -> Self {
        Self {
            name: fleet[index].name.clone(),
            zone: fleet[index].zone.clone(),
            core: None,
            boot_id: 0,
            is_frozen: false,
            tick: 0,
            disk: Vec::new(),
            recording: None,
            has_disk: fleet[index].disk,
            incarnation: 0,
            unsynced: Vec::new(),
            queued_events: Vec::new(),
            started_at: 0,
            index,
            fleet,
            seed,
        }
    }

    /// Starts the core and returns the records on the disk.
    pub(super) fn start(&mut self, now: u64, boot_id: u64, clock: Now) -> Vec<Record> {
        self.boot_id = boot_id;
        self.started_at = now;
        self.is_frozen = false;
        if !self.has_disk || self.incarnation == 0 {
            self.incarnation = boot_id;
        }
        let seed = self.seed.wrapping_add(boot_id);
        let cfg = host_settings(self.index, &self.fleet, self.incarnation, seed);
        self.core = Some(core(cfg, clock));
        self.disk.clone()
    }

    pub(super) fn kill(&mut self) {
        self.core = None;
        self.unsynced.clear();
        self.queued_events.clear();
    }

    pub(super) fn lose_disk(&mut self) {
        assert!(self.core.is_none(), "the host is running");
        self.disk.clear();
        self.incarnation = 0;
    }

    pub(super) fn persist(&mut self, token: SyncToken, records: Vec<Record>) {
        self.unsynced.push((token, records));
    }

    pub(super) fn sync(&mut self, synced: SyncToken) {
        for (token, records) in std::mem::take(&mut self.unsynced) {
            if token <= synced {
                self.disk.extend(records);
            } else {
                self.unsynced.push((token, records));
            }
        }
    }

    /// Handles an event and returns the actions and the time of the next tick.
    ///
    /// Returns `None` while the host is stopped or frozen; a frozen host queues the event
    /// unless it is a tick.
    pub(super) fn handle(&mut self, now: u64, event: Event) -> Option<(Vec<Action>, u64)> {
        let core = self.core.as_mut()?;
        if self.is_frozen {
            if !matches!(event, Event::Tick) {
                self.queued_events.push(event);
            }
            return None;
        }
        let clock =
            Now::new(Millis(now - self.started_at), Millis(START_WALL_MS + now + self.boot_id));
        let actions = core.handle(clock, event.clone());
        if let Some(recording) = &mut self.recording {
            recording.push((clock, event, actions.clone()));
        }
        self.tick += 1;
        let deadline = core.next_deadline().0.saturating_add(self.started_at).max(now + 1);
        Some((actions, deadline.min(now + 1_000)))
    }

    pub(super) fn thaw(&mut self) -> Vec<Event> {
        self.is_frozen = false;
        let mut events = std::mem::take(&mut self.queued_events);
        events.push(Event::Tick);
        events
    }

    pub(super) fn describe(&self) -> String {
        let Some(core) = &self.core else { return format!("{}: stopped\n", self.name) };
        let board = core.board();
        let mut text = format!(
            "{}: ready {}, settings {}, {} requests, {} attempts",
            self.name,
            board.ready,
            board.active_settings.settings.version,
            board.requests.len(),
            board.attempts.len(),
        );
        for group in [GroupId::Fleet, GroupId::Zone] {
            let Some(group_replica) = board.groups.group(group) else { continue };
            let replica = &group_replica.replica;
            text.push_str(&format!(
                "; {group:?} {:?} term {} log {} commit {} voters {:?}",
                replica.role(),
                replica.term(),
                replica.log().last_index(),
                replica.commit_index(),
                replica.voters().iter().map(|voter| voter.host.0).collect::<Vec<_>>(),
            ));
        }
        text.push('\n');
        text
    }
}
