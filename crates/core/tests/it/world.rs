//! A driver that steps a few cores in memory.
//!
//! Messages are delayed, dropped and cut by a seed, hosts are killed, frozen and restarted with or
//! without their disks. It stands in for the shell of the daemon, with the same actions.

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

pub(crate) use callers::Send;
pub(crate) use node::Node;
pub(crate) use upstreams::{Run, SimUpstream};

/// The wall time at which a world begins, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;

/// How long a connection to a host that is cut off takes to fail.
const CONNECT_TIMEOUT: u64 = 1_000;

/// What is to happen at a time.
#[derive(Debug, Clone)]
enum Item {
    Tick(usize, u64),
    Deliver(usize, Envelope),
    Synced(usize, u64, SyncToken),
    Ended(usize, u64, AttemptKey, AttemptEnd),
    Arrive(usize, Arrival, Origin),
    GiveBack(usize, u64, RequestTag, Answer, AttemptKey),
    OrderEnded(usize, u64, chestnutdrift_core::key::OrderKey, Option<u64>),
    Announce(usize),
    Thaw(usize),
}

/// Where a call came from.
#[derive(Debug, Clone)]
enum Origin {
    /// A caller's send, by its number.
    Caller(usize),
    /// Another host's attempt: node, life, attempt, and the exchange there.
    Host(usize, u64, AttemptKey, RequestTag),
}

/// A call that a node holds.
#[derive(Debug, Clone)]
struct Held {
    arrival: Arrival,
    origin: Origin,
}

/// How the network treats messages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    /// The shortest and longest delay, in milliseconds.
    pub(crate) delay: (u64, u64),
    /// The shortest and longest time of a sync, in milliseconds.
    pub(crate) sync: (u64, u64),
    /// Messages between hosts that are lost, in percent.
    pub(crate) drop_percent: u32,
    /// Replies to callers that are lost, in percent.
    pub(crate) lost_replies_percent: u32,
}

impl Default for Network {
    fn default() -> Self {
        Self { delay: (1, 4), sync: (1, 4), drop_percent: 0, lost_replies_percent: 0 }
    }
}

/// A few cores and what is round them.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Network,
    pub(crate) upstreams: Vec<SimUpstream>,
    pub(crate) runs: Vec<Run>,
    pub(crate) sends: Vec<Send>,
    pub(crate) notes: Vec<TimelineEvent>,
    pub(crate) rng: Pcg64Mcg,
    cuts: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(u64, u64), Item>,
    sequence: u64,
    next_tag: u64,
    held: BTreeMap<(usize, RequestTag), Held>,
    lives: u64,
    served: BTreeMap<Box<str>, u64>,
}

impl World {
    /// Makes a world of zones with hosts; in each zone the first `disks` have a disk.
    pub(crate) fn new(seed: u64, zones: usize, hosts: usize, disks: usize) -> Self {
        let mut fleet = Vec::new();
        for at in 0..zones * hosts {
            fleet.push(PeerSpec {
                id: HostId(u32::try_from(at + 1).expect("a small fleet")),
                name: format!("h{}", at + 1).into(),
                zone: format!("z{}", at / hosts + 1).into(),
                disk: at % hosts < disks,
                http: "".into(),
            });
        }
        let mut world = Self {
            now: 0,
            nodes: Vec::new(),
            network: Network::default(),
            upstreams: Vec::new(),
            runs: Vec::new(),
            sends: Vec::new(),
            notes: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            next_tag: 1,
            held: BTreeMap::new(),
            lives: 0,
            served: BTreeMap::new(),
        };
        for at in 0..fleet.len() {
            world.nodes.push(Node::new(at, fleet.clone(), seed));
            world.start(at);
        }
        world
    }

    fn push(&mut self, at: u64, item: Item) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), item);
    }

    fn delay(&mut self) -> u64 {
        let (least, most) = self.network.delay;
        self.rng.random_range(least..=most)
    }

    fn percent(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Starts a host, from what its disk holds.
    pub(crate) fn start(&mut self, at: usize) {
        self.lives += 1;
        let (now, life) = (self.now, self.lives);
        let clock = Now::new(Millis(0), Millis(EPOCH + now + life));
        let records = self.nodes[at].start(now, life, clock);
        self.feed(at, Event::Restored(records));
    }

    /// Kills a host; what was not synced is lost, and so are the calls that it held.
    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at].kill();
        let lost: Vec<RequestTag> =
            self.held.keys().filter(|(node, _)| *node == at).map(|(_, tag)| *tag).collect();
        for tag in lost {
            let Some(held) = self.held.remove(&(at, tag)) else { continue };
            match held.origin {
                Origin::Caller(send) => self.sends[send].lose(self.now),
                Origin::Host(node, life, attempt, _) => {
                    let detail = "the connection broke".into();
                    let end = AttemptEnd::Broken { detail };
                    self.push(self.now + 1, Item::Ended(node, life, attempt, end));
                }
            }
        }
    }

    /// Empties the disk of a host that does not run.
    pub(crate) fn lose_disk(&mut self, at: usize) {
        self.nodes[at].lose_disk();
    }

    /// Stops a host's execution for a time; its clocks go on.
    pub(crate) fn freeze(&mut self, at: usize, millis: u64) {
        self.nodes[at].frozen = true;
        self.push(self.now + millis, Item::Thaw(at));
    }

    /// Cuts messages from one host to another.
    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Cuts all messages between two sets of hosts.
    pub(crate) fn cut_both(&mut self, some: &[usize], others: &[usize]) {
        for &a in some {
            for &b in others {
                self.cut(a, b);
                self.cut(b, a);
            }
        }
    }

    /// Heals every cut.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns the hosts of a zone.
    pub(crate) fn zone(&self, name: &str) -> Vec<usize> {
        (0..self.nodes.len()).filter(|at| &*self.nodes[*at].zone == name).collect()
    }

    /// Runs for a time.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((&(at, sequence), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            let Some(item) = self.queue.remove(&(at, sequence)) else { break };
            self.step(item);
        }
        self.now = end;
    }

    /// Runs until a condition holds; fails the test where it does not within a time.
    pub(crate) fn run_until(&mut self, what: &str, millis: u64, holds: impl Fn(&Self) -> bool) {
        const STEP: u64 = 10;
        let end = self.now + millis;
        while !holds(self) {
            assert!(self.now < end, "not within {millis} ms: {what}\n{}", self.show());
            self.run(STEP);
        }
    }

    /// Runs until every zone and the fleet have a leader that holds its lease.
    pub(crate) fn settle(&mut self) {
        self.run_until("every group is led and every host ready", 20_000, |world| {
            use chestnutdrift_core::agreement::GroupId;
            let live = || world.nodes.iter().filter_map(|node| node.core.as_ref());
            let zones: BTreeSet<&str> = world.nodes.iter().map(|node| &*node.zone).collect();
            let led = |zone: &str| {
                live().any(|core| {
                    &*core.board().cfg.zone == zone && core.board().leads(GroupId::Zone)
                })
            };
            live().any(|core| core.board().leads(GroupId::Fleet))
                && zones.into_iter().all(led)
                && live().all(|core| core.board().ready)
        });
    }

    fn step(&mut self, item: Item) {
        match item {
            Item::Tick(node, tick) => {
                if self.nodes[node].tick == tick {
                    self.feed(node, Event::Tick);
                }
            }
            Item::Deliver(node, envelope) => self.feed(node, Event::Received(envelope)),
            Item::Synced(node, life, token) => {
                if self.nodes[node].life == life && self.nodes[node].core.is_some() {
                    self.nodes[node].sync(token);
                    self.feed(node, Event::Synced(token));
                }
            }
            Item::Ended(node, life, attempt, end) => {
                if self.nodes[node].life == life {
                    self.feed(node, Event::Ended { attempt, end });
                }
            }
            Item::Arrive(node, arrival, origin) => self.arrive(node, arrival, origin),
            Item::GiveBack(node, life, tag, answer, attempt) => {
                if self.nodes[node].life == life && self.nodes[node].core.is_some() {
                    self.answer(node, tag, answer);
                    let end = AttemptEnd::Whole { output: None, answer: None };
                    self.feed(node, Event::Ended { attempt, end });
                }
            }
            Item::OrderEnded(node, life, order, version) => {
                if self.nodes[node].life == life {
                    let obeyed = version.is_some();
                    self.feed(node, Event::OrderEnded { order, obeyed, version });
                }
            }
            Item::Announce(upstream) => self.announce(upstream),
            Item::Thaw(node) => {
                for event in self.nodes[node].thaw() {
                    self.feed(node, event);
                }
            }
        }
    }

    /// Gives a node an event, and carries out what it wants done.
    fn feed(&mut self, at: usize, event: Event) {
        let now = self.now;
        let Some((actions, deadline)) = self.nodes[at].handle(now, event) else { return };
        let tick = self.nodes[at].tick;
        self.push(deadline, Item::Tick(at, tick));
        for action in actions {
            self.perform(at, action);
        }
        self.check_never_reverts(at);
    }

    /// Checks that no host serves under settings older than it or its zone has served, once it
    /// serves.
    fn check_never_reverts(&mut self, at: usize) {
        let node = &self.nodes[at];
        let Some(core) = node.core.as_ref().filter(|core| core.board().ready) else { return };
        let version = core.board().active_settings.settings.version;
        let served = self.served.entry(node.name.clone()).or_default();
        assert!(version >= *served, "{} went back from {served} to {version}", node.name);
        *served = version;
    }

    fn perform(&mut self, at: usize, action: Action) {
        let life = self.nodes[at].life;
        match action {
            Action::Send { to, envelope } => self.send_message(at, to, envelope),
            Action::Persist { token, records } => {
                self.nodes[at].persist(token, records);
                let (least, most) = self.network.sync;
                let delay = self.rng.random_range(least..=most);
                self.push(self.now + delay, Item::Synced(at, life, token));
            }
            Action::Answer { tag, answer } => self.answer(at, tag, answer),
            Action::Finish { tag, .. } => self.finish(at, tag),
            Action::Dispatch(dispatch) => self.dispatch(at, &dispatch),
            Action::Order { order, address, task, fence, .. } => {
                let version = self.order(&address, &task, fence);
                self.push(self.now + 50, Item::OrderEnded(at, life, order, version));
            }
            Action::Note(event) => self.notes.push(event),
            Action::Cancel { attempt } => {
                self.push(self.now + 1, Item::Ended(at, life, attempt, AttemptEnd::Cancelled));
            }
            Action::Exit => self.nodes[at].kill(),
        }
    }

    fn send_message(&mut self, from: usize, to: HostId, envelope: Envelope) {
        let to = to.0 as usize - 1;
        if self.cuts.contains(&(from, to)) || self.percent(self.network.drop_percent) {
            return;
        }
        let delay = self.delay();
        self.push(self.now + delay, Item::Deliver(to, envelope));
    }

    fn dispatch(&mut self, at: usize, dispatch: &Dispatch) {
        match &dispatch.target {
            Target::Upstream { address, .. } => {
                let address = address.clone();
                self.dispatch_upstream(at, &address, dispatch);
            }
            Target::Host { host, hops, granted, maybe_ran } => {
                let to = host.0 as usize - 1;
                self.forward_call(at, to, (*hops, *granted, *maybe_ran), dispatch);
            }
        }
    }

    /// Shows the state of every node, for a failing test.
    pub(crate) fn show(&self) -> String {
        let mut text = format!("at {} ms\n", self.now);
        for node in &self.nodes {
            text.push_str(&node.show());
        }
        let latest = self.notes.iter().rev().take(40).rev();
        for note in latest {
            let at = note.stamp.wall.0 - EPOCH;
            text.push_str(&format!(
                "  {at} h{} {:?} {} {}\n",
                note.host.0, note.kind, note.subject, note.detail
            ));
        }
        text
    }
}

/// Makes the settings of a node's core.
fn host_settings(at: usize, fleet: &[PeerSpec], incarnation: u64, seed: u64) -> HostSettings {
    let me = &fleet[at];
    HostSettings::new(me.name.clone(), me.zone.clone())
        .fleet(me.id, fleet.to_vec())
        .disk(me.disk)
        .incarnation(incarnation)
        .seed(seed)
}

/// Makes a core.
fn core(cfg: HostSettings, now: Now) -> Core {
    Core::new(cfg, now)
}

/// Makes a call that arrives from a caller.
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
