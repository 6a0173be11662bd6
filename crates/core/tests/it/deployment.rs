//! A driver that steps the gateways of a small deployment in memory.
//!
//! Messages are delayed and lost by a seed; hosts are killed, frozen, cut off and restarted with or
//! without their disks. It stands in for the shell of the daemon, with the same actions.

mod upstreams;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use chestnutdrift_core::agreement::{GroupMessage, Record};
use chestnutdrift_core::directory::{
    EngineSpec, ItemSpec, RequestLimits, Route, RouteKind, RoutingConfig, ServiceSpec, Target,
};
use chestnutdrift_core::gateway::{
    Action, Answer, Call, Event, Gateway, GatewaySettings, IncomingCall, JobBody, Order,
    ResultsPage, Role, RunItem,
};
use chestnutdrift_core::message::{Envelope, Message};
use chestnutdrift_core::timeline::TimelineEvent;
use chestnutdrift_core::{HostId, Millis, Now, RequestTag};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) use upstreams::SimEngine;

/// The wall time at which a deployment begins, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;

/// The longest time between two ticks, as the shell has it.
const LONGEST_WAIT: u64 = 1_000;

/// What is to happen at a time.
enum Item {
    Tick(HostId, u64),
    Event(HostId, u64, Event),
    Run(HostId, u64, RunItem),
    Order(HostId, u64, Order),
    Announce(usize),
}

/// One host.
struct Node {
    name: Box<str>,
    role: Role,
    gateway: Option<Gateway>,
    life: u64,
    started: u64,
    incarnation: u64,
    disk: Vec<Record>,
    frozen: Vec<Event>,
    is_frozen: bool,
    tick: u64,
}

/// A few gateways and what is round them.
pub(crate) struct Deployment {
    pub(crate) now: u64,
    pub(crate) rng: Pcg64Mcg,
    seed: u64,
    pub(crate) drop_percent: u32,
    /// Bytes of text that an engine makes of each event, at least.
    pub(crate) text_bytes: usize,
    /// The events of every item, where they are all of one length.
    pub(crate) item_events: Option<u64>,
    pub(crate) answers: BTreeMap<RequestTag, Answer>,
    pub(crate) forwards: Vec<(HostId, chestnutdrift_core::gateway::Forward)>,
    pub(crate) notes: Vec<TimelineEvent>,
    pub(crate) engines: Vec<SimEngine>,
    pub(crate) orders: Vec<(u64, HostId, Order)>,
    nodes: BTreeMap<HostId, Node>,
    seeds: Vec<HostId>,
    /// What one link carries in a millisecond, in bytes.
    pub(crate) bytes_per_ms: u64,
    busy: BTreeMap<(HostId, HostId), u64>,
    cuts: BTreeSet<(HostId, HostId)>,
    queue: BTreeMap<(u64, u64), Item>,
    sequence: u64,
    next_tag: u64,
    jobs: BTreeMap<RequestTag, JobBody>,
}

impl Deployment {
    /// Makes a deployment of stores and entries; the stores have the numbers from 1 on, the entries
    /// those from 101 on.
    pub(crate) fn new(seed: u64, stores: u32, entries: u32) -> Self {
        let mut deployment = Self {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seed,
            drop_percent: 0,
            text_bytes: 0,
            item_events: None,
            answers: BTreeMap::new(),
            forwards: Vec::new(),
            notes: Vec::new(),
            engines: Vec::new(),
            orders: Vec::new(),
            nodes: BTreeMap::new(),
            seeds: (1..=stores.min(3)).map(HostId).collect(),
            bytes_per_ms: 10_000,
            busy: BTreeMap::new(),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            next_tag: 1,
            jobs: BTreeMap::new(),
        };
        for id in 1..=stores {
            deployment.add(HostId(id), Role::Store, true);
        }
        for id in 1..=entries {
            deployment.add(HostId(100 + id), Role::Entry, true);
        }
        deployment
    }

    /// Adds a host and starts it.
    pub(crate) fn add(&mut self, id: HostId, role: Role, first_start: bool) {
        let node = Node {
            name: format!("{role:?}-{}", id.0).to_lowercase().into(),
            role,
            gateway: None,
            life: 0,
            started: 0,
            incarnation: 0,
            disk: Vec::new(),
            frozen: Vec::new(),
            is_frozen: false,
            tick: 0,
        };
        self.nodes.insert(id, node);
        self.start_as(id, first_start);
    }

    /// Starts a host that does not run, with what its disk holds.
    pub(crate) fn start(&mut self, id: HostId) {
        self.start_as(id, false);
    }

    fn start_as(&mut self, id: HostId, first_start: bool) {
        let (now, seeds) = (self.now, self.seeds.clone());
        let node = self.nodes.get_mut(&id).expect("a known host");
        assert!(node.gateway.is_none(), "{id:?} runs");
        // As in the shell, a life is the wall time of its start, the same for many hosts.
        let life = (EPOCH + now).max(node.life + 1);
        node.life = life;
        node.started = now;
        node.is_frozen = false;
        node.frozen.clear();
        if node.disk.is_empty() || node.incarnation == 0 {
            node.incarnation = life;
        }
        let zone = format!("zone-{}", id.0 % 3);
        let cfg = GatewaySettings::new(id, node.name.clone(), zone, node.role)
            .seeds(seeds)
            .first_start(first_start)
            .instance_ids(node.incarnation, life)
            .seed(self.seed);
        node.gateway = Some(Gateway::new(cfg, Now::new(Millis(0), Millis(EPOCH + now))));
        let records = node.disk.clone();
        self.handle(id, &Event::Restored(records));
    }

    /// Kills a host; what was synced stays on its disk.
    pub(crate) fn kill(&mut self, id: HostId) {
        let node = self.nodes.get_mut(&id).expect("a known host");
        node.gateway = None;
    }

    /// Tells a host to stop.
    pub(crate) fn stop(&mut self, id: HostId) {
        self.deliver(id, Event::Stop);
    }

    /// Empties the disk of a host that does not run.
    pub(crate) fn wipe(&mut self, id: HostId) {
        let node = self.nodes.get_mut(&id).expect("a known host");
        assert!(node.gateway.is_none(), "{id:?} runs");
        node.disk.clear();
        node.incarnation = 0;
    }

    /// Makes a host stand still.
    pub(crate) fn freeze(&mut self, id: HostId) {
        self.nodes.get_mut(&id).expect("a known host").is_frozen = true;
    }

    /// Lets a host go on; what came meanwhile reaches it now.
    pub(crate) fn thaw(&mut self, id: HostId) {
        let node = self.nodes.get_mut(&id).expect("a known host");
        node.is_frozen = false;
        let waiting = std::mem::take(&mut node.frozen);
        self.handle(id, &Event::Tick);
        for event in waiting {
            self.handle(id, &event);
        }
    }

    /// Cuts two hosts off from each other, or joins them again.
    pub(crate) fn cut(&mut self, a: HostId, b: HostId, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Runs on for a time.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((&(at, sequence), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some(item) = self.queue.remove(&(at, sequence)) else { break };
            self.now = self.now.max(at);
            self.step(item);
        }
        self.now = end;
    }

    /// Asks a host and returns the exchange.
    pub(crate) fn ask(&mut self, id: HostId, call: Call) -> RequestTag {
        let tag = RequestTag(self.next_tag);
        self.next_tag += 1;
        let trace = format!("call-{}", tag.0).into();
        let opened = IncomingCall { tag, trace, wait_limit: None, call };
        self.deliver(id, Event::Opened(opened));
        tag
    }

    /// Asks a host, runs on for a time, and returns the answer.
    pub(crate) fn call(&mut self, id: HostId, call: Call, millis: u64) -> Option<Answer> {
        let tag = self.ask(id, call);
        self.run(millis);
        self.answers.get(&tag).cloned()
    }

    /// Submits a job through an entry and returns the exchange.
    pub(crate) fn submit(&mut self, entry: HostId, body: JobBody) -> RequestTag {
        let call = Call::Request { host: "jobs.example".into(), path: "/jobs/1".into() };
        let tag = self.ask(entry, call);
        self.jobs.insert(tag, body);
        tag
    }

    /// Reads a job's results at a host from a position on.
    pub(crate) fn results(&mut self, id: HostId, job: &str, after: u32) -> Option<ResultsPage> {
        let call = Call::Results { job: job.into(), after, wait: Millis(0) };
        match self.call(id, call, 1_500)? {
            Answer::Results(page) => Some(page),
            _ => None,
        }
    }

    /// Returns the host that leads under its lease, where one does.
    pub(crate) fn leader(&self) -> Option<HostId> {
        let mut leaders = Vec::new();
        for (id, node) in &self.nodes {
            if !node.is_frozen && node.gateway.as_ref().is_some_and(|g| g.board().leads()) {
                leaders.push(*id);
            }
        }
        assert!(leaders.len() <= 1, "two hosts lead: {leaders:?}");
        leaders.pop()
    }

    /// Describes the stores for a failing test.
    pub(crate) fn show(&self) -> String {
        let mut text = String::new();
        for (id, node) in &self.nodes {
            let Some(gateway) = &node.gateway else { continue };
            let Some(group) = &gateway.board().group else { continue };
            let replica = &group.replica;
            text.push_str(&format!(
                "{id:?}: {:?} term {} leader {:?} log {} commit {} applied {} voters {:?}\n",
                replica.role(),
                replica.term(),
                replica.leader(),
                replica.log().last_index(),
                replica.commit_index(),
                replica.applied_index(),
                replica.voters(),
            ));
        }
        text
    }

    /// Tells whether a host asks to be woken at a time that has passed.
    pub(crate) fn is_overdue(&self, id: HostId) -> bool {
        let due = self.gateway(id).next_deadline().0.saturating_add(self.nodes[&id].started);
        due + 5 < self.now
    }

    /// Returns the gateway of a host that runs.
    pub(crate) fn gateway(&self, id: HostId) -> &Gateway {
        self.nodes[&id].gateway.as_ref().expect("the host runs")
    }

    /// Adds an engine that announces itself to the stores in turn.
    pub(crate) fn add_engine(&mut self, engine: SimEngine) {
        self.engines.push(engine);
        self.push(self.now, Item::Announce(self.engines.len() - 1));
    }

    fn push(&mut self, at: u64, item: Item) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), item);
    }

    fn deliver(&mut self, id: HostId, event: Event) {
        let Some(node) = self.nodes.get(&id) else { return };
        let life = node.life;
        self.push(self.now, Item::Event(id, life, event));
    }

    fn step(&mut self, item: Item) {
        match item {
            Item::Tick(id, tick) => {
                if self.nodes[&id].tick == tick {
                    self.handle(id, &Event::Tick);
                }
            }
            Item::Event(id, life, event) => {
                let Some(node) = self.nodes.get_mut(&id) else { return };
                if node.gateway.is_none() || node.life != life {
                    return;
                }
                if node.is_frozen {
                    node.frozen.push(event);
                    return;
                }
                self.handle(id, &event);
            }
            Item::Run(id, life, run) => self.run_item(id, life, &run),
            Item::Order(id, life, order) => self.take_order(id, life, &order),
            Item::Announce(at) => self.announce(at),
        }
    }

    fn handle(&mut self, id: HostId, event: &Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.is_frozen {
            return;
        }
        let Some(gateway) = &mut node.gateway else { return };
        let clock = Now::new(Millis(now - node.started), Millis(EPOCH + now));
        let actions = gateway.handle(clock, event);
        let due = gateway.next_deadline().0.saturating_add(node.started);
        let due = due.clamp(now + 1, now + LONGEST_WAIT);
        node.tick += 1;
        let (tick, life) = (node.tick, node.life);
        self.push(due, Item::Tick(id, tick));
        for action in actions {
            self.perform(id, life, action);
        }
    }

    fn perform(&mut self, id: HostId, life: u64, action: Action) {
        match action {
            Action::Send { to, envelope } => self.send(id, to, envelope),
            Action::Persist { token, records } => {
                let node = self.nodes.get_mut(&id).expect("a known host");
                node.disk.extend(records);
                let at = self.now + self.rng.random_range(1..4);
                self.push(at, Item::Event(id, life, Event::Synced(token)));
            }
            Action::Answer { tag, answer } => {
                self.answers.insert(tag, answer);
            }
            Action::ReadJob { tag } => {
                let job = self.jobs.get(&tag).cloned().expect("a submitted job");
                self.deliver(id, Event::JobRead { tag, job: Ok(job) });
            }
            Action::Forward(forward) => self.forwards.push((id, forward)),
            Action::RunItem(run) => self.push(self.now + 3, Item::Run(id, life, run)),
            Action::Order(order) => {
                self.orders.push((self.now, id, order.clone()));
                self.push(self.now + 3, Item::Order(id, life, order));
            }
            Action::Note(event) => self.notes.push(event),
            Action::Exit => self.kill(id),
            Action::Cancel { .. } | Action::Deliver { .. } | Action::Drain | Action::CloseIdle => {}
        }
    }

    fn send(&mut self, from: HostId, to: HostId, envelope: Envelope) {
        let lost = self.rng.random_range(0..100) < self.drop_percent;
        if lost || self.cuts.contains(&(from, to)) {
            return;
        }
        let Some(node) = self.nodes.get(&to) else { return };
        let life = node.life;
        // Messages of one link keep their order and share its bandwidth.
        let delay = 2 + u64::from((from.0 * 7 + to.0 * 13) % 20);
        let free = self.busy.entry((from, to)).or_default();
        *free = (*free).max(self.now) + bytes_of(&envelope) / self.bytes_per_ms;
        let at = *free + delay;
        self.push(at, Item::Event(to, life, Event::Received(envelope)));
    }

    fn life(&self, id: HostId) -> u64 {
        self.nodes[&id].life
    }

    fn stores(&self) -> Vec<HostId> {
        let stores = self.nodes.iter().filter(|(_, node)| node.role == Role::Store);
        stores.map(|(id, _)| *id).collect()
    }
}

/// Returns about how many bytes a message takes on its link.
fn bytes_of(envelope: &Envelope) -> u64 {
    const SMALL: u64 = 200;
    let Message::Group(frame) = &envelope.message else { return SMALL };
    let GroupMessage::AppendEntries { entries, .. } = &frame.message else { return SMALL };
    SMALL + entries.iter().map(|entry| entry.bytes() as u64).sum::<u64>()
}

/// Makes a routing configuration with a route for requests and one for jobs.
pub(crate) fn routing(version: u64) -> Arc<RoutingConfig> {
    let route = |name: &str, kind, service: &str| Route {
        name: name.into(),
        host: format!("{name}.example").into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Millis(1_200),
        latency_objective: Millis(200),
        priority: 0,
        targets: vec![Target { service: service.into(), weight: 1 }],
        max_attempts: 2,
        give_up_after: Millis(40_000),
        due_after: Millis(7_500),
        single_version: false,
        resumable: true,
    };
    let service =
        |name: &str, engine| ServiceSpec { name: name.into(), max_connections: 100, engine };
    let engine = EngineSpec {
        slots: 4,
        memory_tokens: 100_000,
        tokens_per_event: 64,
        models: vec!["model".into(), "other".into()],
    };
    Arc::new(RoutingConfig {
        version,
        document: Bytes::from(format!("routing {version}")),
        routes: vec![
            route("desk", RouteKind::Idempotent, "desk"),
            route("jobs", RouteKind::Batch, "engines"),
        ],
        services: vec![service("desk", None), service("engines", Some(engine))],
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            idle_timeout: Millis(15_000),
        },
    })
}

/// Makes a job of items that take any version from `min_version` on.
pub(crate) fn job(id: &str, items: u32, min_version: u64) -> JobBody {
    let item = |index: u32| ItemSpec {
        id: format!("{id}-{index}").into(),
        path: "/jobs/item".into(),
        headers: Vec::new(),
        body: Bytes::from(vec![7; 600]),
        tokens: 2_000,
        prompt_tokens: 200,
        expected_tokens: 1_000,
        group: format!("g{}", index / 4).into(),
    };
    JobBody {
        id: id.into(),
        model: Some("model".into()),
        min_version,
        items: (0..items).map(item).collect(),
    }
}
