//! Dispatch: sends queued requests to upstreams with free slots, and forwards calls to other hosts.
//!
//! Reads: queues, `upstreams`, `zones`, `hosts`, `groups`, `active_settings`.
//! Writes: `attempts`, `requests`, `services`, `upstreams.in_flight`, `arrivals`, `actions`.

use rand::Rng;

use super::Controller;
use crate::action::{Action, Dispatch, Source, Target};
use crate::agreement::GroupId;
use crate::board::{
    Attempt, AttemptTarget, Board, Class, LEADER_POLL_INTERVAL, LEADER_TIMEOUT, Origin,
    RequestState, Route, UpstreamState,
};
use crate::error::{ErrorKind, Problem};
use crate::event::{Arrival, Event};
use crate::fleet::SettingKey;
use crate::key::{HostId, RequestKey, ServiceKey, UpstreamKey, ZoneKey};
use crate::policy::{Candidate, Placement, QueueHead, QueueOrder};
use crate::time::Millis;
use crate::timeline::EventKind;

/// Maximum age of an upstream's load report; an older one is ignored.
const MAX_REPORT_AGE: Millis = Millis(1_000);

/// Time for which slots stay reserved for interactive requests after the last one arrived.
const INTERACTIVE_RESERVE_TIMEOUT: Millis = Millis(10_000);

/// Minimum time left before the deadline for a request to be dispatched.
const MIN_TIME_LEFT: Millis = Millis(5);

/// Starts the attempts of requests.
#[derive(Debug)]
pub(super) struct Dispatcher {
    placement: Box<dyn Placement>,
    queue_order: Box<dyn QueueOrder>,
}

impl Dispatcher {
    /// Creates the controller with its policies.
    pub(super) fn new(placement: Box<dyn Placement>, queue_order: Box<dyn QueueOrder>) -> Self {
        Self { placement, queue_order }
    }
}

impl Controller for Dispatcher {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        let count = board.work.forwards.len();
        for _ in 0..count {
            let Some(key) = board.work.forwards.pop_front() else { break };
            forward(board, key);
        }
        let services: Vec<ServiceKey> = board.services.keys().collect();
        for service in services {
            while self.dispatch_next(board, service) {}
        }
    }
}

impl Dispatcher {
    /// Dispatches the next request of a service, or rejects it when too little time is left.
    ///
    /// Returns whether there was a request that could be dispatched or rejected.
    fn dispatch_next(&mut self, board: &mut Board, service: ServiceKey) -> bool {
        if board.services[service].waiting() == 0 || at_attempt_limit(board) {
            return false;
        }
        let candidates = candidates(board, service);
        if candidates.is_empty() {
            return false;
        }
        let Some(key) = self.next_request(board, service) else { return false };
        let failed_on = board.requests.get(key).and_then(|request| request.avoid);
        let preferred: Vec<Candidate> =
            candidates.iter().copied().filter(|other| Some(other.upstream) != failed_on).collect();
        let pool = if preferred.is_empty() { &candidates } else { &preferred };
        let Some(at) = self.placement.choose(pool, &mut board.rng) else { return false };
        if too_late(board, key, &pool[at]) {
            let detail = "too little time was left to run the request";
            board.reject_undispatched(key, Problem::not_run(ErrorKind::DeadlineExceeded, detail));
            return true;
        }
        start_on_upstream(board, key, pool[at].upstream);
        true
    }

    fn next_request(&mut self, board: &mut Board, service: ServiceKey) -> Option<RequestKey> {
        let name = board.services[service].name.clone();
        let share = board.setting(SettingKey::RolloutSharePercent, Some(&name));
        let interactive = head(board, service, Class::Interactive);
        let rollout =
            head(board, service, Class::Rollout).filter(|_| rollout_has_room(board, service));
        if interactive.is_none() && rollout.is_none() {
            return None;
        }
        let rollout_next = self.queue_order.rollout_next(interactive, rollout, share);
        let class = if rollout_next { Class::Rollout } else { Class::Interactive };
        board.services[service].queue_mut(class).pop_front()
    }
}

/// Returns whether a request is unlikely to complete before its deadline: it has less time left
/// than half the smoothed time of a request on the upstream, or than [`MIN_TIME_LEFT`].
fn too_late(board: &Board, key: RequestKey, candidate: &Candidate) -> bool {
    let Some(request) = board.requests.get(key) else { return false };
    let left = request.deadline.since(board.now.mono);
    left < MIN_TIME_LEFT.max(Millis(u64::from(candidate.latency_ms) / 2))
}

/// Returns whether one more rollout attempt leaves the interactive reserve free.
///
/// Slots are reserved only if an interactive request arrived within
/// [`INTERACTIVE_RESERVE_TIMEOUT`].
fn rollout_has_room(board: &Board, service: ServiceKey) -> bool {
    const FULL_PERCENT: u64 = 100;
    let record = &board.services[service];
    let recent = |at| board.now.mono.since(at) < INTERACTIVE_RESERVE_TIMEOUT;
    if !record.last_interactive.is_some_and(recent) {
        return true;
    }
    let reserve = board.setting(SettingKey::InteractiveReservePercent, Some(&record.name));
    let mut slots = 0;
    for key in &record.upstreams {
        let upstream = &board.upstreams[*key];
        if upstream.state == UpstreamState::Up {
            slots += u64::from(upstream.limit);
        }
    }
    let rollout_limit = (slots * (FULL_PERCENT - reserve.min(FULL_PERCENT)) / FULL_PERCENT).max(1);
    u64::from(record.rollout_running) < rollout_limit
}

fn at_attempt_limit(board: &Board) -> bool {
    board.attempts.len() >= board.cfg.max_calls as usize
}

fn head(board: &Board, service: ServiceKey, class: Class) -> Option<QueueHead> {
    let key = board.services[service].queue(class).front()?;
    board.requests.get(*key).map(|request| QueueHead { arrived: request.arrived })
}

fn candidates(board: &Board, service: ServiceKey) -> Vec<Candidate> {
    let now = board.now.mono;
    let mut candidates = Vec::new();
    for key in &board.services[service].upstreams {
        let upstream = &board.upstreams[*key];
        if !upstream.has_capacity(now) {
            continue;
        }
        let (waiting, reported) = upstream.waiting;
        let fresh = now.since(reported) < MAX_REPORT_AGE;
        candidates.push(Candidate {
            upstream: *key,
            in_flight: upstream.in_flight,
            limit: upstream.limit,
            waiting: if fresh { waiting } else { 0 },
            latency_ms: upstream.latency_ms,
        });
    }
    candidates
}

fn start_on_upstream(board: &mut Board, key: RequestKey, upstream: UpstreamKey) {
    let spec = &board.upstreams[upstream].spec;
    let target = Target::Upstream { address: spec.address.clone(), kind: spec.kind };
    let name = spec.name.clone();
    let service = board.upstreams[upstream].service;
    board.upstreams[upstream].in_flight += 1;
    if board.requests.get(key).is_some_and(|request| request.class == Class::Rollout) {
        board.services[service].rollout_running += 1;
    }
    start_attempt(board, key, AttemptTarget::Upstream(upstream), target, &name);
}

fn start_attempt(
    board: &mut Board,
    key: RequestKey,
    at: AttemptTarget,
    target: Target,
    name: &str,
) {
    let started = board.now.mono;
    let Some(request) = board.requests.get_mut(key) else { return };
    let class = request.class;
    let attempt = board.attempts.insert(Attempt { request: key, target: at, class, started });
    request.state = RequestState::Running(attempt);
    request.attempts += 1;
    let retried = request.attempts > 1;
    let source = match &request.origin {
        Origin::Exchange(tag) => Source::Exchange { tag: *tag },
        Origin::Sample(job, _) => {
            let (sample, prompt) = (job.sample, job.prompt.clone());
            Source::Sample { sample, prompt, max_tokens: job.max_tokens }
        }
    };
    let dispatch = Dispatch {
        attempt,
        source,
        target,
        resume_at: request.tokens_sent,
        timeout: request.deadline.since(started),
        record_answer: request.intent.is_some(),
    };
    let trace = request.trace.clone();
    board.counters.attempts += 1;
    board.counters.retries += u64::from(retried);
    board.note(EventKind::Dispatched, trace, format!("to {name}"));
    board.actions.push(Action::Dispatch(dispatch));
}

/// Forwards a call to the host that decides or runs it.
///
/// A call for which no host is found waits, and fails [`LEADER_TIMEOUT`] after its arrival.
fn forward(board: &mut Board, key: RequestKey) {
    let Some(request) = board.requests.get(key) else { return };
    let (route, attempts, arrived) = (request.route, request.attempts, request.arrived);
    if let Route::Leader(group, zone) = route
        && (group == GroupId::Fleet || zone == board.my_zone)
        && board.leads(group)
    {
        requeue_as_arrival(board, key);
        return;
    }
    let host = match route {
        Route::Leader(group, zone) => leader_or_member(board, group, zone, attempts),
        Route::Zone(zone) => random_host(board, zone),
        Route::Upstream | Route::Local => None,
    };
    if let Some(host) = host.filter(|_| !at_attempt_limit(board)) {
        start_on_host(board, key, host);
        return;
    }
    if board.now.mono.since(arrived) < LEADER_TIMEOUT {
        board.defer_request(key, board.now.mono + LEADER_POLL_INTERVAL);
        return;
    }
    let problem =
        Problem::not_run(ErrorKind::HomeUnreachable, "no host was found to forward the call to");
    board.fail_request(key, problem.retry_after(LEADER_TIMEOUT));
}

/// Puts a call back among the arrivals because this host has become the leader that decides it.
fn requeue_as_arrival(board: &mut Board, key: RequestKey) {
    let Some(request) = board.remove_request(key) else { return };
    let (Some(tag), Some(call)) = (request.tag(), request.call) else { return };
    let deadline = Some(request.deadline.since(board.now.mono));
    board.arrivals.push(Arrival {
        tag,
        trace: request.trace,
        deadline,
        hops: request.hops,
        granted: false,
        maybe_ran: request.maybe_ran,
        call,
    });
}

fn start_on_host(board: &mut Board, key: RequestKey, host: HostId) {
    let Some(request) = board.requests.get(key) else { return };
    let (hops, granted) = (request.hops + 1, request.intent.is_some());
    let name = board.host_key(host).map_or_else(Box::default, |key| board.hosts[key].name.clone());
    let maybe_ran = request.maybe_ran;
    let target = Target::Host { host, hops, granted, maybe_ran };
    start_attempt(board, key, AttemptTarget::Host(host), target, &name);
}

/// Returns the host to which a call for a group's leader is forwarded.
///
/// This is the known leader or, if none is known or an attempt has failed, a random host that may
/// know it. For its own zone a host relies on the leader that it knows.
fn leader_or_member(
    board: &mut Board,
    group: GroupId,
    zone: ZoneKey,
    attempts: u32,
) -> Option<HostId> {
    let me = board.cfg.id;
    let known = match group {
        GroupId::Fleet => board.fleet_leader().map(|(_, leader)| leader),
        GroupId::Zone if zone == board.my_zone => board.zone_leader().map(|(_, leader)| leader),
        GroupId::Zone => board.zones[zone].digest.leader.map(|(_, leader)| leader),
        GroupId::Directory => None,
    };
    let known = known.filter(|host| *host != me);
    if attempts == 0 && known.is_some() {
        return known;
    }
    match group {
        GroupId::Fleet => random_fleet_member(board),
        GroupId::Zone if zone == board.my_zone => known,
        GroupId::Zone => random_host(board, zone),
        GroupId::Directory => None,
    }
}

fn random_fleet_member(board: &mut Board) -> Option<HostId> {
    let me = board.cfg.id;
    let mut ids = board.groups.fleet_members.clone();
    ids.retain(|id| *id != me);
    choose_random(board, &ids)
}

fn random_host(board: &mut Board, zone: ZoneKey) -> Option<HostId> {
    let zone = &board.zones[zone];
    let mut ids = zone.digest.hosts.clone();
    if ids.is_empty() {
        ids = zone.hosts.iter().map(|key| board.hosts[*key].id).collect();
    }
    choose_random(board, &ids)
}

fn choose_random(board: &mut Board, ids: &[HostId]) -> Option<HostId> {
    if ids.is_empty() {
        return None;
    }
    Some(ids[board.rng.random_range(0..ids.len())])
}
