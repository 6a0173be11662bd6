//! The blackboard of a gateway: all state of a host, in arenas with small `Copy` keys.

mod group;
mod host;
mod item;
mod order;
mod request;
mod store_request;
mod text;
mod upstream;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::checksum::checksum;
use crate::directory::{DirectoryCommand, ItemSpec, RoutingConfig};
use crate::error::{Problem, Ran};
use crate::gateway::action::{Action, Answer, Counters};
use crate::gateway::event::{Announcement, IncomingCall};
use crate::gateway::message::{GatewayMessage, StoreReply, StoreRequest};
use crate::gateway::settings::{GatewaySettings, Role};
use crate::key::{
    AttemptKey, HostId, HostKey, ItemKey, JobKey, OrderKey, RequestKey, RequestTag,
    StoreRequestKey, UpstreamKey,
};
use crate::message::{Envelope, Message};
use crate::time::{Millis, Now};
use crate::timeline::{EventKind, HybridClock, Timeline, TimelineEvent};

pub use group::DirectoryGroup;
pub use host::{HOST_SILENCE_TIMEOUT, Host};
pub use item::{Item, ItemState, JobRun};
pub use order::{LoadState, PendingOrder};
pub use request::{Request, RequestState};
pub use store_request::{
    Origin, PendingDecision, PendingStoreRequest, ResultsReader, StoreRequestState,
};
pub use text::{TextCache, is_same_item};
pub use upstream::{Upstream, UpstreamHealth};

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A request of a caller.
    Request(RequestKey),
    /// An item of a job.
    Item(ItemKey),
}

/// One attempt that runs.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// What it is for.
    pub purpose: Purpose,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// When it began.
    pub started: Millis,
    /// The tokens that it reserves in the upstream's memory.
    pub tokens: u64,
}

/// All state of a gateway.
#[derive(Debug)]
pub struct Board {
    /// What the host was told before it started.
    pub cfg: GatewaySettings,
    /// The clocks at the event that is being handled.
    pub now: Now,
    /// The only source of random choices.
    pub rng: Pcg64Mcg,
    /// Stamps events and messages.
    pub clock: HybridClock,
    /// The latest events.
    pub timeline: Timeline,
    /// Counters for the metrics page.
    pub counters: Counters,
    /// Hosts that this one knows, without itself.
    pub hosts: SlotMap<HostKey, Host>,
    /// Hosts by their numbers.
    pub host_index: BTreeMap<HostId, HostKey>,
    /// The fencing number and leader of the directory group, as far as this host knows.
    pub leader: Option<(u64, HostId)>,
    /// Upstreams.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Upstreams by the name of their life.
    pub upstream_index: BTreeMap<Box<str>, UpstreamKey>,
    /// Grows with each change of an upstream that others are to hear of.
    pub revision: u64,
    /// Whether an upstream changed that has not been passed on.
    pub registry_changed: bool,
    /// Announcements to be taken in.
    pub pending_announcements: Vec<(Announcement, AnnouncementSource)>,
    /// The routing configuration in force on this host.
    pub routing: Option<Arc<RoutingConfig>>,
    /// A routing configuration that a controller has found.
    pub received_routing: Option<Arc<RoutingConfig>>,
    /// Calls that no controller has taken yet.
    pub pending_calls: VecDeque<IncomingCall>,
    /// Requests of callers.
    pub requests: SlotMap<RequestKey, Request>,
    /// The requests of exchanges.
    pub request_index: BTreeMap<RequestTag, RequestKey>,
    /// Attempts that run.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Questions that this host has to get answered.
    pub store_requests: SlotMap<StoreRequestKey, PendingStoreRequest>,
    /// Replies to those questions.
    pub replies: Vec<(StoreRequestKey, Option<HostId>, StoreReply)>,
    /// Questions that this host is to decide.
    pub pending_decisions: Vec<PendingDecision>,
    /// Readers that wait for results.
    pub results_readers: Vec<ResultsReader>,
    /// The directory group, on store hosts.
    pub group: Option<DirectoryGroup>,
    /// Commands for the directory's log, with whoever waits for them.
    pub proposals: Vec<(DirectoryCommand, Option<Origin>)>,
    /// Jobs whose results grew or that came or ended in this event.
    pub changed_jobs: BTreeSet<Box<str>>,
    /// Jobs whose items this host runs.
    pub jobs: SlotMap<JobKey, JobRun>,
    /// Running jobs by their names.
    pub job_index: BTreeMap<Box<str>, JobKey>,
    /// Items that are not listed.
    pub items: SlotMap<ItemKey, Item>,
    /// Items of jobs that were dropped, until their last attempt has ended.
    pub orphans: BTreeMap<AttemptKey, (ItemSpec, Item)>,
    /// Texts of items that were begun and not listed.
    pub text_cache: TextCache,
    /// Orders that are not answered.
    pub orders: SlotMap<OrderKey, PendingOrder>,
    /// Whether the host takes requests.
    pub ready: bool,
    /// Since when the host is stopping.
    pub draining: Option<Millis>,
    /// Whether the controllers are to run once more for this event.
    pub another_round: bool,
    /// What is to be done.
    pub actions: Vec<Action>,
}

/// From whom an announcement came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementSource {
    /// From the upstream itself.
    Upstream,
    /// From another store host's registry.
    Registry {
        /// The store host.
        host: HostId,
        /// Whether that host has not heard of it lately.
        silent: bool,
        /// Whether it is gone for good.
        gone: bool,
    },
}

impl Board {
    /// Makes the board of a host that has heard of nothing but its seeds.
    #[must_use]
    pub fn new(cfg: GatewaySettings, now: Now) -> Self {
        let group = (cfg.role == Role::Store).then(|| DirectoryGroup::new(&cfg));
        // Hosts that start in the same millisecond must not draw the same election times.
        let seed = checksum(&[&cfg.name, &cfg.seed.to_string(), &cfg.boot_id.to_string()]);
        let mut board = Self {
            now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            clock: HybridClock::default(),
            timeline: Timeline::new(cfg.timeline_capacity),
            counters: Counters::default(),
            hosts: SlotMap::with_key(),
            host_index: BTreeMap::new(),
            leader: None,
            upstreams: SlotMap::with_key(),
            upstream_index: BTreeMap::new(),
            revision: 0,
            registry_changed: false,
            pending_announcements: Vec::new(),
            routing: None,
            received_routing: None,
            pending_calls: VecDeque::new(),
            requests: SlotMap::with_key(),
            request_index: BTreeMap::new(),
            attempts: SlotMap::with_key(),
            store_requests: SlotMap::with_key(),
            replies: Vec::new(),
            pending_decisions: Vec::new(),
            results_readers: Vec::new(),
            group,
            proposals: Vec::new(),
            changed_jobs: BTreeSet::new(),
            jobs: SlotMap::with_key(),
            job_index: BTreeMap::new(),
            items: SlotMap::with_key(),
            orphans: BTreeMap::new(),
            text_cache: TextCache::default(),
            orders: SlotMap::with_key(),
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

    /// Puts an event on the time line and in the log.
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

    /// Answers an exchange with an error, counted and noted.
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

    /// Replies to whoever asked a question.
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

    /// Adds a question that this host has to get answered.
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

    /// Looks a host up, and makes it where it is new.
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

    /// Returns the store hosts that were heard from lately, the nearest first.
    #[must_use]
    pub fn live_stores(&self) -> Vec<HostId> {
        let mut stores = Vec::new();
        for host in self.hosts.values() {
            if host.role == Role::Store && host.is_live(self.now.mono) {
                stores.push((self.cfg.distance(&host.zone), host.id));
            }
        }
        stores.sort_unstable();
        stores.into_iter().map(|(_, id)| id).collect()
    }

    /// Tells whether this host leads the directory group and may act on it alone.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(|group| group.replica.holds_lease(self.now))
    }

    /// Takes the upstream's side of an attempt back and returns the attempt.
    pub fn end_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            upstream.tokens = upstream.tokens.saturating_sub(attempt.tokens);
        }
        Some(attempt)
    }

    /// Begins an attempt at an upstream.
    pub fn begin_attempt(
        &mut self,
        purpose: Purpose,
        upstream: UpstreamKey,
        tokens: u64,
    ) -> AttemptKey {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.in_flight += 1;
            upstream.tokens += tokens;
        }
        self.attempts.insert(Attempt { purpose, upstream, started: self.now.mono, tokens })
    }
}
