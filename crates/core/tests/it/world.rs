//! A deterministic simulation of a fleet of cores.
//!
//! It takes the place of the daemon's I/O layer and performs the same actions. A seeded random
//! generator decides message delays and losses. Tests cut links, and kill, freeze and restart hosts
//! with or without their disks.

mod callers;
mod exchanges;
mod node;
mod upstreams;

use std::collections::{BTreeMap, BTreeSet};

use chestnutdrift_core::action::{Action, Answer, Dispatch, Target};
use chestnutdrift_core::event::{Arrival, AttemptEnd, Call, Event};
use chestnutdrift_core::key::SyncToken;
use chestnutdrift_core::message::Envelope;
use chestnutdrift_core::timeline::TimelineEvent;
use chestnutdrift_core::{
    AttemptKey, Core, HostId, HostSettings, Millis, Now, PeerSpec, RequestTag,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) use callers::SentCall;
pub(crate) use node::Node;
pub(crate) use upstreams::{Run, SimUpstream};

/// The wall-clock time at which a simulation starts, in milliseconds.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// The time until a connection to an unreachable host fails.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A scheduled event of the simulation; hosts are given by their index in [`World::nodes`].
#[derive(Debug, Clone)]
enum Scheduled {
    Tick(usize, u64),
    Deliver(usize, Envelope),
    Synced(usize, u64, SyncToken),
    Ended(usize, u64, AttemptKey, AttemptEnd),
    Arrive(usize, Arrival, Origin),
    ReturnAnswer(usize, u64, RequestTag, Answer, AttemptKey),
    OrderEnded(usize, u64, chestnutdrift_core::key::OrderKey, Option<u64>),
    Announce(usize),
    Thaw(usize),
}

/// The sender of a call.
#[derive(Debug, Clone)]
enum Origin {
    /// A caller; the index of the call in [`World::sent_calls`].
    Caller(usize),
    /// A forwarding host: its index, its boot ID, the attempt, and the tag of the call there.
    Host(usize, u64, AttemptKey, RequestTag),
}

/// A call that a host has received and not yet answered.
#[derive(Debug, Clone)]
struct PendingCall {
    arrival: Arrival,
    origin: Origin,
}

/// The delays and losses of the network and of the disks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    /// The minimum and maximum message delay, in milliseconds.
    pub(crate) delay: (u64, u64),
    /// The minimum and maximum duration of a disk sync, in milliseconds.
    pub(crate) sync: (u64, u64),
    /// The share of messages between hosts that is lost, in percent.
    pub(crate) drop_percent: u32,
    /// The share of replies to callers that is lost, in percent.
    pub(crate) lost_replies_percent: u32,
}

impl Default for Network {
    fn default() -> Self {
        Self { delay: (1, 4), sync: (1, 4), drop_percent: 0, lost_replies_percent: 0 }
    }
}

/// A simulated fleet with its network, upstreams and callers.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Network,
    pub(crate) upstreams: Vec<SimUpstream>,
    pub(crate) runs: Vec<Run>,
    pub(crate) sent_calls: Vec<SentCall>,
    pub(crate) timeline: Vec<TimelineEvent>,
    pub(crate) rng: Pcg64Mcg,
    cut_links: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    next_tag: u64,
    pending_calls: BTreeMap<(usize, RequestTag), PendingCall>,
    last_boot_id: u64,
    served_versions: BTreeMap<Box<str>, u64>,
}

impl World {
    /// Creates and starts `zones` zones of `hosts` hosts each, of which the first `disks` have a
    /// disk.
    pub(crate) fn new(seed: u64, zones: usize, hosts: usize, disks: usize) -> Self {
        let mut fleet = Vec::new();
        for index in 0..zones * hosts {
            fleet.push(PeerSpec {
                id: HostId(u32::try_from(index + 1).expect("a small fleet")),
                name: format!("h{}", index + 1).into(),
                zone: format!("z{}", index / hosts + 1).into(),
                disk: index % hosts < disks,
                http: "".into(),
            });
        }
        let mut world = Self {
            now: 0,
            nodes: Vec::new(),
            network: Network::default(),
            upstreams: Vec::new(),
            runs: Vec::new(),
            sent_calls: Vec::new(),
            timeline: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            cut_links: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            next_tag: 1,
            pending_calls: BTreeMap::new(),
            last_boot_id: 0,
            served_versions: BTreeMap::new(),
        };
        for host in 0..fleet.len() {
            world.nodes.push(Node::new(host, fleet.clone(), seed));
            world.start(host);
        }
        world
    }

    fn schedule(&mut self, time: u64, event: Scheduled) {
        self.sequence += 1;
        self.queue.insert((time.max(self.now), self.sequence), event);
    }

    fn delay(&mut self) -> u64 {
        let (min, max) = self.network.delay;
        self.rng.random_range(min..=max)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Starts a host and restores the records on its disk.
    pub(crate) fn start(&mut self, host: usize) {
        self.last_boot_id += 1;
        let (now, boot_id) = (self.now, self.last_boot_id);
        let clock = Now::new(Millis(0), Millis(START_WALL_MS + now + boot_id));
        let records = self.nodes[host].start(now, boot_id, clock);
        self.handle_event(host, Event::Restored(records));
    }

    /// Kills a host; records that were not synced and its pending calls are lost.
    pub(crate) fn kill(&mut self, host: usize) {
        self.nodes[host].kill();
        let lost: Vec<RequestTag> = self
            .pending_calls
            .keys()
            .filter(|(node, _)| *node == host)
            .map(|(_, tag)| *tag)
            .collect();
        for tag in lost {
            let Some(pending) = self.pending_calls.remove(&(host, tag)) else { continue };
            match pending.origin {
                Origin::Caller(index) => self.sent_calls[index].mark_lost(self.now),
                Origin::Host(node, boot_id, attempt, _) => {
                    let detail = "the connection broke".into();
                    let end = AttemptEnd::Broken { detail };
                    self.schedule(self.now + 1, Scheduled::Ended(node, boot_id, attempt, end));
                }
            }
        }
    }

    /// Erases the disk of a stopped host.
    pub(crate) fn lose_disk(&mut self, host: usize) {
        self.nodes[host].lose_disk();
    }

    /// Suspends a host for a time; its clocks continue.
    pub(crate) fn freeze(&mut self, host: usize, millis: u64) {
        self.nodes[host].is_frozen = true;
        self.schedule(self.now + millis, Scheduled::Thaw(host));
    }

    /// Drops all messages from one host to another.
    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Drops all messages between two sets of hosts, in both directions.
    pub(crate) fn cut_both_ways(&mut self, some: &[usize], others: &[usize]) {
        for &a in some {
            for &b in others {
                self.cut(a, b);
                self.cut(b, a);
            }
        }
    }

    /// Restores every cut link.
    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Returns the indexes of the hosts of a zone.
    pub(crate) fn zone(&self, name: &str) -> Vec<usize> {
        (0..self.nodes.len()).filter(|host| &*self.nodes[*host].zone == name).collect()
    }

    /// Advances the simulation by a time.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((&(time, sequence), _)) = self.queue.first_key_value() {
            if time > end {
                break;
            }
            self.now = time;
            let Some(event) = self.queue.remove(&(time, sequence)) else { break };
            self.step(event);
        }
        self.now = end;
    }

    /// Runs until a condition holds; fails the test if that takes longer than `millis`.
    pub(crate) fn run_until(&mut self, what: &str, millis: u64, holds: impl Fn(&Self) -> bool) {
        const STEP_MS: u64 = 10;
        let end = self.now + millis;
        while !holds(self) {
            assert!(self.now < end, "not within {millis} ms: {what}\n{}", self.describe());
            self.run(STEP_MS);
        }
    }

    /// Runs until the fleet and every zone have a leader with a lease, and all running hosts are
    /// ready.
    pub(crate) fn run_until_ready(&mut self) {
        self.run_until("every group has a leader and every host is ready", 20_000, |world| {
            use chestnutdrift_core::agreement::GroupId;
            let live = || world.nodes.iter().filter_map(|node| node.core.as_ref());
            let zones: BTreeSet<&str> = world.nodes.iter().map(|node| &*node.zone).collect();
            let has_leader = |zone: &str| {
                live().any(|core| {
                    &*core.board().cfg.zone == zone && core.board().leads(GroupId::Zone)
                })
            };
            live().any(|core| core.board().leads(GroupId::Fleet))
                && zones.into_iter().all(has_leader)
                && live().all(|core| core.board().ready)
        });
    }

    fn step(&mut self, event: Scheduled) {
        match event {
            Scheduled::Tick(host, tick) => {
                if self.nodes[host].tick == tick {
                    self.handle_event(host, Event::Tick);
                }
            }
            Scheduled::Deliver(host, envelope) => {
                self.handle_event(host, Event::Received(envelope));
            }
            Scheduled::Synced(host, boot_id, token) => {
                if self.nodes[host].boot_id == boot_id && self.nodes[host].core.is_some() {
                    self.nodes[host].sync(token);
                    self.handle_event(host, Event::Synced(token));
                }
            }
            Scheduled::Ended(host, boot_id, attempt, end) => {
                if self.nodes[host].boot_id == boot_id {
                    self.handle_event(host, Event::Ended { attempt, end });
                }
            }
            Scheduled::Arrive(host, arrival, origin) => self.arrive(host, arrival, origin),
            Scheduled::ReturnAnswer(host, boot_id, tag, answer, attempt) => {
                if self.nodes[host].boot_id == boot_id && self.nodes[host].core.is_some() {
                    self.answer(host, tag, answer);
                    let end = AttemptEnd::Whole { output: None, answer: None };
                    self.handle_event(host, Event::Ended { attempt, end });
                }
            }
            Scheduled::OrderEnded(host, boot_id, order, version) => {
                if self.nodes[host].boot_id == boot_id {
                    let obeyed = version.is_some();
                    self.handle_event(host, Event::OrderEnded { order, obeyed, version });
                }
            }
            Scheduled::Announce(upstream) => self.announce(upstream),
            Scheduled::Thaw(host) => {
                for event in self.nodes[host].thaw() {
                    self.handle_event(host, event);
                }
            }
        }
    }

    /// Passes an event to a host's core and performs the resulting actions.
    fn handle_event(&mut self, host: usize, event: Event) {
        let now = self.now;
        let Some((actions, deadline)) = self.nodes[host].handle(now, event) else { return };
        let tick = self.nodes[host].tick;
        self.schedule(deadline, Scheduled::Tick(host, tick));
        for action in actions {
            self.perform(host, action);
        }
        self.check_never_reverts(host);
    }

    /// Checks that a ready host never goes back to an older version of the settings, also across
    /// restarts.
    fn check_never_reverts(&mut self, host: usize) {
        let node = &self.nodes[host];
        let Some(core) = node.core.as_ref().filter(|core| core.board().ready) else { return };
        let version = core.board().active_settings.settings.version;
        let served = self.served_versions.entry(node.name.clone()).or_default();
        assert!(version >= *served, "{} went back from {served} to {version}", node.name);
        *served = version;
    }

    fn perform(&mut self, host: usize, action: Action) {
        let boot_id = self.nodes[host].boot_id;
        match action {
            Action::Send { to, envelope } => self.send_message(host, to, envelope),
            Action::Persist { token, records } => {
                self.nodes[host].persist(token, records);
                let (min, max) = self.network.sync;
                let delay = self.rng.random_range(min..=max);
                self.schedule(self.now + delay, Scheduled::Synced(host, boot_id, token));
            }
            Action::Answer { tag, answer } => self.answer(host, tag, answer),
            Action::Finish { tag, .. } => self.finish(host, tag),
            Action::Dispatch(dispatch) => self.dispatch(host, &dispatch),
            Action::Order { order, address, task, fence, .. } => {
                let version = self.order(&address, &task, fence);
                self.schedule(self.now + 50, Scheduled::OrderEnded(host, boot_id, order, version));
            }
            Action::Note(event) => self.timeline.push(event),
            Action::Cancel { attempt } => {
                self.schedule(
                    self.now + 1,
                    Scheduled::Ended(host, boot_id, attempt, AttemptEnd::Cancelled),
                );
            }
            Action::Exit => self.nodes[host].kill(),
        }
    }

    fn send_message(&mut self, from: usize, to: HostId, envelope: Envelope) {
        let to = to.0 as usize - 1;
        if self.cut_links.contains(&(from, to)) || self.chance(self.network.drop_percent) {
            return;
        }
        let delay = self.delay();
        self.schedule(self.now + delay, Scheduled::Deliver(to, envelope));
    }

    fn dispatch(&mut self, host: usize, dispatch: &Dispatch) {
        match &dispatch.target {
            Target::Upstream { address, .. } => {
                let address = address.clone();
                self.dispatch_upstream(host, &address, dispatch);
            }
            Target::Host { host: target, hops, granted, maybe_ran } => {
                let to = target.0 as usize - 1;
                self.forward_call(host, to, (*hops, *granted, *maybe_ran), dispatch);
            }
        }
    }

    /// Describes the state of every host and the latest timeline events, for a failing test.
    pub(crate) fn describe(&self) -> String {
        let mut text = format!("at {} ms\n", self.now);
        for node in &self.nodes {
            text.push_str(&node.describe());
        }
        let latest = self.timeline.iter().rev().take(40).rev();
        for event in latest {
            let time = event.stamp.wall.0 - START_WALL_MS;
            text.push_str(&format!(
                "  {time} h{} {:?} {} {}\n",
                event.host.0, event.kind, event.subject, event.detail
            ));
        }
        text
    }
}

/// Returns the settings of a host's core.
fn host_settings(host: usize, fleet: &[PeerSpec], incarnation: u64, seed: u64) -> HostSettings {
    let me = &fleet[host];
    HostSettings::new(me.name.clone(), me.zone.clone())
        .fleet(me.id, fleet.to_vec())
        .disk(me.disk)
        .incarnation(incarnation)
        .seed(seed)
}

fn core(cfg: HostSettings, now: Now) -> Core {
    Core::new(cfg, now)
}

/// Returns a call as it arrives from a caller.
pub(crate) fn arrival(tag: RequestTag, trace: impl Into<Box<str>>, call: Call) -> Arrival {
    Arrival {
        tag,
        trace: trace.into(),
        deadline: Some(Millis(8_000)),
        hops: 0,
        granted: false,
        maybe_ran: false,
        call,
    }
}
