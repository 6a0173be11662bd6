//! One host of a world.

use chestnutdrift_core::action::Action;
use chestnutdrift_core::agreement::{GroupId, Record};
use chestnutdrift_core::event::Event;
use chestnutdrift_core::key::SyncToken;
use chestnutdrift_core::{Core, Millis, Now, PeerSpec};

use super::{EPOCH, core, host_settings};

/// One host: a core, or none while it does not run, and a disk.
pub(crate) struct Node {
    pub(crate) name: Box<str>,
    pub(crate) zone: Box<str>,
    pub(crate) core: Option<Core>,
    pub(crate) life: u64,
    pub(crate) frozen: bool,
    pub(crate) tick: u64,
    pub(crate) disk: Vec<Record>,
    /// Every event with its time and every batch of actions, while it is recorded.
    pub(crate) recording: Option<Vec<(Now, Event, Vec<Action>)>>,
    has_disk: bool,
    incarnation: u64,
    unsynced: Vec<(SyncToken, Vec<Record>)>,
    inbox: Vec<Event>,
    started: u64,
    at: usize,
    fleet: Vec<PeerSpec>,
    seed: u64,
}

impl Node {
    pub(super) fn new(at: usize, fleet: Vec<PeerSpec>, seed: u64) -> Self {
        Self {
            name: fleet[at].name.clone(),
            zone: fleet[at].zone.clone(),
            core: None,
            life: 0,
            frozen: false,
            tick: 0,
            disk: Vec::new(),
            recording: None,
            has_disk: fleet[at].disk,
            incarnation: 0,
            unsynced: Vec::new(),
            inbox: Vec::new(),
            started: 0,
            at,
            fleet,
            seed,
        }
    }

    /// Starts the core and returns what its disk holds.
    pub(super) fn start(&mut self, now: u64, life: u64, clock: Now) -> Vec<Record> {
        self.life = life;
        self.started = now;
        self.frozen = false;
        if !self.has_disk || self.incarnation == 0 {
            self.incarnation = life;
        }
        let seed = self.seed.wrapping_add(life);
        let cfg = host_settings(self.at, &self.fleet, self.incarnation, seed);
        self.core = Some(core(cfg, clock));
        self.disk.clone()
    }

    pub(super) fn kill(&mut self) {
        self.core = None;
        self.unsynced.clear();
        self.inbox.clear();
    }

    pub(super) fn lose_disk(&mut self) {
        assert!(self.core.is_none(), "the host runs");
        self.disk.clear();
        self.incarnation = 0;
    }

    pub(super) fn persist(&mut self, token: SyncToken, records: Vec<Record>) {
        self.unsynced.push((token, records));
    }

    pub(super) fn sync(&mut self, upto: SyncToken) {
        for (token, records) in std::mem::take(&mut self.unsynced) {
            if token <= upto {
                self.disk.extend(records);
            } else {
                self.unsynced.push((token, records));
            }
        }
    }

    /// Handles an event and returns what is to be done, and when to tick at the latest.
    pub(super) fn handle(&mut self, now: u64, event: Event) -> Option<(Vec<Action>, u64)> {
        let core = self.core.as_mut()?;
        if self.frozen {
            if !matches!(event, Event::Tick) {
                self.inbox.push(event);
            }
            return None;
        }
        let clock = Now::new(Millis(now - self.started), Millis(EPOCH + now + self.life));
        let actions = core.handle(clock, event.clone());
        if let Some(recording) = &mut self.recording {
            recording.push((clock, event, actions.clone()));
        }
        self.tick += 1;
        let deadline = core.next_deadline().0.saturating_add(self.started).max(now + 1);
        Some((actions, deadline.min(now + 1_000)))
    }

    pub(super) fn thaw(&mut self) -> Vec<Event> {
        self.frozen = false;
        let mut events = std::mem::take(&mut self.inbox);
        events.push(Event::Tick);
        events
    }

    pub(super) fn show(&self) -> String {
        let Some(core) = &self.core else { return format!("{}: does not run\n", self.name) };
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
            let Some(group_box) = board.groups.group(group) else { continue };
            let replica = &group_box.replica;
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
