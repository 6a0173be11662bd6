//! The blackboard of a gateway: all state of a host, in arenas with small `Copy` keys.

mod admission;
mod announcement_source;
mod attempt;
mod fact_log;
mod group;
mod host;
mod item;
mod limit;
mod memory;
mod order;
mod quota;
mod reach;
mod recent_successes;
mod request;
mod reward_queue;
mod store_request;
mod stream_origin;
mod suspects;
mod text;
mod upstream;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::checksum::checksum;
use crate::directory::{DirectoryCommand, RoutingConfig};
use crate::error::{Problem, Ran};
use crate::gateway::action::{Action, Answer, Counters};
use crate::gateway::event::{Announcement, IncomingCall};
use crate::gateway::lease::HolderLease;
use crate::gateway::message::{
    GatewayMessage, LimitRecord, StoreReply, StoreRequest, Subscription,
};
use crate::gateway::provider::ProviderQueue;
use crate::gateway::scaling::ScalingState;
use crate::gateway::settings::{GatewaySettings, Role};
use crate::gateway::usage::StartLog;
use crate::key::{
    AttemptKey, HostId, HostKey, ItemKey, JobKey, OrderKey, RequestKey, RequestTag,
    StoreRequestKey, UpstreamKey,
};
use crate::message::{Envelope, Message};
use crate::time::{Millis, Now};
use crate::timeline::{EventKind, HybridClock, Timeline, TimelineEvent};

pub use admission::Admission;
pub use announcement_source::AnnouncementSource;
pub use attempt::{Attempt, Purpose};
pub use fact_log::{Changes, FactLog, FactPosition};
pub use group::{DirectoryGroup, PendingCommit, PendingSync};
pub use host::{HOST_SILENCE_TIMEOUT, Host};
pub use item::{Item, ItemState, JobRun};
pub use limit::{StatedLimit, UpstreamLimit};
pub use memory::ProcessMemory;
pub use order::{LoadState, LoadTime, PendingOrder, WeightLoad};
pub use quota::{Ledger, MAX_RETURN_TIME, PERMIT_VALIDITY, Permits, QuotaClaim, QuotaWait};
pub use reach::{LinkState, Reach};
pub use recent_successes::RecentSuccesses;
pub use request::{Request, RequestState};
pub use reward_queue::RewardQueue;
pub use store_request::{
    Origin, PendingDecision, PendingStoreRequest, ResultsReader, StoreRequestState,
};
pub use stream_origin::{InstanceId, StreamOrigin, StreamOrigins, StreamRecord, StreamSearch};
pub use suspects::{CRASH_RETENTION, QUARANTINE_CRASHES, Suspects, incarnation};
pub use text::{Orphan, ReusableText, TextCache, is_same_item};
pub use upstream::{
    DEFAULT_EVENT_INTERVAL_US, DEPARTURE_RETENTION, Departure, ENDED_RETENTION, LeaveNotice,
    LeaveSource, SaidLeaving, Upstream, UpstreamHealth,
};

/// All state of a gateway.
#[derive(Debug)]
pub struct Board {
    /// The settings of the host.
    pub cfg: GatewaySettings,
    /// The clocks at the event that is being handled.
    pub now: Now,
    /// The memory of the process.
    pub memory: ProcessMemory,
    /// The only source of randomness.
    pub rng: Pcg64Mcg,
    /// The clock that stamps events and messages.
    pub clock: HybridClock,
    /// The latest events.
    pub timeline: Timeline,
    /// The counters for the metrics page.
    pub counters: Counters,
    /// The other hosts that this one knows.
    pub hosts: SlotMap<HostKey, Host>,
    /// The hosts by id.
    pub host_index: BTreeMap<HostId, HostKey>,
    /// The fencing token and leader of the directory group, as far as this host knows.
    pub leader: Option<(u64, HostId)>,
    /// The voters of the directory group as far as this host knows, from the log entry with an index.
    pub voters: (u64, Vec<HostId>),
    /// The upstreams.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// The upstreams by instance id.
    pub upstream_index: BTreeMap<Box<str>, UpstreamKey>,
    /// The instances that were in the registry of the process before this one, by id, and have not
    /// announced themselves since: they may be told to leave, and get no work.
    pub unheard: BTreeMap<Box<str>, Announcement>,
    /// Upstreams that have started again, under the same id, with another software version; not
    /// handled yet.
    pub upgraded_upstreams: Vec<UpstreamKey>,
    /// When the last upstream that has announced its departure is gone.
    pub last_departure: Millis,
    /// The revision of the registry; grows with each change of an upstream that other hosts need.
    pub revision: u64,
    /// Whether the registry changed since the last views were sent.
    pub registry_changed: bool,
    /// Announcements from other hosts that are not handled yet.
    pub pending_announcements: Vec<(Announcement, AnnouncementSource)>,
    /// Reports of other hosts that an upstream has said in an answer that it leaves, by its id and
    /// the wall time of its start, with the host; not handled yet.
    pub pending_leaves: Vec<(Box<str>, u64, HostId)>,
    /// Upstreams that have told this store host that they leave, and the exchanges that wait until
    /// other store hosts know it.
    pub unconfirmed_leaves: Vec<(UpstreamKey, RequestTag)>,
    /// Reports of other hosts on the limit of an upstream, by its id and the wall time of its start;
    /// not handled yet.
    pub pending_limits: Vec<LimitRecord>,
    /// Whether an upstream that is known may have a limit.
    pub has_limits: bool,
    /// The requests that this host may send only with permits, by service.
    pub quota_waits: BTreeMap<Box<str>, QuotaWait>,
    /// The permits that hosts wait for, on the host that grants them.
    pub quota_claims: Vec<QuotaClaim>,
    /// The routing configuration in force on this host.
    pub routing: Option<Arc<RoutingConfig>>,
    /// A received routing configuration, to put in force if it is newer than the current one.
    pub received_routing: Option<Arc<RoutingConfig>>,
    /// Calls that are not handled yet.
    pub pending_calls: VecDeque<IncomingCall>,
    /// The requests of callers.
    pub requests: SlotMap<RequestKey, Request>,
    /// The requests by exchange.
    pub request_index: BTreeMap<RequestTag, RequestKey>,
    /// Whether this host can open connections to the upstreams over its own links.
    pub reach: Reach,
    /// The connections to upstreams that this host relays for others.
    pub relayed: BTreeSet<RequestTag>,
    /// The requests under which upstreams ended.
    pub suspects: Suspects,
    /// The requests that succeeded here a short time ago.
    pub recent_successes: RecentSuccesses,
    /// Whether `suspects` changed since other hosts were last told.
    pub suspects_changed: bool,
    /// The streams that this host has sent to upstreams, and of which the stores are not told yet.
    pub new_streams: Vec<StreamRecord>,
    /// The streams of callers that this store host remembers.
    pub stream_origins: StreamOrigins,
    /// The searches for the origins of streams that callers take up.
    pub stream_searches: BTreeMap<RequestKey, StreamSearch>,
    /// The running attempts.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Store requests that this host has sent or will send.
    pub store_requests: SlotMap<StoreRequestKey, PendingStoreRequest>,
    /// Replies to those requests that are not handled yet, with the replying host; `None` stands for
    /// this host.
    pub replies: Vec<(StoreRequestKey, Option<HostId>, StoreReply)>,
    /// Store requests that this host must handle.
    pub pending_decisions: Vec<PendingDecision>,
    /// Reads of results that wait for the first result.
    pub results_readers: Vec<ResultsReader>,
    /// The facts that this store host writes to its disk beside the log.
    pub facts: FactLog,
    /// The directory group; `None` on entry hosts.
    pub group: Option<DirectoryGroup>,
    /// Commands to propose to the directory group's replicated log, with the sender that waits for
    /// the commit, if any.
    pub proposals: Vec<(DirectoryCommand, Option<Origin>)>,
    /// Ids of the jobs that were accepted, ended, or got results since the last check.
    pub changed_jobs: BTreeSet<Box<str>>,
    /// Jobs whose items this host runs.
    pub jobs: SlotMap<JobKey, JobRun>,
    /// Those jobs by id.
    pub job_index: BTreeMap<Box<str>, JobKey>,
    /// The items of those jobs that have no committed result yet.
    pub items: SlotMap<ItemKey, Item>,
    /// Items whose job ended, or whose result was committed, while an attempt was still running; each
    /// is kept until its attempt ends.
    pub orphans: BTreeMap<AttemptKey, Orphan>,
    /// The items of those jobs whose texts wait for their reward calls.
    pub reward_queue: RewardQueue,
    /// Items whose reward calls have ended for good, with the score, or `None` where the upstreams
    /// failed the call too often; not handled yet.
    pub scored_items: Vec<(ItemKey, Option<Box<str>>)>,
    /// Texts of unfinished items, for later jobs.
    pub text_cache: TextCache,
    /// Orders whose end has not been reported.
    pub orders: SlotMap<OrderKey, PendingOrder>,
    /// The time that upstreams take to load weights.
    pub load_time: LoadTime,
    /// The lease under which this host performs singleton tasks; `None` while it may not.
    pub holder_lease: Option<HolderLease>,
    /// The requests to the infrastructure provider, and the ends of the calls.
    pub provider: ProviderQueue,
    /// The starts of callers' requests that this entry host has observed.
    pub usage: StartLog,
    /// The numbers of upstreams, on the host that orders them.
    pub scaling: ScalingState,
    /// Whether the host takes requests.
    pub ready: bool,
    /// When the host began to stop; `None` where it does not stop.
    pub draining: Option<Millis>,
    /// Whether the controllers must run another round for this event.
    pub another_round: bool,
    /// The actions to carry out, in order.
    pub actions: Vec<Action>,
}

impl Board {
    /// Creates the board of a host that knows nothing but its seeds.
    #[must_use]
    pub fn new(cfg: GatewaySettings, now: Now) -> Self {
        let group = (cfg.role == Role::Store).then(|| DirectoryGroup::new(&cfg));
        // Hosts that start in the same millisecond must not draw the same election time-outs.
        let seed = checksum(&[&cfg.name, &cfg.seed.to_string(), &cfg.boot_id.to_string()]);
        let memory = ProcessMemory::new(cfg.memory_limit);
        let mut board = Self {
            now,
            memory,
            rng: Pcg64Mcg::seed_from_u64(seed),
            clock: HybridClock::default(),
            timeline: Timeline::new(cfg.timeline_capacity),
            counters: Counters::default(),
            hosts: SlotMap::with_key(),
            host_index: BTreeMap::new(),
            leader: None,
            voters: (0, Vec::new()),
            upstreams: SlotMap::with_key(),
            upstream_index: BTreeMap::new(),
            unheard: BTreeMap::new(),
            upgraded_upstreams: Vec::new(),
            last_departure: Millis(0),
            revision: 0,
            registry_changed: false,
            pending_announcements: Vec::new(),
            pending_leaves: Vec::new(),
            unconfirmed_leaves: Vec::new(),
            pending_limits: Vec::new(),
            has_limits: false,
            quota_waits: BTreeMap::new(),
            quota_claims: Vec::new(),
            routing: None,
            received_routing: None,
            pending_calls: VecDeque::new(),
            requests: SlotMap::with_key(),
            request_index: BTreeMap::new(),
            reach: Reach::default(),
            relayed: BTreeSet::new(),
            suspects: Suspects::default(),
            recent_successes: RecentSuccesses::default(),
            suspects_changed: false,
            new_streams: Vec::new(),
            stream_origins: StreamOrigins::default(),
            stream_searches: BTreeMap::new(),
            attempts: SlotMap::with_key(),
            store_requests: SlotMap::with_key(),
            replies: Vec::new(),
            pending_decisions: Vec::new(),
            results_readers: Vec::new(),
            facts: FactLog::default(),
            group,
            proposals: Vec::new(),
            changed_jobs: BTreeSet::new(),
            jobs: SlotMap::with_key(),
            job_index: BTreeMap::new(),
            items: SlotMap::with_key(),
            orphans: BTreeMap::new(),
            reward_queue: RewardQueue::default(),
            scored_items: Vec::new(),
            text_cache: TextCache::new(memory.text_cache_budget()),
            orders: SlotMap::with_key(),
            load_time: LoadTime::default(),
            holder_lease: None,
            provider: ProviderQueue::default(),
            usage: StartLog::default(),
            scaling: ScalingState::default(),
            ready: false,
            draining: None,
            another_round: false,
            actions: Vec::new(),
            cfg,
        };
        for seed in board.cfg.seeds.clone() {
            board.ensure_host(seed, Role::Store);
        }
        board
    }

    /// Adds an event to the timeline and writes it as a log line.
    pub fn note(
        &mut self,
        kind: EventKind,
        subject: impl Into<Box<str>>,
        detail: impl Into<Box<str>>,
    ) {
        let stamp = self.clock.next(self.now.wall);
        let (subject, detail) = (subject.into(), detail.into());
        let event = TimelineEvent { stamp, host: self.cfg.id, kind, subject, detail };
        self.timeline.push(event.clone());
        self.actions.push(Action::Note(event));
    }

    /// Sends a message to another host.
    pub fn send(&mut self, to: HostId, message: GatewayMessage) {
        self.send_message(to, Message::Gateway(Box::new(message)));
    }

    /// Sends a message of any kind to another host.
    pub fn send_message(&mut self, to: HostId, message: Message) {
        let stamp = self.clock.next(self.now.wall);
        let envelope = Envelope { from: self.cfg.id, stamp, message };
        self.actions.push(Action::Send { to, envelope });
    }

    /// Answers an exchange.
    pub fn answer(&mut self, tag: RequestTag, answer: Answer) {
        self.actions.push(Action::Answer { tag, answer });
    }

    /// Answers an exchange with an error, counts it, adds it to the timeline and writes a log line.
    pub fn reject(&mut self, tag: RequestTag, trace: &str, problem: Problem) {
        if problem.ran == Ran::No {
            self.counters.refused += 1;
        } else {
            self.counters.failed += 1;
        }
        let detail = format!("kind={:?} ran={:?} {}", problem.kind, problem.ran, problem.detail);
        self.note(EventKind::Refused, trace, detail);
        self.answer(tag, Answer::Problem(problem));
    }

    /// Replies to the sender of a store request.
    pub fn reply(&mut self, origin: Origin, reply: StoreReply) {
        match origin {
            Origin::Local(key) => {
                self.replies.push((key, None, reply));
                self.another_round = true;
            }
            Origin::Remote { host, boot_id, key } => {
                self.send(host, GatewayMessage::Reply { boot_id, key, reply });
            }
        }
    }

    /// Adds a store request; the exchange waits for its reply until the given time.
    pub fn request_from_store(
        &mut self,
        tag: RequestTag,
        trace: Box<str>,
        request: StoreRequest,
        until: Millis,
    ) -> StoreRequestKey {
        self.another_round = true;
        self.store_requests.insert(PendingStoreRequest::new(
            tag,
            trace,
            request,
            self.now.mono,
            until,
        ))
    }

    /// Returns the key of a host, which is added where it is new; `None` for this host itself.
    pub fn ensure_host(&mut self, id: HostId, role: Role) -> Option<HostKey> {
        if id == self.cfg.id {
            return None;
        }
        if let Some(key) = self.host_index.get(&id) {
            return Some(*key);
        }
        let key = self.hosts.insert(Host::new(id, role));
        self.host_index.insert(id, key);
        if let Some(group) = self.group.as_mut().filter(|_| role == Role::Store) {
            group.replica.add_member(id);
        }
        Some(key)
    }

    /// Returns the other store hosts that are live, the nearest first.
    #[must_use]
    pub fn live_stores(&self) -> Vec<HostId> {
        self.stores_by(|host| host.is_live(self.now.mono).then_some(()))
    }

    /// Returns the other store hosts that are live here or at a live contact, the nearest first.
    #[must_use]
    pub fn reachable_stores(&self) -> Vec<HostId> {
        let now = self.now.mono;
        self.stores_by(|host| {
            let is_reported_only = !host.is_live(now);
            host.is_reachable(now).then_some(is_reported_only)
        })
    }

    /// Returns the contacts of this host that are live, the nearest first.
    #[must_use]
    pub fn live_contacts(&self) -> Vec<HostId> {
        let now = self.now.mono;
        self.stores_by(|host| (host.contact_since.is_some() && host.is_live(now)).then_some(()))
    }

    /// Returns the other store hosts that have a rank, by their rank and then the nearest first.
    fn stores_by<R: Ord>(&self, rank: impl Fn(&Host) -> Option<R>) -> Vec<HostId> {
        let mut stores = Vec::new();
        for host in self.hosts.values().filter(|host| host.role == Role::Store) {
            if let Some(rank) = rank(host) {
                stores.push((rank, self.cfg.distance(&host.zone), host.id));
            }
        }
        stores.sort_unstable();
        stores.into_iter().map(|(.., id)| id).collect()
    }

    /// Returns the hosts that are sent changes without being asked.
    #[must_use]
    pub fn subscribers(&self) -> Vec<HostKey> {
        let now = self.now.mono;
        let subscribed = self
            .hosts
            .iter()
            .filter(|(_, host)| host.active_subscription(now) != Subscription::None);
        subscribed.map(|(key, _)| key).collect()
    }

    /// Returns whether this host leads the directory group and holds the lease, so that it may act
    /// without first asking the other voters.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(|group| group.replica.holds_lease(self.now))
    }

    /// Removes an attempt, releases what it holds at the upstream, and returns it.
    ///
    /// Returns `None` where the attempt has been removed before.
    pub fn end_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.end_attempt(&attempt);
        }
        Some(attempt)
    }

    /// Adds an attempt at the upstream that has admitted it, which reserves `tokens` tokens of its
    /// memory.
    pub fn begin_attempt(
        &mut self,
        purpose: Purpose,
        admission: Admission,
        tokens: u64,
    ) -> AttemptKey {
        let upstream = admission.redeem();
        let mut number = 0;
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.begin_attempt(purpose, tokens, self.now.mono);
            number = incarnation(&upstream.announced.id, upstream.announced.started_at);
        }
        let started = self.now.mono;
        let attempt =
            Attempt { purpose, upstream, incarnation: number, started, tokens, relayed: false };
        self.attempts.insert(attempt)
    }

    /// Adds an order to the upstream that has admitted it.
    pub fn begin_order(&mut self, admission: Admission, model: &str, version: u64) -> OrderKey {
        let upstream = admission.redeem();
        let sent = self.now.mono;
        let order =
            self.orders.insert(PendingOrder { upstream, model: model.into(), version, sent });
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.load.pending = Some((order, model.into()));
        }
        order
    }
}
