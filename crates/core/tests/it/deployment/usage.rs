//! Entry hosts of a simulated deployment that only record usage.
//!
//! They run the controller that records starts on a board of their own, with requests of workspaces put
//! there by the test.

use std::collections::BTreeMap;

use chestnutdrift_core::directory::UsageCounts;
use chestnutdrift_core::gateway::board::{Attempt, Board, Purpose, Request, RequestState};
use chestnutdrift_core::gateway::message::GatewayMessage;
use chestnutdrift_core::gateway::usage::recording::{Recording, note_dispatch};
use chestnutdrift_core::gateway::{Action, Controller, Event, ForwardEnd, GatewaySettings, Role};
use chestnutdrift_core::key::RequestKey;
use chestnutdrift_core::message::{Envelope, Message};
use chestnutdrift_core::timeline::Stamp;
use chestnutdrift_core::{AttemptKey, Fingerprint, HostId, Millis, Now, RequestTag};

use super::provider::settings;
use super::{Deployment, START_WALL_MS, Scheduled, routing};

/// The interval at which an entry hears of the leader from a store.
const HELLO_INTERVAL_MS: u64 = 1_000;

/// A simulated entry host that records usage.
pub(crate) struct UsageEntry {
    board: Board,
    recording: Recording,
    started_at: u64,
    next_hello: u64,
    /// A wall clock that is wrong makes no difference.
    wall_offset: u64,
}

/// An event of a simulated entry.
pub(super) enum EntryEvent {
    Tick,
    Received(Box<Envelope>),
    Ended(AttemptKey, ForwardEnd),
}

impl Deployment {
    /// Adds an entry host that records usage.
    pub(crate) fn add_usage_entry(&mut self, id: HostId) {
        self.add_usage_entry_as(id, START_WALL_MS + self.now);
    }

    /// Adds the same as a process with a boot id.
    pub(crate) fn add_usage_entry_as(&mut self, id: HostId, boot_id: u64) {
        let cfg = GatewaySettings::new(id, "entry", "zone-1", Role::Entry)
            .instance_ids(1, boot_id)
            .provider(settings());
        let board = Board::new(cfg, Now::default());
        let (started_at, next_hello) = (self.now, self.now);
        let wall_offset = u64::from(id.0) * 1_000;
        let recording = Recording::default();
        let entry = UsageEntry { board, recording, started_at, next_hello, wall_offset };
        self.usage_entries.insert(id, entry);
        self.schedule(self.now, Scheduled::Entry(id, EntryEvent::Tick));
    }

    /// Sends a request of a workspace to an upstream, which answers after a time as told, and counts it
    /// if it runs.
    pub(crate) fn request_of(
        &mut self,
        entry: HostId,
        workspace: &str,
        millis: u64,
        end: ForwardEnd,
    ) {
        let now = self.now;
        let Some(host) = self.usage_entries.get_mut(&entry) else { return };
        let board = &mut host.board;
        board.now = Now::new(Millis(now - host.started_at), Millis(now));
        let request = board.requests.insert(Request {
            priority: 0,
            strips_key: true,
            tag: RequestTag(0),
            trace: "request".into(),
            fingerprint: Fingerprint::default(),
            route: routing(1).routes[0].clone(),
            workspace: Some(workspace.into()),
            service: "desk".into(),
            resumes: None,
            origin: None,
            continuing: None,
            opened: board.now.mono,
            until: Millis::MAX,
            state: RequestState::Waiting,
            attempts: 0,
            tried: Vec::new(),
            unsent: false,
            maybe_ran: false,
            held: false,
            last_failure: Box::default(),
        });
        let attempt = begin(board, request);
        let is_run = matches!(end, ForwardEnd::Delivered { .. });
        if is_run {
            let counts = self.started.entry(Self::window_at(now)).or_default();
            *counts.entry(workspace.into()).or_default() += 1;
        }
        let ended = EntryEvent::Ended(attempt, end);
        self.schedule(now + millis, Scheduled::Entry(entry, ended));
    }

    /// Lets a message of a store arrive at an entry.
    pub(crate) fn deliver_to_entry(&mut self, id: HostId, from: HostId, message: GatewayMessage) {
        let (stamp, message) = (Stamp::default(), Message::Gateway(Box::new(message)));
        let envelope = Box::new(Envelope { from, stamp, message });
        self.handle_entry(id, EntryEvent::Received(envelope));
    }

    /// Returns the number of records of an entry.
    pub(crate) fn usage_records(&self, id: HostId) -> usize {
        self.usage_entries[&id].board.usage.len()
    }

    /// Kills an entry that records usage.
    pub(crate) fn kill_usage_entry(&mut self, id: HostId) {
        self.usage_entries.remove(&id);
    }

    /// Runs for a time in which requests of two workspaces come at each entry, none of them close to
    /// the end of a window.
    pub(crate) fn run_with_requests(&mut self, millis: u64) {
        let end = self.now + millis;
        let mut number = 0;
        while self.now < end {
            self.run(37);
            number += 1;
            let in_window = (START_WALL_MS + self.now) % super::provider::WINDOW_MS;
            if !(100..super::provider::WINDOW_MS - 100).contains(&in_window) {
                continue;
            }
            let workspace = if number % 3 == 0 { "blue" } else { "red" };
            let entries: Vec<HostId> = self.usage_entries.keys().copied().collect();
            for entry in entries {
                // Some run for longer than it takes to record and send a start.
                let millis = if number % 7 == 0 { 6_000 } else { 50 };
                self.request_of(entry, workspace, millis, ForwardEnd::Delivered { status: 200 });
            }
        }
    }

    /// Returns the counts of the requests that began to run in a window.
    pub(crate) fn expected_counts(&self, window: u64) -> UsageCounts {
        self.started.get(&window).cloned().unwrap_or_default()
    }

    pub(super) fn handle_entry(&mut self, id: HostId, event: EntryEvent) {
        let now = self.now;
        let leader = self.leader_as_told(id);
        let Some(entry) = self.usage_entries.get_mut(&id) else { return };
        let wall = Millis(START_WALL_MS + now + entry.wall_offset);
        let board = &mut entry.board;
        board.now = Now::new(Millis(now - entry.started_at), wall);
        let event = match event {
            EntryEvent::Tick => Event::Tick,
            EntryEvent::Received(envelope) => Event::Received(*envelope),
            EntryEvent::Ended(attempt, end) => Event::ForwardEnded { attempt, end },
        };
        if now >= entry.next_hello {
            entry.next_hello = now + HELLO_INTERVAL_MS;
            board.leader = board.leader.max(leader);
        }
        entry.recording.run(board, Some(&event));
        if let Event::ForwardEnded { attempt, end } = event {
            let ended = board.attempts.remove(attempt);
            if let Some(Attempt { purpose: Purpose::Request(request), .. }) = ended {
                if matches!(end, ForwardEnd::Delivered { .. } | ForwardEnd::NotSent { .. }) {
                    board.requests.remove(request);
                } else {
                    // Forwarding tries another upstream.
                    begin(board, request);
                }
            }
        }
        let actions = std::mem::take(&mut board.actions);
        let next = entry.recording.next_deadline(board).0.saturating_add(entry.started_at);
        let next = next.min(entry.next_hello).max(now + 1);
        for action in actions {
            let Action::Send { to, envelope } = action else { continue };
            self.send(id, to, envelope);
        }
        self.schedule(next, Scheduled::Entry(id, EntryEvent::Tick));
    }

    /// Returns the leader as the store that an entry says hello to knows it.
    fn leader_as_told(&self, entry: HostId) -> Option<(u64, HostId)> {
        let stores = self.nodes.iter().filter(|(id, node)| {
            let is_reached = !self.cut_links.contains(&(entry, **id));
            is_reached && !node.is_frozen && node.role == Role::Store
        });
        stores.filter_map(|(_, node)| node.gateway.as_ref()?.board().leader).max()
    }
}

fn begin(board: &mut Board, request: RequestKey) -> AttemptKey {
    let attempt = board.attempts.insert(Attempt {
        purpose: Purpose::Request(request),
        upstream: chestnutdrift_core::UpstreamKey::default(),
        incarnation: 0,
        started: board.now.mono,
        relayed: false,
        tokens: 0,
    });
    note_dispatch(board, request, attempt);
    attempt
}

/// The starts of requests by window.
pub(crate) type Started = BTreeMap<u64, UsageCounts>;
