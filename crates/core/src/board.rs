//! The blackboard: all state of a host, in arenas with small `Copy` keys.
//!
//! Controllers read and write the board and do not call each other. What one wants of another it
//! leaves here: a [`Proposal`] for the log, a request in a queue, a result to be looked at.

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

/// How often a call may be handed from host to host.
const MOST_HOPS: u8 = 3;

/// The hint to callers when to come again while a leader is being elected.
const SOON: Millis = Millis(500);

/// All state of a host.
#[derive(Debug)]
pub struct Board {
    /// What the host was told before it started.
    pub cfg: HostSettings,
    /// The clocks at the event that is being handled.
    pub now: Now,
    /// The only source of random choices.
    pub rng: Pcg64Mcg,
    /// Stamps events and messages.
    pub clock: HybridClock,
    /// The life of this process, different after every start.
    pub boot_id: u64,
    /// The latest events.
    pub timeline: Timeline,
    /// Counters for the metrics page.
    pub counters: Counters,
    /// Availability zones.
    pub zones: SlotMap<ZoneKey, Zone>,
    /// Hosts of the fleet.
    pub hosts: SlotMap<HostKey, Host>,
    /// Services that were ever announced in this zone, or asked for.
    pub services: SlotMap<ServiceKey, Service>,
    /// Upstreams of this zone.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Requests held by this host.
    pub requests: SlotMap<RequestKey, Request>,
    /// Attempts that run.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Orders to upstreams that are not answered.
    pub orders: SlotMap<OrderKey, Order>,
    /// The requests of exchanges.
    pub request_index: BTreeMap<RequestTag, RequestKey>,
    /// When something is due for a request.
    pub timers: BTreeSet<(Millis, RequestKey)>,
    /// The settings that this host serves under.
    pub active_settings: ActiveSettings,
    /// The replicas, their applied state, and what waits for the disk.
    pub groups: Groups,
    /// Samples that are being generated, for this leader or for another.
    pub work: Work,
    /// The zone of this host.
    pub my_zone: ZoneKey,
    /// Whether the host may take work.
    pub ready: bool,
    /// Since when the host is stopping.
    pub draining_since: Option<Millis>,
    /// Calls that no controller has taken yet.
    pub arrivals: Vec<Arrival>,
    /// When the process started, on the monotonic clock.
    pub started: Millis,
    /// When each controller has something to do next.
    pub schedule: Schedule,
    /// What the controllers want done, in order.
    pub actions: Vec<Action>,
}

impl Board {
    /// Makes the board of a host that knows nothing yet.
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
        let place = SettingContext { zone: &self.cfg.zone, host: &self.cfg.name, service };
        self.active_settings.settings.value(key, place)
    }

    /// Puts an event on the time line and in the log.
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

    /// Returns the next stamp of the time line.
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

    /// Answers an exchange with an error, counted and noted.
    pub fn reject(&mut self, tag: RequestTag, trace: &str, problem: Problem) {
        if problem.ran == Ran::No {
            self.counters.refused += 1;
        }
        self.note(EventKind::Refused, trace, format!("{:?}: {}", problem.kind, problem.detail));
        self.answer(tag, Answer::Problem(problem));
    }

    /// Looks a host up by its number.
    #[must_use]
    pub fn host_key(&self, id: HostId) -> Option<HostKey> {
        self.hosts.iter().find(|(_, host)| host.id == id).map(|(key, _)| key)
    }

    /// Looks a zone up by its name.
    #[must_use]
    pub fn zone_key(&self, name: &str) -> Option<ZoneKey> {
        self.zones.iter().find(|(_, zone)| &*zone.name == name).map(|(key, _)| key)
    }

    /// Looks a service up by its name.
    #[must_use]
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        self.services.iter().find(|(_, service)| &*service.name == name).map(|(key, _)| key)
    }

    /// Looks a service up by its name, and makes it where it is new.
    pub fn ensure_service(&mut self, name: &str) -> ServiceKey {
        if let Some(key) = self.service_key(name) {
            return key;
        }
        self.services.insert(Service::new(name))
    }

    /// Looks an upstream of this zone up by its name.
    #[must_use]
    pub fn upstream_key(&self, name: &str) -> Option<UpstreamKey> {
        self.upstreams.iter().find(|(_, upstream)| &*upstream.spec.name == name).map(|(key, _)| key)
    }

    /// Returns the hosts of this zone that take work, this one included where it does.
    #[must_use]
    pub fn available_hosts(&self) -> Vec<HostId> {
        let mut ids = Vec::new();
        for key in &self.zones[self.my_zone].hosts {
            let host = &self.hosts[*key];
            let works =
                if host.id == self.cfg.id { self.ready } else { host.is_available(self.now.mono) };
            if works {
                ids.push(host.id);
            }
        }
        ids.sort_unstable();
        ids
    }

    /// Adds a request, and its deadline to the timers.
    pub fn add_request(&mut self, request: Request) -> RequestKey {
        let (origin, deadline) = (request.origin.clone(), request.deadline);
        let key = self.requests.insert(request);
        self.timers.insert((deadline, key));
        if let Origin::Exchange(tag) = origin {
            self.request_index.insert(tag, key);
        }
        key
    }

    /// Removes a request from the arena, its queue and the timers.
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

    /// Ends a request that has no answer but an error.
    pub fn fail_request(&mut self, key: RequestKey, problem: Problem) {
        let Some(request) = self.remove_request(key) else { return };
        match request.origin {
            Origin::Exchange(tag) => self.reject(tag, &request.trace, problem),
            Origin::Sample(job, leader) => {
                self.work.report(leader, &job, Err(problem.detail));
            }
        }
    }

    /// Ends a request that was never dispatched, and frees the key under which it is recorded.
    pub fn reject_undispatched(&mut self, key: RequestKey, problem: Problem) {
        let intent = self.requests.get(key).and_then(|request| request.intent.clone());
        if let Some(intent) = intent {
            self.work.conclusions.entry(intent).or_insert(Outcome::NotRun);
        }
        self.fail_request(key, problem);
    }

    /// Puts a request at the end of its service's queue, or among those to be handed on.
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

    /// Sets a request aside until a time.
    pub fn defer_request(&mut self, key: RequestKey, until: Millis) {
        let Some(request) = self.requests.get_mut(key) else { return };
        request.state = RequestState::Backoff(until);
        self.timers.insert((until, key));
    }

    /// Removes and returns the calls that a controller takes.
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

    /// Makes a request of a call that another host is to decide.
    pub fn forward_call(&mut self, arrival: Arrival, route: Route) {
        if arrival.hops >= MOST_HOPS {
            let detail = "handed on too often; the deciding host is changing";
            let problem = Problem::not_run(ErrorKind::HomeUnreachable, detail);
            self.reject(arrival.tag, &arrival.trace, problem.retry_after(SOON));
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

    /// Tells whether a controller has left something that another is still to look at.
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

    /// Returns the leader of the fleet group with its fencing number, as far as it is known.
    #[must_use]
    pub fn fleet_leader(&self) -> Option<(u64, HostId)> {
        let own = self.groups.fleet.as_ref().and_then(GroupReplica::known_leader);
        own.max(self.groups.fleet_leader)
    }

    /// Returns the leader of this zone's group with its fencing number, as far as it is known.
    #[must_use]
    pub fn zone_leader(&self) -> Option<(u64, HostId)> {
        let zone = &self.groups.zone;
        if zone.replica.is_member() { zone.known_leader() } else { self.groups.zone_leader }
    }

    /// Tells whether this host leads a group and may act on it alone.
    #[must_use]
    pub fn leads(&self, group: GroupId) -> bool {
        self.groups.group(group).is_some_and(|group| group.replica.holds_lease(self.now))
    }

    /// Returns the zone that decides about a name: the same on every host, for all time.
    ///
    /// Each zone's number for the name is a checksum of both; the greatest wins (rendezvous
    /// hashing), so that adding a zone moves only the names that it wins.
    #[must_use]
    pub fn home_zone(&self, name: &str) -> ZoneKey {
        let mut best = (0, self.my_zone);
        for (key, zone) in &self.zones {
            let number = checksum(&[&zone.name, name]);
            if number > best.0 {
                best = (number, key);
            }
        }
        best.1
    }
}
