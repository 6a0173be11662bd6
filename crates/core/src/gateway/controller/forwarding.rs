//! Forwarding: routes requests, chooses upstreams, and retries or ends requests after a failure.
//!
//! Reads: opened requests, ended attempts, decoded jobs, callers that are gone, `routing`,
//! `upstreams`, `reach`, `hosts`, `draining`, the clock.
//! Writes: `requests`, `request_index`, `attempts`, `upstreams` (health), `suspects`,
//! `suspects_changed`, `quota_waits`, `new_streams`, `stream_searches`, `store_requests`, `usage`,
//! `counters`, `actions`.

mod capacity_refusals;
mod endings;
mod over_limit;
mod paths;
mod submissions;
mod taken_up;

use self::capacity_refusals::refuse_over_capacity;
use self::endings::{deliver_held, fail, fail_after_max_wait, is_quarantined, refuse};
use self::over_limit::{ask_for_permit, refuse_over_limit};
use self::paths::{has_relays, is_relayed, is_stranded, path, record_unsent};
use self::submissions::handle_job_read;
use self::taken_up::{is_continuable, may_continue, record_stream, refuse_uncontinuable};
use super::calls::not_ready;
use super::candidates::{self, CONNECT_TIMEOUT, candidates, draw_service};
use super::lifecycle::{self, ENTRY_DRAIN_TIME};
use super::suspects;
use super::{Controller, access};
use crate::directory::{Route, RouteKind, RoutingConfig};
use crate::error::{ErrorKind, Problem};
use crate::gateway::action::{Action, Forward, UpstreamAddress};
use crate::gateway::board::{Attempt, Board, Purpose, Request, RequestState, StreamSearch};
use crate::gateway::event::{Call, Event, ForwardEnd, IncomingCall};
use crate::gateway::policy::UpstreamChoice;
use crate::gateway::usage::recording::note_dispatch;
use crate::key::{AttemptKey, RequestKey, RequestTag, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The interval between two checks for a free upstream.
const UPSTREAM_POLL_INTERVAL: Millis = Millis(20);

/// How long a repeatable request stays at one upstream before it may move to another, in multiples
/// of its latency objective.
const MAX_OBJECTIVES_PER_ATTEMPT: u64 = 2;

/// The most upstreams to which connections may be refused before each further refusal counts as one
/// of the request's attempts.
const MAX_UNCOUNTED_REFUSALS: usize = 8;

/// The delay before a caller's next try at a deployment that starts: an election and the delivery of
/// the routing configuration take most of a second.
const START_RETRY_DELAY: Millis = Millis(600);

/// The time limit for accepting a job; callers of jobs wait for many seconds.
const SUBMIT_TIMEOUT: Millis = Millis(5_000);

/// Routes requests to upstreams.
#[derive(Debug)]
pub(super) struct Forwarding {
    choice: Box<dyn UpstreamChoice>,
}

impl Forwarding {
    /// Creates the controller with the policy that chooses upstreams.
    pub(super) fn new(choice: Box<dyn UpstreamChoice>) -> Self {
        Self { choice }
    }
}

impl Controller for Forwarding {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::ForwardEnded { attempt, end }) => {
                handle_forward_ended(board, *attempt, end);
            }
            Some(Event::CallerGone { tag }) => handle_caller_gone(board, *tag),
            Some(Event::JobRead { tag, job }) => handle_job_read(board, *tag, job),
            _ => {}
        }
        for opened in std::mem::take(&mut board.pending_calls) {
            handle_opened(board, opened);
        }
        for key in queue_order(board) {
            self.advance(board, key);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let now = board.now.mono;
        let due = |request: &Request| match request.state {
            RequestState::Waiting => request.until.min(now + UPSTREAM_POLL_INTERVAL),
            RequestState::Running(attempt) => {
                let at = board.attempts.get(attempt).map(|a| move_at(board, request, a));
                let next = at.unwrap_or(Millis::MAX);
                // Once the request may move, upstreams are checked for it at this interval.
                request.until.min(if next > now { next } else { now + UPSTREAM_POLL_INTERVAL })
            }
            RequestState::Reading | RequestState::Searching => request.until,
        };
        board.requests.values().map(due).min().unwrap_or(Millis::MAX)
    }
}

/// Returns the requests in the order in which they may take free upstreams.
///
/// Without workspaces that is any order; with them, the waiting request of the highest priority comes
/// first, and of one priority the one that arrived first.
fn queue_order(board: &Board) -> Vec<RequestKey> {
    let mut keys: Vec<RequestKey> = board.requests.keys().collect();
    if access::has_workspaces(board) {
        // The sort is stable: requests that don't wait come first, in the order of the arena.
        keys.sort_by_cached_key(|key| {
            let request = &board.requests[*key];
            let waits = request.state == RequestState::Waiting;
            waits.then_some((request.priority, request.opened))
        });
    }
    keys
}

/// Returns when a running request may move to another upstream, or [`Millis::MAX`] if it may not.
fn move_at(board: &Board, request: &Request, attempt: &Attempt) -> Millis {
    if !has_attempts_left(request) || !request.route.kind.allows_retry() {
        return Millis::MAX;
    }
    if is_stranded(board, attempt) {
        return attempt.started;
    }
    attempt.started + Millis(request.route.latency_objective.0 * MAX_OBJECTIVES_PER_ATTEMPT)
}

fn has_attempts_left(request: &Request) -> bool {
    request.attempts < request.route.max_attempts.max(1)
}

fn handle_opened(board: &mut Board, opened: IncomingCall) {
    let IncomingCall { tag, trace, wait_limit, call } = opened;
    let Call::Request { host, path, fingerprint, resumes, key } = call else { return };
    board.counters.requests += 1;
    let Some(routing) = board.routing.clone() else {
        let problem = not_ready("no routing configuration received yet");
        board.reject(tag, &trace, problem.retry_after(START_RETRY_DELAY));
        return;
    };
    let Some(route) = routing.find_route(&host, &path) else {
        let detail = format!("host={host} path={path} routing={}", routing.version);
        board.reject(tag, &trace, Problem::not_run(ErrorKind::NotFound, detail));
        return;
    };
    let workspace = match access::authorize(board, &routing, route, key.as_ref()) {
        Ok(workspace) => workspace,
        Err(problem) => {
            board.reject(tag, &trace, problem);
            return;
        }
    };
    let now = board.now.mono;
    let is_job = route.kind == RouteKind::Batch;
    let timeout = if is_job { SUBMIT_TIMEOUT } else { route.timeout };
    let mut until = now + wait_limit.unwrap_or(timeout).min(timeout);
    if let Some(exit) = lifecycle::latest_exit(board) {
        if comes_too_late(board, route, exit) {
            let problem = not_ready("the host stops before it could answer");
            board.reject(tag, &trace, problem);
            return;
        }
        until = until.min(lifecycle::answer_by(exit));
    }
    let is_named = resumes.as_ref().is_some_and(|stream| !stream.is_empty());
    let state = match (is_job, is_named) {
        (true, _) => RequestState::Reading,
        (false, true) => RequestState::Searching,
        (false, false) => RequestState::Waiting,
    };
    let request = Request {
        tag,
        trace,
        fingerprint,
        route: route.clone(),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        strips_key: routing.has_workspaces(),
        priority: workspace.and_then(|workspace| workspace.priority).unwrap_or(route.priority),
        service: draw_service(board, route),
        resumes,
        origin: None,
        continuing: None,
        opened: now,
        until,
        state,
        attempts: 0,
        tried: Vec::new(),
        unsent: false,
        maybe_ran: false,
        held: false,
        last_failure: Box::default(),
    };
    let key = board.requests.insert(request);
    board.request_index.insert(tag, key);
    if state == RequestState::Searching {
        board.stream_searches.insert(key, StreamSearch::default());
    }
    if is_job {
        board.actions.push(Action::ReadJob { tag });
    }
}

/// Returns whether a request comes too late to be begun by a stopping host.
///
/// Load balancers have chosen other hosts by then. What may not be repeated is not begun at all: if it
/// were cut, nobody could tell whether it ran.
fn comes_too_late(board: &Board, route: &Route, exit: Millis) -> bool {
    let now = board.now.mono;
    let is_late = board.draining.is_some_and(|since| now.since(since) >= ENTRY_DRAIN_TIME);
    if !is_late {
        return false;
    }
    if route.kind == RouteKind::NonIdempotent || route.kind == RouteKind::Stream {
        return true;
    }
    let needed = Millis(route.latency_objective.0 * MAX_OBJECTIVES_PER_ATTEMPT);
    now + needed >= lifecycle::answer_by(exit)
}

fn handle_caller_gone(board: &mut Board, tag: RequestTag) {
    let Some(key) = board.request_index.get(&tag).copied() else { return };
    let Some(request) = remove_request(board, key) else { return };
    board.counters.abandoned += 1;
    let elapsed = board.now.mono.since(request.opened).0;
    board.note(EventKind::CallerGone, request.trace.clone(), format!("after_ms={elapsed}"));
    if let RequestState::Running(attempt) = request.state {
        cancel_attempt(board, attempt);
    }
}

fn remove_request(board: &mut Board, key: RequestKey) -> Option<Request> {
    let request = board.requests.remove(key)?;
    board.request_index.remove(&request.tag);
    Some(request)
}

fn cancel_attempt(board: &mut Board, attempt: AttemptKey) {
    board.end_attempt(attempt);
    board.actions.push(Action::Cancel { attempt });
}

fn handle_forward_ended(board: &mut Board, key: AttemptKey, end: &ForwardEnd) {
    let Some(attempt) = board.end_attempt(key) else { return };
    let Purpose::Request(request_key) = attempt.purpose else { return };
    let took = board.now.mono.since(attempt.started);
    candidates::record_end(board, &attempt, end);
    suspects::record_end(board, request_key, &attempt, end);
    let can_be_relayed = matches!(end, ForwardEnd::NotSent { .. }) && has_relays(board);
    let Some(request) = board.requests.get_mut(request_key) else { return };
    request.state = RequestState::Waiting;
    match end {
        ForwardEnd::Delivered { status } | ForwardEnd::Begun { status } => {
            board.counters.delivered += 1;
            let total = board.now.mono.since(request.opened).0;
            let attempts = request.attempts;
            let detail =
                format!("status={status} attempts={attempts} last_ms={} total_ms={total}", took.0);
            let Some(request) = remove_request(board, request_key) else { return };
            board.note(EventKind::Answered, request.trace, detail);
            return;
        }
        ForwardEnd::Held { status } => {
            request.held = true;
            request.maybe_ran = true;
            request.last_failure = format!("upstream answered with status {status}").into();
            if !has_attempts_left(request) || !should_retry(request, *status) {
                deliver_held(board, request_key);
                return;
            }
        }
        ForwardEnd::NotRun { status, .. } => {
            request.last_failure =
                format!("upstream refused the request with status {status}").into();
        }
        ForwardEnd::NotSent { detail } => {
            request.last_failure = format!("request not sent: {detail}").into();
            record_unsent(request, &attempt, can_be_relayed);
        }
        ForwardEnd::ConnectRefused { detail } => {
            request.last_failure = format!("upstream ended: {detail}").into();
            if request.tried.len() <= MAX_UNCOUNTED_REFUSALS {
                request.attempts = request.attempts.saturating_sub(1);
            }
        }
        ForwardEnd::Broken { detail } => {
            request.maybe_ran = true;
            request.last_failure = detail.clone();
        }
        ForwardEnd::UpstreamEnded { detail } => {
            request.maybe_ran = true;
            request.last_failure = format!("upstream ended: {detail}").into();
        }
    }
    let (trace, failure) = (request.trace.clone(), request.last_failure.clone());
    let (attempts, repeatable) = (request.attempts, request.route.kind.allows_retry());
    let over = (request.maybe_ran && !repeatable) || !has_attempts_left(request);
    let fingerprint = request.fingerprint;
    let detail = format!(
        "attempt={attempts} took_ms={} over={over} fingerprint={fingerprint} {failure}",
        took.0
    );
    board.note(EventKind::AttemptFailed, trace, detail);
    if over {
        fail(board, request_key);
    }
}

fn should_retry(request: &Request, status: u16) -> bool {
    const SERVER_ERRORS: u16 = 500;
    request.route.kind.allows_retry() && status >= SERVER_ERRORS
}

impl Forwarding {
    /// Starts, moves or ends the attempt of a request if that is due.
    fn advance(&self, board: &mut Board, key: RequestKey) {
        let now = board.now.mono;
        let Some(request) = board.requests.get(key) else { return };
        match request.state {
            RequestState::Running(attempt) if now >= request.until => {
                board.requests[key].maybe_ran = true;
                cancel_attempt(board, attempt);
                fail(board, key);
            }
            RequestState::Running(attempt) => {
                let Some(running) = board.attempts.get(attempt).copied() else { return };
                if now < move_at(board, request, &running) || is_quarantined(board, request) {
                    return;
                }
                let Some(next) = self.choose(board, key) else { return };
                cancel_attempt(board, attempt);
                candidates::record_move(board, &running, now.since(running.started));
                let request = &mut board.requests[key];
                request.maybe_ran = true;
                request.last_failure = "upstream too slow; request moved to another one".into();
                let trace = request.trace.clone();
                let took = now.since(running.started).0;
                board.note(EventKind::AttemptFailed, trace, format!("slow took_ms={took}"));
                start_attempt(board, key, next);
            }
            RequestState::Waiting if now >= request.until => fail(board, key),
            RequestState::Waiting if !is_continuable(board, key) => {
                refuse_uncontinuable(board, key);
            }
            RequestState::Waiting if is_quarantined(board, request) => refuse(board, key),
            RequestState::Waiting => match self.choose(board, key) {
                Some(upstream) => start_attempt(board, key, upstream),
                None if !ask_for_permit(board, key) => refuse_over_limit(board, key),
                None if refuse_over_capacity(board, key) => {}
                None => fail_after_max_wait(board, key),
            },
            RequestState::Reading | RequestState::Searching if now >= request.until => {
                fail(board, key);
            }
            RequestState::Reading | RequestState::Searching => {}
        }
    }

    fn choose(&self, board: &mut Board, key: RequestKey) -> Option<UpstreamKey> {
        let request = board.requests.get(key)?;
        let running = match request.state {
            RequestState::Running(attempt) => board.attempts.get(attempt).map(|a| a.upstream),
            _ => None,
        };
        let is_tried = |key| request.tried.contains(&key);
        let relayed = is_relayed(board, request.unsent);
        let mut candidates = candidates(board, &request.service, is_tried, relayed);
        candidates.retain(|candidate| {
            Some(candidate.key) != running && may_continue(board, request, candidate.key)
        });
        // A request moves from a slow upstream only to one that it has not tried.
        if running.is_some() {
            candidates.retain(|candidate| !candidate.tried && !candidate.avoided);
        }
        self.choice.choose(&candidates, &mut board.rng)
    }
}

fn start_attempt(board: &mut Board, key: RequestKey, upstream_key: UpstreamKey) {
    let Some(admission) = board.admit(upstream_key) else { return };
    let unsent = board.requests.get(key).is_some_and(|request| request.unsent);
    let path = path(board, unsent);
    let attempt = board.begin_attempt(Purpose::Request(key), admission, 0);
    board.attempts[attempt].relayed = !path.direct;
    let now = board.now.mono;
    note_dispatch(board, key, attempt);
    let routing = board.routing.as_deref().map_or(0, |routing: &RoutingConfig| routing.version);
    let has_workspaces = access::has_workspaces(board);
    let upstream = &board.upstreams[upstream_key];
    let address = UpstreamAddress { path, ..upstream.address(upstream_key) };
    let request = &mut board.requests[key];
    request.attempts += 1;
    request.tried.push(upstream_key);
    request.state = RequestState::Running(attempt);
    let remaining = request.until.since(now);
    if board.has_limits {
        board.quota_waits.entry(request.service.clone()).or_default().placed += 1;
    }
    let forward = Forward {
        tag: request.tag,
        attempt,
        fingerprint: request.fingerprint,
        upstream: address,
        deadline: remaining,
        connect: CONNECT_TIMEOUT.min(remaining),
        streamed: request.route.kind == RouteKind::Stream,
        strips_key: request.strips_key || has_workspaces,
        workspace: request.workspace.clone(),
    };
    let mut detail = format!(
        "upstream={} service={} attempt={} in_flight={}/{} answer_us={} heard_ms_ago={} \
         routing={routing} left_ms={} fingerprint={}",
        upstream.announced.id,
        request.service,
        request.attempts,
        upstream.in_flight,
        upstream.announced.slots,
        upstream.health.response_time_us,
        now.since(upstream.last_seen).0,
        remaining.0,
        request.fingerprint
    );
    if let Some(workspace) = &request.workspace {
        detail.push_str(&format!(" workspace={workspace}"));
    }
    if !forward.upstream.path.direct {
        board.counters.forwards_relayed += 1;
        detail.push_str(&format!(" relays={:?}", forward.upstream.path.relays));
    }
    let trace = request.trace.clone();
    record_stream(board, key, upstream_key);
    board.counters.forwards += 1;
    board.note(EventKind::Dispatched, trace, detail);
    board.actions.push(Action::Forward(forward));
}
