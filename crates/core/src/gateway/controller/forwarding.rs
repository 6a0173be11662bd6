//! Forwarding: routes requests, chooses upstreams, and decides what follows a failed attempt.
//!
//! Reads: opened requests, ended attempts, `routing`, `upstreams`, the clock.
//! Writes: `requests`, `attempts`, `asks`, `counters`, `actions`.

use std::sync::Arc;

use rand::Rng;

use super::Controller;
use super::calls::not_ready;
use super::registry;
use crate::directory::{JobSpec, Route, RouteKind, RoutingConfig};
use crate::error::{ErrorKind, Problem, Ran};
use crate::gateway::action::{Action, Forward, UpstreamAddress};
use crate::gateway::board::{Attempt, Board, Purpose, Request, RequestState};
use crate::gateway::event::{Call, Event, ForwardEnd, IncomingCall, JobBody};
use crate::gateway::message::StoreRequest;
use crate::gateway::policy::{UpstreamCandidate, UpstreamChoice};
use crate::key::{AttemptKey, RequestKey, RequestTag, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// How long a new connection to an upstream may take: two ways between regions, and slack.
const CONNECT: Millis = Millis(300);

/// The share of its objective that a request may wait for a free upstream, as a divisor: callers
/// that are refused within it can still be served in time elsewhere.
const WAIT_DIVISOR: u64 = 4;

/// The time between two looks for a free upstream.
const LOOK_AGAIN: Millis = Millis(20);

/// How many objectives a repeatable request may wait at one upstream before it tries another.
const OBJECTIVES_AT_ONE: u64 = 2;

/// When a refused caller is to come again.
const COME_AGAIN: Millis = Millis(150);

/// How long the acceptance of a job may take: callers of jobs wait for many seconds.
const SUBMIT_PATIENCE: Millis = Millis(5_000);

/// Routes requests.
#[derive(Debug)]
pub(super) struct Forwarding {
    choice: Box<dyn UpstreamChoice>,
}

impl Forwarding {
    /// Makes the controller with a policy.
    pub(super) fn new(choice: Box<dyn UpstreamChoice>) -> Self {
        Self { choice }
    }
}

impl Controller for Forwarding {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::ForwardEnded { attempt, end }) => ended(board, *attempt, end),
            Some(Event::CallerGone { tag }) => caller_gone(board, *tag),
            Some(Event::JobRead { tag, job }) => job_read(board, *tag, job),
            _ => {}
        }
        for opened in std::mem::take(&mut board.pending_calls) {
            open(board, opened);
        }
        let keys: Vec<RequestKey> = board.requests.keys().collect();
        for key in keys {
            self.advance(board, key);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let now = board.now.mono;
        let due = |request: &Request| match request.state {
            RequestState::Waiting => request.until.min(now + LOOK_AGAIN),
            RequestState::Running(attempt) => {
                let patience = board.attempts.get(attempt).map(|a| patience(request, a));
                let next = patience.unwrap_or(Millis::MAX);
                // Past its patience it looks for another upstream from time to time.
                request.until.min(if next > now { next } else { now + LOOK_AGAIN })
            }
            RequestState::Reading => request.until,
        };
        board.requests.values().map(due).min().unwrap_or(Millis::MAX)
    }
}

/// Returns when a request leaves the upstream that runs it for another one.
fn patience(request: &Request, attempt: &Attempt) -> Millis {
    if !may_go_on(request) || !request.route.kind.allows_retry() {
        return Millis::MAX;
    }
    attempt.started + Millis(request.route.latency_objective.0 * OBJECTIVES_AT_ONE)
}

fn may_go_on(request: &Request) -> bool {
    request.attempts < request.route.max_attempts.max(1)
}

fn open(board: &mut Board, opened: IncomingCall) {
    let IncomingCall { tag, trace, wait_limit, call: Call::Request { host, path } } = opened else {
        return;
    };
    board.counters.requests += 1;
    let Some(routing) = board.routing.clone() else {
        board.reject(tag, &trace, not_ready("no routing configuration yet"));
        return;
    };
    let Some(route) = routing.find_route(&host, &path) else {
        let detail = format!("host={host} path={path} routing={}", routing.version);
        board.reject(tag, &trace, Problem::not_run(ErrorKind::NotFound, detail));
        return;
    };
    let now = board.now.mono;
    let is_job = route.kind == RouteKind::Batch;
    let timeout = if is_job { SUBMIT_PATIENCE } else { route.timeout };
    let until = now + wait_limit.unwrap_or(timeout).min(timeout);
    let state = if is_job { RequestState::Reading } else { RequestState::Waiting };
    let request = Request {
        tag,
        trace,
        route: route.clone(),
        service: draw(board, route),
        opened: now,
        until,
        state,
        attempts: 0,
        tried: Vec::new(),
        maybe_ran: false,
        held: false,
        last_failure: Box::default(),
    };
    let key = board.requests.insert(request);
    board.request_index.insert(tag, key);
    if is_job {
        board.actions.push(Action::ReadJob { tag });
    }
}

/// Draws the service of a request by the weights of its route.
fn draw(board: &mut Board, route: &Route) -> Box<str> {
    let sum: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut drawn = board.rng.random_range(0..sum.max(1));
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if drawn < weight {
            return target.service.clone();
        }
        drawn -= weight;
    }
    Box::default()
}

fn caller_gone(board: &mut Board, tag: RequestTag) {
    let Some(key) = board.request_index.get(&tag).copied() else { return };
    let Some(request) = remove(board, key) else { return };
    board.counters.abandoned += 1;
    let held = board.now.mono.since(request.opened).0;
    board.note(EventKind::CallerGone, request.trace.clone(), format!("after_ms={held}"));
    if let RequestState::Running(attempt) = request.state {
        give_up(board, attempt);
    }
}

fn remove(board: &mut Board, key: RequestKey) -> Option<Request> {
    let request = board.requests.remove(key)?;
    board.request_index.remove(&request.tag);
    Some(request)
}

fn give_up(board: &mut Board, attempt: AttemptKey) {
    board.end_attempt(attempt);
    board.actions.push(Action::Cancel { attempt });
}

fn job_read(board: &mut Board, tag: RequestTag, job: &Result<JobBody, Problem>) {
    let Some(key) = board.request_index.get(&tag).copied() else { return };
    let Some(request) = remove(board, key) else { return };
    let body = match job {
        Ok(body) => body,
        Err(problem) => {
            board.reject(tag, &request.trace, problem.clone());
            return;
        }
    };
    let spec = job_spec(&request.route, body);
    board.request_from_store(
        tag,
        request.trace,
        StoreRequest::Submit(Arc::new(spec)),
        request.until,
    );
}

fn job_spec(route: &Route, body: &JobBody) -> JobSpec {
    let weighted = route.targets.iter().filter(|target| target.weight > 0);
    JobSpec {
        id: body.id.clone(),
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        services: weighted.map(|target| target.service.clone()).collect(),
        model: body.model.clone(),
        min_version: body.min_version,
        single_version: route.single_version,
        resumable: route.resumable,
        max_attempts: route.max_attempts.max(1),
        due_after: route.due_after,
        give_up_after: route.give_up_after,
        items: body.items.clone(),
    }
}

fn ended(board: &mut Board, key: AttemptKey, end: &ForwardEnd) {
    let Some(attempt) = board.end_attempt(key) else { return };
    let Purpose::Request(request_key) = attempt.purpose else { return };
    let took = board.now.mono.since(attempt.started);
    note_health(board, &attempt, took, end);
    let Some(request) = board.requests.get_mut(request_key) else { return };
    request.state = RequestState::Waiting;
    match end {
        ForwardEnd::Delivered { status } => {
            board.counters.delivered += 1;
            let total = board.now.mono.since(request.opened).0;
            let attempts = request.attempts;
            let detail =
                format!("status={status} attempts={attempts} last_ms={} total_ms={total}", took.0);
            let Some(request) = remove(board, request_key) else { return };
            board.note(EventKind::Answered, request.trace, detail);
            return;
        }
        ForwardEnd::Held { status } => {
            request.held = true;
            request.maybe_ran = true;
            request.last_failure = format!("the upstream answered {status}").into();
            if !may_go_on(request) || !worth_repeating(request, *status) {
                deliver_held(board, request_key);
                return;
            }
        }
        ForwardEnd::NotRun { status, .. } => {
            request.last_failure = format!("the upstream refused it with {status}").into();
        }
        ForwardEnd::NotSent { detail } => {
            request.last_failure = format!("nothing was sent: {detail}").into();
        }
        ForwardEnd::Broken { detail } => {
            request.maybe_ran = true;
            request.last_failure = detail.clone();
        }
    }
    let (trace, failure) = (request.trace.clone(), request.last_failure.clone());
    let (attempts, repeat) = (request.attempts, request.route.kind.allows_retry());
    let over = (request.maybe_ran && !repeat) || !may_go_on(request);
    let detail = format!("attempt={attempts} took_ms={} over={over} {failure}", took.0);
    board.note(EventKind::AttemptFailed, trace, detail);
    if over {
        fail(board, request_key);
    }
}

fn worth_repeating(request: &Request, status: u16) -> bool {
    const SERVER_ERRORS: u16 = 500;
    request.route.kind.allows_retry() && status >= SERVER_ERRORS
}

fn note_health(board: &mut Board, attempt: &Attempt, took: Millis, end: &ForwardEnd) {
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get_mut(attempt.upstream) else { return };
    match end {
        ForwardEnd::Delivered { .. } => upstream.health.record_success(took),
        ForwardEnd::NotRun { other_instance: true, .. } => {
            upstream.gone = true;
            let (id, address) = (upstream.announced.id.clone(), upstream.announced.address.clone());
            let detail = format!("another instance answers at {address}");
            board.note(EventKind::UpstreamLeft, id, detail);
        }
        ForwardEnd::Held { .. }
        | ForwardEnd::NotRun { .. }
        | ForwardEnd::NotSent { .. }
        | ForwardEnd::Broken { .. } => upstream.health.record_failure(now),
    }
}

fn deliver_held(board: &mut Board, key: RequestKey) {
    let Some(request) = remove(board, key) else { return };
    board.counters.delivered += 1;
    let detail = format!("attempts={} held: {}", request.attempts, request.last_failure);
    board.note(EventKind::Answered, request.trace, detail);
    board.actions.push(Action::Deliver { tag: request.tag });
}

/// Ends a request that no attempt has brought an answer for.
fn fail(board: &mut Board, key: RequestKey) {
    if board.requests.get(key).is_some_and(|request| request.held) {
        deliver_held(board, key);
        return;
    }
    let Some(request) = remove(board, key) else { return };
    let now = board.now.mono;
    let detail = format!(
        "service={} attempts={} held_ms={} {}",
        request.service,
        request.attempts,
        now.since(request.opened).0,
        request.last_failure
    );
    let problem = if !request.maybe_ran {
        Problem::not_run(ErrorKind::Unavailable, detail).retry_after(COME_AGAIN)
    } else if now >= request.until {
        Problem::not_run(ErrorKind::DeadlineExceeded, detail).ran(Ran::Unknown)
    } else {
        Problem::unknown(detail)
    };
    board.reject(request.tag, &request.trace, problem);
}

impl Forwarding {
    /// Does what is due for a request.
    fn advance(&self, board: &mut Board, key: RequestKey) {
        let now = board.now.mono;
        let Some(request) = board.requests.get(key) else { return };
        match request.state {
            RequestState::Running(attempt) if now >= request.until => {
                board.requests[key].maybe_ran = true;
                give_up(board, attempt);
                fail(board, key);
            }
            RequestState::Running(attempt) => {
                let Some(running) = board.attempts.get(attempt).copied() else { return };
                if now < patience(request, &running) {
                    return;
                }
                let Some(next) = self.choose(board, key) else { return };
                give_up(board, attempt);
                if let Some(slow) = board.upstreams.get_mut(running.upstream) {
                    slow.health.record_failure(now);
                }
                let request = &mut board.requests[key];
                request.maybe_ran = true;
                request.last_failure = "the upstream was too slow".into();
                let trace = request.trace.clone();
                let took = now.since(running.started).0;
                board.note(EventKind::AttemptFailed, trace, format!("slow took_ms={took}"));
                start(board, key, next);
            }
            RequestState::Waiting if now >= request.until => fail(board, key),
            RequestState::Waiting => match self.choose(board, key) {
                Some(upstream) => start(board, key, upstream),
                None => wait(board, key),
            },
            RequestState::Reading if now >= request.until => fail(board, key),
            RequestState::Reading => {}
        }
    }

    fn choose(&self, board: &mut Board, key: RequestKey) -> Option<UpstreamKey> {
        let request = board.requests.get(key)?;
        let now = board.now.mono;
        let running = match request.state {
            RequestState::Running(attempt) => board.attempts.get(attempt).map(|a| a.upstream),
            _ => None,
        };
        let mut candidates = Vec::new();
        for (upstream_key, upstream) in &board.upstreams {
            let fits = upstream.announced.service == request.service && upstream.accepts_requests();
            if !fits || Some(upstream_key) == running {
                continue;
            }
            candidates.push(UpstreamCandidate {
                key: upstream_key,
                distance: board.cfg.distance(&upstream.announced.zone),
                in_flight: upstream.in_flight,
                slots: upstream.announced.slots.max(1),
                response_time_us: upstream.health.response_time_us,
                tried: request.tried.contains(&upstream_key),
                avoided: upstream.is_avoided(now),
                silent: registry::is_silent(board, upstream),
            });
        }
        // A request that leaves a slow upstream goes to one that it has not tried.
        if running.is_some() {
            candidates.retain(|candidate| !candidate.tried && !candidate.avoided);
        }
        self.choice.choose(&candidates, &mut board.rng)
    }
}

fn wait(board: &mut Board, key: RequestKey) {
    let request = &board.requests[key];
    let waited = board.now.mono.since(request.opened);
    if waited.0 * WAIT_DIVISOR >= request.route.latency_objective.0 {
        let request = &mut board.requests[key];
        if request.last_failure.is_empty() {
            request.last_failure = "no upstream is free".into();
        }
        fail(board, key);
    }
}

fn start(board: &mut Board, key: RequestKey, upstream_key: UpstreamKey) {
    let attempt = board.begin_attempt(Purpose::Request(key), upstream_key, 0);
    let now = board.now.mono;
    let routing = board.routing.as_deref().map_or(0, |routing: &RoutingConfig| routing.version);
    let upstream = &board.upstreams[upstream_key];
    let address = UpstreamAddress {
        id: upstream.announced.id.clone(),
        address: upstream.announced.address.clone(),
    };
    let request = &mut board.requests[key];
    request.attempts += 1;
    request.tried.push(upstream_key);
    request.state = RequestState::Running(attempt);
    let left = request.until.since(now);
    let forward = Forward {
        tag: request.tag,
        attempt,
        upstream: address,
        deadline: left,
        connect: CONNECT.min(left),
        streamed: request.route.kind == RouteKind::Stream,
    };
    let detail = format!(
        "upstream={} service={} attempt={} in_flight={}/{} answer_us={} heard_ms_ago={} \
         routing={routing} left_ms={}",
        upstream.announced.id,
        request.service,
        request.attempts,
        upstream.in_flight,
        upstream.announced.slots,
        upstream.health.response_time_us,
        now.since(upstream.last_seen).0,
        left.0
    );
    let trace = request.trace.clone();
    board.counters.forwards += 1;
    board.note(EventKind::Dispatched, trace, detail);
    board.actions.push(Action::Forward(forward));
}
