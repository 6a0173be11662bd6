//! Dispatch: gives waiting requests to upstreams with room, and hands others on to their hosts.
//!
//! Reads: queues, `upstreams`, `zones`, `hosts`, `in_force`.
//! Writes: `attempts`, `requests`, `upstreams.in_flight`, `actions`.

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

/// How old a load report may be and still count.
const REPORT_VALID: Millis = Millis(1_000);

/// How long the reserve for interactive work is kept after the last such request.
const INTERACTIVE_MEMORY: Millis = Millis(10_000);

/// The least time that a request must have left to be dispatched.
const LEAST_TIME: Millis = Millis(5);

/// Starts attempts.
#[derive(Debug)]
pub(super) struct Dispatcher {
    placement: Box<dyn Placement>,
    order: Box<dyn QueueOrder>,
}

impl Dispatcher {
    /// Makes the controller with its policies.
    pub(super) fn new(placement: Box<dyn Placement>, order: Box<dyn QueueOrder>) -> Self {
        Self { placement, order }
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
    /// Starts one attempt for a service and tells whether there was one to start.
    fn dispatch_next(&mut self, board: &mut Board, service: ServiceKey) -> bool {
        if board.services[service].waiting() == 0 || calls_used_up(board) {
            return false;
        }
        let candidates = candidates(board, service);
        if candidates.is_empty() {
            return false;
        }
        let Some(key) = self.next_request(board, service) else { return false };
        let avoid = board.requests.get(key).and_then(|request| request.avoid);
        let others: Vec<Candidate> =
            candidates.iter().copied().filter(|other| Some(other.upstream) != avoid).collect();
        let among = if others.is_empty() { &candidates } else { &others };
        let Some(at) = self.placement.choose(among, &mut board.rng) else { return false };
        if is_too_late(board, key, &among[at]) {
            let detail = "too little time was left to run it";
            board.reject_undispatched(key, Problem::not_run(ErrorKind::DeadlineExceeded, detail));
            return true;
        }
        start_on_upstream(board, key, among[at].upstream);
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
        let rollout_next = self.order.rollout_next(interactive, rollout, share);
        let class = if rollout_next { Class::Rollout } else { Class::Interactive };
        board.services[service].queue_mut(class).pop_front()
    }
}

/// Tells whether a request could hardly end in time, going by half the upstream's usual time.
fn is_too_late(board: &Board, key: RequestKey, candidate: &Candidate) -> bool {
    let Some(request) = board.requests.get(key) else { return false };
    let left = request.deadline.since(board.now.mono);
    left < LEAST_TIME.max(Millis(u64::from(candidate.latency_ms) / 2))
}

/// Tells whether one more rollout attempt leaves the reserve for interactive work free, which holds
/// while such work has come in lately.
fn rollout_has_room(board: &Board, service: ServiceKey) -> bool {
    const WHOLE: u64 = 100;
    let record = &board.services[service];
    let lately = |at| board.now.mono.since(at) < INTERACTIVE_MEMORY;
    if !record.last_interactive.is_some_and(lately) {
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
    let open = (slots * (WHOLE - reserve.min(WHOLE)) / WHOLE).max(1);
    u64::from(record.rollout_running) < open
}

fn calls_used_up(board: &Board) -> bool {
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
        let fresh = now.since(reported) < REPORT_VALID;
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
    start(board, key, AttemptTarget::Upstream(upstream), target, &name);
}

fn start(board: &mut Board, key: RequestKey, at: AttemptTarget, target: Target, name: &str) {
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

/// Hands a call on to the host that is to decide or run it.
fn forward(board: &mut Board, key: RequestKey) {
    let Some(request) = board.requests.get(key) else { return };
    let (route, attempts, arrived) = (request.route, request.attempts, request.arrived);
    if let Route::Leader(group, zone) = route
        && (group == GroupId::Fleet || zone == board.my_zone)
        && board.leads(group)
    {
        decide_here(board, key);
        return;
    }
    let host = match route {
        Route::Leader(group, zone) => leader(board, group, zone, attempts),
        Route::Zone(zone) => any_host(board, zone),
        Route::Upstream | Route::Local => None,
    };
    if let Some(host) = host.filter(|_| !calls_used_up(board)) {
        start_on_host(board, key, host);
        return;
    }
    if board.now.mono.since(arrived) < LEADER_TIMEOUT {
        board.defer_request(key, board.now.mono + LEADER_POLL_INTERVAL);
        return;
    }
    let problem = Problem::not_run(ErrorKind::HomeUnreachable, "no host can decide this now");
    board.fail_request(key, problem.retry_after(LEADER_TIMEOUT));
}

/// Takes a call back as if it had just arrived, because this host has come to lead the group.
fn decide_here(board: &mut Board, key: RequestKey) {
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
    start(board, key, AttemptTarget::Host(host), target, &name);
}

/// Returns the leader of a group as far as it is known; after a failure any host that may know it.
fn leader(board: &mut Board, group: GroupId, zone: ZoneKey, attempts: u32) -> Option<HostId> {
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
        GroupId::Fleet => any_fleet_member(board),
        GroupId::Zone if zone == board.my_zone => known,
        GroupId::Zone => any_host(board, zone),
        GroupId::Directory => None,
    }
}

fn any_fleet_member(board: &mut Board) -> Option<HostId> {
    let me = board.cfg.id;
    let mut ids = board.groups.fleet_members.clone();
    ids.retain(|id| *id != me);
    draw(board, &ids)
}

fn any_host(board: &mut Board, zone: ZoneKey) -> Option<HostId> {
    let zone = &board.zones[zone];
    let mut ids = zone.digest.hosts.clone();
    if ids.is_empty() {
        ids = zone.hosts.iter().map(|key| board.hosts[*key].id).collect();
    }
    draw(board, &ids)
}

fn draw(board: &mut Board, ids: &[HostId]) -> Option<HostId> {
    if ids.is_empty() {
        return None;
    }
    Some(ids[board.rng.random_range(0..ids.len())])
}
