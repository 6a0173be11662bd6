//! A deterministic simulation of a small deployment of gateways.
//!
//! It takes the place of the daemon's I/O layer and performs the same actions. Message loss is
//! decided by a seeded random generator. Tests cut links, and kill, freeze and restart hosts with
//! or without their disks.

mod calls;
pub(crate) mod documents;
mod faults;
pub(crate) mod messages;
mod node;
pub(crate) mod provider;
pub(crate) mod rewards;
mod runs;
mod upstreams;
pub(crate) mod usage;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use chestnutdrift_core::gateway::{
    Action, Answer, Call, Event, Gateway, GatewaySettings, JobBody, Order, Policies, ProviderCall,
    ProviderSettings, Role, RunItem, WorkspaceSettings,
};
use chestnutdrift_core::key::SyncToken;
use chestnutdrift_core::message::Envelope;
use chestnutdrift_core::timeline::TimelineEvent;
use chestnutdrift_core::{HostId, Millis, Now, RequestTag, UpstreamKey};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) use documents::{job, routing};
pub(crate) use upstreams::SimEngine;

use node::Node;
use provider::SimProvider;
use rewards::{Scorer, SentReward};
use usage::{EntryEvent, Started, UsageEntry};

/// The wall-clock time at which a simulation starts, in milliseconds.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// The longest time between two ticks, the same as in the daemon.
const MAX_TICK_INTERVAL_MS: u64 = 1_000;

/// A scheduled event of the simulation, most with the boot ID of the host at that time.
///
/// An event for an earlier boot has no effect on the host.
enum Scheduled {
    Tick(HostId, u64),
    Event(HostId, u64, Event),
    Run(HostId, u64, RunItem),
    Order(HostId, u64, Order),
    Announce(usize),
    Provider(HostId, u64, ProviderCall),
    Entry(HostId, EntryEvent),
}

/// The size of a simulated deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) stores: u32,
    pub(crate) entries: u32,
    pub(crate) zones: u32,
    /// The number of availability zones in a region.
    pub(crate) zones_per_region: u32,
    pub(crate) tolerated_losses: u32,
}

/// Whether hosts learn capacity, and their policies.
pub(crate) type HostPolicies = (bool, fn() -> Policies);

/// Observes the events that hosts handle.
pub(crate) type EventObserver = Box<dyn FnMut(HostId, &Event, Duration)>;

/// Observes the messages that hosts send.
pub(crate) type SendObserver = Box<dyn FnMut(HostId, &Envelope)>;

/// A simulated deployment with its links, engines and callers.
pub(crate) struct Deployment {
    pub(crate) now: u64,
    pub(crate) rng: Pcg64Mcg,
    seed: u64,
    pub(crate) drop_percent: u32,
    /// The number of padding bytes that an engine adds to the text of each event.
    pub(crate) event_padding_bytes: usize,
    /// The number of events of each item; `None` if it depends on the item.
    pub(crate) events_per_item: Option<u64>,
    pub(crate) answers: BTreeMap<RequestTag, Answer>,
    pub(crate) forwards: Vec<(HostId, chestnutdrift_core::gateway::Forward)>,
    /// The connections that hosts opened without a request, with the time.
    pub(crate) probes: Vec<(u64, HostId, UpstreamKey)>,
    pub(crate) timeline: Vec<TimelineEvent>,
    /// The reward calls that hosts sent.
    pub(crate) rewards: Vec<SentReward>,
    /// How reward calls end; with `None` each is answered.
    pub(crate) scorer: Option<Scorer>,
    /// The runs that ended their item's text: the time, the host and the item's id.
    pub(crate) whole_runs: Vec<(u64, HostId, Box<str>)>,
    /// The workspaces under which items were run.
    pub(crate) run_workspaces: BTreeSet<Option<Box<str>>>,
    pub(crate) engines: Vec<SimEngine>,
    /// The runs of items, if they can be cancelled; otherwise a cancelled run continues.
    pub(crate) runs: Option<runs::Runs>,
    pub(crate) orders: Vec<(u64, HostId, Order)>,
    /// The number of slots of each engine.
    pub(crate) engine_slots: u32,
    /// The time between two events of an item, in milliseconds.
    pub(crate) event_interval_ms: u64,
    /// Called with each event that a host has handled and the time that it took.
    pub(crate) on_event: Option<EventObserver>,
    /// Called with each message that a host sends.
    pub(crate) on_send: Option<SendObserver>,
    /// Whether messages are encoded and decoded, so that hosts share no memory.
    pub(crate) encodes_messages: bool,
    /// The time that a sync takes in addition, by host, in milliseconds.
    pub(crate) sync_ms: BTreeMap<HostId, u64>,
    /// The memory limit of hosts that start from now on, in bytes.
    pub(crate) memory_limit: Option<u64>,
    /// How hosts that start from now on handle keys.
    pub(crate) workspaces: WorkspaceSettings,
    /// The provider's interface in the settings of hosts that start from now on.
    pub(crate) provider_settings: Option<ProviderSettings>,
    pub(crate) provider: SimProvider,
    /// The hosts that can't reach the provider.
    pub(crate) provider_links_cut: BTreeSet<HostId>,
    /// How far a host's wall clock is ahead, in milliseconds.
    pub(crate) wall_offsets: BTreeMap<HostId, i64>,
    usage_entries: BTreeMap<HostId, UsageEntry>,
    /// The requests of workspaces that began to run.
    started: Started,
    /// The hosts whose disks sync nothing, with the last token that waits.
    stalled_disks: BTreeMap<HostId, Option<SyncToken>>,
    nodes: BTreeMap<HostId, Node>,
    seeds: Vec<HostId>,
    size: Size,
    policies: HostPolicies,
    /// The bandwidth of a link, in bytes per millisecond.
    pub(crate) bytes_per_ms: u64,
    link_free_at: BTreeMap<(HostId, HostId), u64>,
    cut_links: BTreeSet<(HostId, HostId)>,
    queue: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    next_tag: u64,
    jobs: BTreeMap<RequestTag, JobBody>,
}

impl Deployment {
    /// Creates and starts a deployment; the IDs of stores start at 1, those of entries at 101.
    pub(crate) fn new(seed: u64, stores: u32, entries: u32) -> Self {
        let (zones, zones_per_region, tolerated_losses) = (3, 1, 1);
        Self::sized(seed, Size { stores, entries, zones, zones_per_region, tolerated_losses })
    }

    /// Creates and starts a deployment of a size, with the IDs of [`Deployment::new`].
    pub(crate) fn sized(seed: u64, size: Size) -> Self {
        let mut deployment = Self::empty(seed, size);
        deployment.start_all();
        deployment
    }

    /// Creates and starts a deployment with learned capacity, or without it, and with policies.
    pub(crate) fn with_policies(seed: u64, size: Size, policies: HostPolicies) -> Self {
        let mut deployment = Self::empty(seed, size);
        deployment.policies = policies;
        deployment.start_all();
        deployment
    }

    /// Adds and starts the hosts of the deployment's size.
    pub(crate) fn start_all(&mut self) {
        for id in 1..=self.size.stores {
            self.add(HostId(id), Role::Store, true);
        }
        for id in 1..=self.size.entries {
            self.add(HostId(100 + id), Role::Entry, true);
        }
    }

    /// Creates a deployment of a size whose hosts are not started.
    pub(crate) fn empty(seed: u64, size: Size) -> Self {
        let stores = size.stores;
        Self {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seed,
            drop_percent: 0,
            event_padding_bytes: 0,
            events_per_item: None,
            answers: BTreeMap::new(),
            forwards: Vec::new(),
            probes: Vec::new(),
            timeline: Vec::new(),
            rewards: Vec::new(),
            scorer: None,
            whole_runs: Vec::new(),
            run_workspaces: BTreeSet::new(),
            engines: Vec::new(),
            runs: None,
            orders: Vec::new(),
            engine_slots: 4,
            event_interval_ms: 20,
            on_event: None,
            on_send: None,
            encodes_messages: false,
            sync_ms: BTreeMap::new(),
            memory_limit: None,
            workspaces: WorkspaceSettings::default(),
            provider_settings: None,
            provider: SimProvider::default(),
            provider_links_cut: BTreeSet::new(),
            wall_offsets: BTreeMap::new(),
            usage_entries: BTreeMap::new(),
            started: Started::new(),
            stalled_disks: BTreeMap::new(),
            nodes: BTreeMap::new(),
            seeds: (1..=stores.min(3)).map(HostId).collect(),
            size,
            policies: (false, Policies::default),
            bytes_per_ms: 10_000,
            link_free_at: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            next_tag: 1,
            jobs: BTreeMap::new(),
        }
    }

    /// Adds a host and starts it.
    pub(crate) fn add(&mut self, id: HostId, role: Role, first_start: bool) {
        let node = Node {
            name: format!("{role:?}-{}", id.0).to_lowercase().into(),
            role,
            gateway: None,
            boot_id: 0,
            started_at: 0,
            incarnation: 0,
            disk: Vec::new(),
            facts: Vec::new(),
            unsynced_facts: Vec::new(),
            queued_events: Vec::new(),
            is_frozen: false,
            tick: 0,
        };
        self.nodes.insert(id, node);
        self.start_as(id, first_start);
    }

    /// Starts a stopped host and restores the records on its disk.
    pub(crate) fn start(&mut self, id: HostId) {
        self.start_as(id, false);
    }

    fn start_as(&mut self, id: HostId, first_start: bool) {
        let (now, seeds) = (self.now, self.seeds.clone());
        let region = |zone: u32| format!("region-{}", zone / self.size.zones_per_region);
        let regions = (0..self.size.zones).map(|z| (format!("zone-{z}").into(), region(z).into()));
        let regions = regions.collect();
        let node = self.nodes.get_mut(&id).expect("a known host");
        assert!(node.gateway.is_none(), "{id:?} is running");
        // As in the daemon, the boot ID is the wall-clock time of the start; hosts that start
        // together share one.
        let boot_id = (START_WALL_MS + now).max(node.boot_id + 1);
        node.boot_id = boot_id;
        node.started_at = now;
        node.is_frozen = false;
        node.queued_events.clear();
        node.unsynced_facts.clear();
        if node.disk.is_empty() || node.incarnation == 0 {
            node.incarnation = boot_id;
        }
        let zone = format!("zone-{}", id.0 % self.size.zones);
        let cfg = GatewaySettings::new(id, node.name.clone(), zone, node.role)
            .seeds(seeds)
            .regions(regions)
            .tolerated_losses(self.size.tolerated_losses)
            .first_start(first_start)
            .instance_ids(node.incarnation, boot_id)
            .seed(self.seed)
            .memory_limit(self.memory_limit)
            .workspaces(self.workspaces)
            .provider(self.provider_settings.clone())
            .learned_capacity(self.policies.0);
        let clock = Now::new(Millis(0), Millis(START_WALL_MS + now));
        node.gateway = Some(Gateway::with_policies(cfg, clock, (self.policies.1)()));
        let (records, facts) = (node.disk.clone(), node.facts.clone());
        self.handle(id, &Event::Restored(records));
        self.handle(id, &Event::RestoredFacts(facts));
    }

    /// Sends a stop event to a host.
    pub(crate) fn stop(&mut self, id: HostId) {
        self.deliver(id, Event::Stop);
    }

    /// Runs until the hosts know each other, puts a routing configuration in force, and returns the
    /// leader.
    pub(crate) fn start_serving(&mut self) -> HostId {
        self.run(5_000);
        let put = self.call(HostId(2), Call::PutRouting(routing(1)), 900);
        assert_eq!(put, Some(Answer::Done));
        self.run(3_000);
        self.leader().expect("a leader")
    }

    /// Advances the simulation by a time.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((&(time, sequence), _)) = self.queue.first_key_value() {
            if time > end {
                break;
            }
            let Some(event) = self.queue.remove(&(time, sequence)) else { break };
            self.now = self.now.max(time);
            self.step(event);
        }
        self.now = end;
    }

    /// Returns the leader that holds its lease, if any; fails the test if there are two.
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

    /// Describes the replicas of the directory group, for a failing test.
    pub(crate) fn describe(&self) -> String {
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

    /// Returns the running hosts.
    pub(crate) fn hosts(&self) -> Vec<HostId> {
        let running = self.nodes.iter().filter(|(_, node)| node.gateway.is_some());
        running.map(|(id, _)| *id).collect()
    }

    /// Returns the gateway of a running host.
    pub(crate) fn gateway(&self, id: HostId) -> &Gateway {
        self.nodes[&id].gateway.as_ref().expect("the host is running")
    }

    /// Adds an engine that announces itself periodically, each time to a random store.
    pub(crate) fn add_engine(&mut self, engine: SimEngine) {
        self.engines.push(engine);
        self.schedule(self.now, Scheduled::Announce(self.engines.len() - 1));
    }

    fn schedule(&mut self, time: u64, event: Scheduled) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    pub(crate) fn deliver(&mut self, id: HostId, event: Event) {
        let Some(node) = self.nodes.get(&id) else { return };
        let boot_id = node.boot_id;
        self.schedule(self.now, Scheduled::Event(id, boot_id, event));
    }

    fn step(&mut self, event: Scheduled) {
        match event {
            Scheduled::Tick(id, tick) => {
                if self.nodes[&id].tick == tick {
                    self.handle(id, &Event::Tick);
                }
            }
            Scheduled::Event(id, boot_id, event) => {
                let Some(node) = self.nodes.get_mut(&id) else { return };
                if node.gateway.is_none() || node.boot_id != boot_id {
                    return;
                }
                if node.is_frozen {
                    node.queued_events.push(event);
                    return;
                }
                self.handle(id, &event);
            }
            Scheduled::Run(id, boot_id, run) => self.run_item(id, boot_id, &run),
            Scheduled::Order(id, boot_id, order) => self.handle_order(id, boot_id, &order),
            Scheduled::Announce(index) => self.announce(index),
            Scheduled::Provider(id, boot_id, call) => self.call_provider(id, boot_id, call),
            Scheduled::Entry(id, event) => self.handle_entry(id, event),
        }
    }

    fn handle(&mut self, id: HostId, event: &Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.is_frozen {
            return;
        }
        if let Event::Synced(token) = event {
            node.write_facts(*token);
        }
        let Some(gateway) = &mut node.gateway else { return };
        let ahead = self.wall_offsets.get(&id).copied().unwrap_or_default();
        let wall = Millis((START_WALL_MS + now).saturating_add_signed(ahead));
        let clock = Now::new(Millis(now - node.started_at), wall);
        let started = Instant::now();
        let actions = gateway.handle(clock, event);
        if let Some(observe) = &mut self.on_event {
            observe(id, event, started.elapsed());
        }
        let deadline = gateway.next_deadline().0.saturating_add(node.started_at);
        let deadline = deadline.clamp(now + 1, now + MAX_TICK_INTERVAL_MS);
        node.tick += 1;
        let (tick, boot_id) = (node.tick, node.boot_id);
        self.schedule(deadline, Scheduled::Tick(id, tick));
        for action in actions {
            self.perform(id, boot_id, action);
        }
    }

    fn perform(&mut self, id: HostId, boot_id: u64, action: Action) {
        match action {
            Action::Send { to, envelope } => self.send(id, to, envelope),
            Action::Persist { token, records, facts } => {
                let node = self.nodes.get_mut(&id).expect("a known host");
                node.disk.extend(records);
                node.unsynced_facts.push((token, facts));
                if let Some(waiting) = self.stalled_disks.get_mut(&id) {
                    *waiting = Some(token);
                    return;
                }
                let sync_ms = self.sync_ms.get(&id).copied().unwrap_or_default();
                let synced_at = self.now + self.rng.random_range(1..4) + sync_ms;
                self.schedule(synced_at, Scheduled::Event(id, boot_id, Event::Synced(token)));
            }
            Action::Answer { tag, answer } => {
                self.answers.insert(tag, answer);
            }
            Action::ReadJob { tag } => {
                let job = self.jobs.get(&tag).cloned().expect("a submitted job");
                self.deliver(id, Event::JobRead { tag, job: Ok(job) });
            }
            Action::Forward(forward) => self.forwards.push((id, forward)),
            Action::Probe { upstream, .. } => self.probes.push((self.now, id, upstream.key)),
            Action::RunItem(run) => {
                self.run_workspaces.insert(run.job.workspace.clone());
                self.schedule(self.now + 3, Scheduled::Run(id, boot_id, run));
            }
            Action::RequestReward(request) => self.answer_reward(id, boot_id, &request),
            Action::Order(order) => {
                self.orders.push((self.now, id, order.clone()));
                self.schedule(self.now + 3, Scheduled::Order(id, boot_id, order));
            }
            Action::Note(event) => self.timeline.push(event),
            Action::Exit { .. } => self.kill(id),
            Action::CallProvider(call) => self.begin_call(id, boot_id, call),
            Action::Cancel { attempt } => self.cancel_run(id, boot_id, attempt),
            Action::CloseUpstream { .. }
            | Action::Deliver { .. }
            | Action::Drain
            | Action::CloseIdle => {}
        }
    }

    fn boot_id(&self, id: HostId) -> u64 {
        self.nodes[&id].boot_id
    }

    fn stores(&self) -> Vec<HostId> {
        let stores = self.nodes.iter().filter(|(_, node)| node.role == Role::Store);
        stores.map(|(id, _)| *id).collect()
    }
}
