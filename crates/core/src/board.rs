//! The blackboard: all state of a host, in arenas with small `Copy` keys.
//!
//! Controllers read and write the board and do not call each other. A controller passes work to
//! another through the board: a [`Proposal`] for a replicated log, a request in a queue, a result.

mod active_settings;
mod attempt;
mod groups;
mod host;
mod order;
mod proposal;
mod request;
mod schedule;
mod service;
mod upstream;
mod work;
mod zone;

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::action::{Action, Answer, Counters};
use crate::agreement::GroupId;
use crate::checksum::checksum;
use crate::error::{ErrorKind, Problem, Ran};
use crate::event::{Arrival, Call};
use crate::fleet::{SettingContext, SettingKey};
use crate::host_settings::HostSettings;
use crate::key::{
    AttemptKey, HostId, HostKey, OrderKey, RequestKey, RequestTag, ServiceKey, UpstreamKey, ZoneKey,
};
use crate::message::{Envelope, Message};
use crate::records::Outcome;
use crate::time::{Millis, Now};
use crate::timeline::{EventKind, HybridClock, Stamp, Timeline, TimelineEvent};

pub use active_settings::ActiveSettings;
pub use attempt::{Attempt, AttemptTarget};
pub use groups::{GroupReplica, Groups, HeldMessage, SyncBatch};
pub use host::Host;
pub use order::Order;
pub use proposal::{CommandOutcome, CommandResult, Proposal, Purpose};
pub use request::{
    Class, LEADER_POLL_INTERVAL, LEADER_TIMEOUT, Origin, Request, RequestState, Route,
};
pub use schedule::Schedule;
pub use service::Service;
pub use upstream::{Upstream, UpstreamState};
pub use work::{AssignedSample, QueuedOrder, Work};
pub use zone::Zone;

/// The most times that a call is forwarded from host to host.
const MAX_HOPS: u8 = 3;

/// The retry delay sent to callers while a leader is being elected.
const ELECTION_RETRY_DELAY: Millis = Millis(500);

/// All state of a host.
#[derive(Debug)]
pub struct Board {
    /// The settings that the host started with.
    pub cfg: HostSettings,
    /// The clocks at the event being handled.
    pub now: Now,
    /// The only source of random choices.
    pub rng: Pcg64Mcg,
    /// The clock that stamps events and messages.
    pub clock: HybridClock,
    /// The number of this run of the process: its start in wall time, so it differs after every
    /// start.
    pub boot_id: u64,
    /// The latest events of this host.
    pub timeline: Timeline,
    /// Counters for the metrics page.
    pub counters: Counters,
    /// Availability zones.
    pub zones: SlotMap<ZoneKey, Zone>,
    /// Hosts of the fleet.
    pub hosts: SlotMap<HostKey, Host>,
    /// Services that an upstream of this zone announced, or that a call named, since the start.
    pub services: SlotMap<ServiceKey, Service>,
    /// Upstreams of this zone.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Requests that this host holds.
    pub requests: SlotMap<RequestKey, Request>,
    /// Attempts in progress.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Orders to upstreams that await an answer.
    pub orders: SlotMap<OrderKey, Order>,
    /// The request of each exchange.
    pub request_index: BTreeMap<RequestTag, RequestKey>,
    /// When the deadline or the backoff of each request ends, on the monotonic clock.
    pub timers: BTreeSet<(Millis, RequestKey)>,
    /// The settings that this host applies.
    pub active_settings: ActiveSettings,
    /// The replicas, their applied state, and what waits for a sync to disk.
    pub groups: Groups,
    /// Samples being generated, and work that controllers pass to each other.
    pub work: Work,
    /// The zone of this host.
    pub my_zone: ZoneKey,
    /// Whether the host accepts work.
    pub ready: bool,
    /// Since when the host is stopping, on the monotonic clock; `None` while it is not.
    pub draining_since: Option<Millis>,
    /// Calls that no controller has handled yet.
    pub arrivals: Vec<Arrival>,
    /// When the process started, on the monotonic clock.
    pub started: Millis,
    /// When the recurring work of each controller is due.
    pub schedule: Schedule,
    /// The actions to carry out, in order.
    pub actions: Vec<Action>,
}

impl Board {
    /// Creates the board of a host that has received no event yet.
    #[must_use]
    pub fn new(cfg: HostSettings, now: Now) -> Self {
        let mut zones: SlotMap<ZoneKey, Zone> = SlotMap::with_key();
        let mut hosts: SlotMap<HostKey, Host> = SlotMap::with_key();
        for peer in &cfg.fleet {
            let known = zones.iter().find(|(_, zone)| zone.name == peer.zone).map(|(key, _)| key);
            let zone = known.unwrap_or_else(|| zones.insert(Zone::new(peer.zone.clone())));
            let host = hosts.insert(Host::new(peer, zone));
            zones[zone].hosts.push(host);
        }
        let mine = zones.iter().find(|(_, zone)| zone.name == cfg.zone).map(|(key, _)| key);
        let my_zone = mine.unwrap_or_else(|| zones.insert(Zone::new(cfg.zone.clone())));
        Self {
            now,
            rng: Pcg64Mcg::seed_from_u64(cfg.seed ^ u64::from(cfg.id.0)),
            clock: HybridClock::default(),
            boot_id: now.wall.0.max(1),
            timeline: Timeline::new(cfg.timeline_capacity),
            counters: Counters::default(),
            groups: Groups::new(&cfg),
            zones,
            hosts,
            services: SlotMap::with_key(),
            upstreams: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            orders: SlotMap::with_key(),
            request_index: BTreeMap::new(),
            timers: BTreeSet::new(),
            active_settings: ActiveSettings::default(),
            work: Work::default(),
            my_zone,
            ready: false,
            draining_since: None,
            arrivals: Vec::new(),
            started: now.mono,
            schedule: Schedule::default(),
            actions: Vec::new(),
            cfg,
        }
    }

    /// Returns the value of a setting on this host.
    #[must_use]
    pub fn setting(&self, key: SettingKey, service: Option<&str>) -> u64 {
        let context = SettingContext { zone: &self.cfg.zone, host: &self.cfg.name, service };
        self.active_settings.settings.value(key, context)
    }

    /// Records an event on the timeline and in the log.
    pub fn note(
        &mut self,
        kind: EventKind,
        subject: impl Into<Box<str>>,
        detail: impl Into<Box<str>>,
    ) {
        let stamp = self.stamp();
        let (subject, detail) = (subject.into(), detail.into());
        let event = TimelineEvent { stamp, host: self.cfg.id, kind, subject, detail };
        self.timeline.push(event.clone());
        self.actions.push(Action::Note(event));
    }

    /// Returns the next stamp of the timeline.
    pub fn stamp(&mut self) -> Stamp {
        self.clock.next(self.now.wall)
    }

    /// Sends a message to another host.
    pub fn send(&mut self, to: HostId, message: Message) {
        let envelope = Envelope { from: self.cfg.id, stamp: self.stamp(), message };
        self.actions.push(Action::Send { to, envelope });
    }

    /// Answers an exchange.
    pub fn answer(&mut self, tag: RequestTag, answer: Answer) {
        self.actions.push(Action::Answer { tag, answer });
    }

    /// Answers an exchange with an error, and records it on the timeline.
    ///
    /// Only requests that did not run count as refused.
    pub fn reject(&mut self, tag: RequestTag, trace: &str, problem: Problem) {
        if problem.ran == Ran::No {
            self.counters.refused += 1;
        }
        self.note(EventKind::Refused, trace, format!("{:?}: {}", problem.kind, problem.detail));
        self.answer(tag, Answer::Problem(problem));
    }

    /// Looks up a host by its number.
    #[must_use]
    pub fn host_key(&self, id: HostId) -> Option<HostKey> {
        self.hosts.iter().find(|(_, host)| host.id == id).map(|(key, _)| key)
    }

    /// Looks up a zone by its name.
    #[must_use]
    pub fn zone_key(&self, name: &str) -> Option<ZoneKey> {
        self.zones.iter().find(|(_, zone)| &*zone.name == name).map(|(key, _)| key)
    }

    /// Looks up a service by its name.
    #[must_use]
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        self.services.iter().find(|(_, service)| &*service.name == name).map(|(key, _)| key)
    }

    /// Looks up a service by its name, and adds it if it is new.
    pub fn ensure_service(&mut self, name: &str) -> ServiceKey {
        if let Some(key) = self.service_key(name) {
            return key;
        }
        self.services.insert(Service::new(name))
    }

    /// Looks up an upstream of this zone by its name.
    #[must_use]
    pub fn upstream_key(&self, name: &str) -> Option<UpstreamKey> {
        self.upstreams.iter().find(|(_, upstream)| &*upstream.spec.name == name).map(|(key, _)| key)
    }

    /// Returns the hosts of this zone that accept work, by number; this host too if it is ready.
    #[must_use]
    pub fn available_hosts(&self) -> Vec<HostId> {
        let mut ids = Vec::new();
        for key in &self.zones[self.my_zone].hosts {
            let host = &self.hosts[*key];
            let available =
                if host.id == self.cfg.id { self.ready } else { host.is_available(self.now.mono) };
            if available {
                ids.push(host.id);
            }
        }
        ids.sort_unstable();
        ids
    }

    /// Returns whether this host sends the zone's heartbeats to other zones.
    #[must_use]
    pub fn is_zone_sender(&self) -> bool {
        self.available_hosts().first() == Some(&self.cfg.id)
    }

    /// Adds a request, with a timer for its deadline.
    pub fn add_request(&mut self, request: Request) -> RequestKey {
        let (origin, deadline) = (request.origin.clone(), request.deadline);
        let key = self.requests.insert(request);
        self.timers.insert((deadline, key));
        if let Origin::Exchange(tag) = origin {
            self.request_index.insert(tag, key);
        }
        key
    }

    /// Removes a request from the arena, the queue of its service and the timers.
    pub fn remove_request(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        self.timers.remove(&(request.deadline, key));
        if let RequestState::Backoff(until) = request.state {
            self.timers.remove(&(until, key));
        }
        if let Origin::Exchange(tag) = request.origin {
            self.request_index.remove(&tag);
        }
        if let (Some(service), RequestState::Queued) = (request.service, request.state) {
            self.services[service].remove(key);
        }
        Some(request)
    }

    /// Ends a request with an error.
    pub fn fail_request(&mut self, key: RequestKey, problem: Problem) {
        let Some(request) = self.remove_request(key) else { return };
        match request.origin {
            Origin::Exchange(tag) => self.reject(tag, &request.trace, problem),
            Origin::Sample(job, leader) => {
                self.work.report(leader, &job, Err(problem.detail));
            }
        }
    }

    /// Ends a request that was never dispatched.
    ///
    /// If its key is recorded, its outcome becomes [`Outcome::NotRun`], which frees the key.
    pub fn reject_undispatched(&mut self, key: RequestKey, problem: Problem) {
        let intent = self.requests.get(key).and_then(|request| request.intent.clone());
        if let Some(intent) = intent {
            self.work.conclusions.entry(intent).or_insert(Outcome::NotRun);
        }
        self.fail_request(key, problem);
    }

    /// Appends a request to the queue of its service, or to those that other hosts handle.
    pub fn enqueue(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        request.state = RequestState::Queued;
        match (request.route, request.service) {
            (Route::Upstream, Some(service)) => {
                self.services[service].queue_mut(request.class).push_back(key);
            }
            _ => self.work.forwards.push_back(key),
        }
    }

    /// Defers the next attempt of a request until a time.
    pub fn defer_request(&mut self, key: RequestKey, until: Millis) {
        let Some(request) = self.requests.get_mut(key) else { return };
        request.state = RequestState::Backoff(until);
        self.timers.insert((until, key));
    }

    /// Removes and returns the calls that match `takes`.
    pub fn take_arrivals(&mut self, takes: impl Fn(&Call) -> bool) -> Vec<Arrival> {
        let (taken, left) = self.arrivals.drain(..).partition(|arrival| takes(&arrival.call));
        self.arrivals = left;
        taken
    }

    /// Returns the deadline of a call, on the monotonic clock.
    #[must_use]
    pub fn deadline_of(&self, arrival: &Arrival, service: Option<&str>) -> Millis {
        let setting = Millis(self.setting(SettingKey::DeadlineMs, service));
        self.now.mono + arrival.deadline.unwrap_or(setting)
    }

    /// Creates a request for a call that another host decides, and queues it for forwarding.
    ///
    /// Rejects a call that was already forwarded `MAX_HOPS` times.
    pub fn forward_call(&mut self, arrival: Arrival, route: Route) {
        if arrival.hops >= MAX_HOPS {
            let detail = "forwarded too often; the deciding host is changing";
            let problem = Problem::not_run(ErrorKind::HomeUnreachable, detail);
            self.reject(arrival.tag, &arrival.trace, problem.retry_after(ELECTION_RETRY_DELAY));
            return;
        }
        let deadline = self.deadline_of(&arrival, None);
        let origin = Origin::Exchange(arrival.tag);
        let request = Request::new(origin, arrival.trace, self.now.mono, deadline)
            .route(route)
            .call(arrival.call)
            .hops(arrival.hops)
            .maybe_ran(arrival.maybe_ran);
        let key = self.add_request(request);
        self.enqueue(key);
    }

    /// Returns whether a controller has left work on the board that another has not handled yet.
    #[must_use]
    pub fn needs_round(&self) -> bool {
        let zone = &self.groups.zone.replica;
        let fleet = self.groups.fleet.as_ref().map(|group| &group.replica);
        zone.commit_index() > zone.applied_index()
            || fleet.is_some_and(|replica| replica.commit_index() > replica.applied_index())
            || self.active_settings.offered.is_some()
            || !self.groups.rejected.is_empty()
            || !self.groups.proposals.is_empty()
            || !self.arrivals.is_empty()
            || !self.work.results.is_empty()
            || !self.work.queued_orders.is_empty()
    }

    /// Returns the leader of the fleet group with its fencing token, as far as this host has it.
    #[must_use]
    pub fn fleet_leader(&self) -> Option<(u64, HostId)> {
        let own = self.groups.fleet.as_ref().and_then(GroupReplica::known_leader);
        own.max(self.groups.fleet_leader)
    }

    /// Returns the leader of this zone's group with its fencing token, as far as this host has it.
    #[must_use]
    pub fn zone_leader(&self) -> Option<(u64, HostId)> {
        let zone = &self.groups.zone;
        if zone.replica.is_member() { zone.known_leader() } else { self.groups.zone_leader }
    }

    /// Returns whether this host leads a group and holds the lease to act for it alone.
    #[must_use]
    pub fn leads(&self, group: GroupId) -> bool {
        self.groups.group(group).is_some_and(|group| group.replica.holds_lease(self.now))
    }

    /// Returns the zone that decides about a name, the same on every host.
    ///
    /// Rendezvous hashing: the zone whose checksum with the name is the greatest wins, so that
    /// adding a zone moves only the names that the new zone wins.
    #[must_use]
    pub fn home_zone(&self, name: &str) -> ZoneKey {
        let mut best = (0, self.my_zone);
        for (key, zone) in &self.zones {
            let score = checksum(&[&zone.name, name]);
            if score > best.0 {
                best = (score, key);
            }
        }
        best.1
    }
}
