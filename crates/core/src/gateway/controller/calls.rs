//! Calls: dispatches the calls of callers, operators and upstreams to the controllers.
//!
//! Reads: opened calls, callers that are gone, `hosts`, `upstreams`, `routing`, `group`, `leader`,
//! `counters`, `ready`, the clock.
//! Writes: `pending_calls`, `store_requests`, `actions`.
//!
//! Requests to be routed stay in `pending_calls` for the forwarding controller; announcements and
//! leaves of upstreams stay there for the registry. The relays controller handles connections to
//! relay. Queries are answered here; the lifecycle controller sets the readiness that they report.

use std::sync::Arc;

use super::Controller;
use super::access::{self, JobAccess};
use crate::error::{ErrorKind, Problem};
use crate::gateway::action::{Answer, CapacityView, Counters, HostView, UpstreamView};
use crate::gateway::board::{Board, DirectoryGroup, LinkState, Upstream};
use crate::gateway::event::{Call, Event, IncomingCall, Query};
use crate::gateway::message::StoreRequest;
use crate::key::{HostId, RequestTag};
use crate::time::Millis;

/// The time limit of an operator's call; operators try another host after one second.
const OPERATOR_TIMEOUT: Millis = Millis(900);

/// The time limit of a read from a job, in addition to the wait that the caller requests.
const READ_TIMEOUT: Millis = Millis(1_200);

/// The time limit for ending a job.
const END_JOB_TIMEOUT: Millis = Millis(2_500);

/// Dispatches calls.
#[derive(Debug)]
pub(super) struct Calls;

impl Controller for Calls {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::Opened(opened)) => handle_opened(board, opened),
            Some(Event::CallerGone { tag }) => handle_caller_gone(board, *tag),
            _ => {}
        }
    }
}

fn handle_caller_gone(board: &mut Board, tag: RequestTag) {
    board.store_requests.retain(|_, pending| pending.tag != tag);
}

fn handle_opened(board: &mut Board, opened: &IncomingCall) {
    let IncomingCall { tag, trace, .. } = opened;
    let access = opened.call.job_caller().map(|caller| access::authorize_job_call(board, caller));
    let JobAccess { workspace, host } = match access.transpose() {
        Ok(access) => access.unwrap_or_default(),
        Err(problem) => return board.reject(*tag, trace, problem),
    };
    let (request, timeout) = match &opened.call {
        Call::Results { job, after, wait, .. } => {
            let (job, after, wait) = (job.clone(), *after, *wait);
            let request = StoreRequest::Results { job, after, wait, workspace, host };
            (request, READ_TIMEOUT + wait)
        }
        Call::ItemBody { job, item, .. } => {
            let (job, item) = (job.clone(), item.clone());
            (StoreRequest::ItemBody { job, item, workspace, host }, READ_TIMEOUT)
        }
        Call::EndJob { job, .. } => {
            (StoreRequest::EndJob { job: job.clone(), workspace, host }, END_JOB_TIMEOUT)
        }
        Call::PutRouting(routing) => {
            (StoreRequest::PutRouting(Arc::clone(routing)), OPERATOR_TIMEOUT)
        }
        Call::GetRouting => {
            let have = board.routing.as_ref().map_or(0, |routing| routing.version);
            (StoreRequest::GetRouting { have }, OPERATOR_TIMEOUT)
        }
        Call::NameVersion { model, version } => (
            StoreRequest::NameVersion { model: model.clone(), version: *version },
            OPERATOR_TIMEOUT,
        ),
        Call::Retire { host } => (StoreRequest::Retire { host: host.clone() }, OPERATOR_TIMEOUT),
        Call::RetireStatus { host } => {
            (StoreRequest::RetireStatus { host: host.clone() }, OPERATOR_TIMEOUT)
        }
        Call::Query(query) => return answer_query(board, *tag, *query),
        Call::Relay { .. } => return,
        Call::Request { .. } | Call::Announce(_) | Call::Leave { .. } => {
            board.pending_calls.push_back(opened.clone());
            return;
        }
    };
    let deadline = board.now.mono + opened.wait_limit.unwrap_or(timeout).min(timeout);
    board.request_from_store(*tag, trace.clone(), request, deadline);
}

fn answer_query(board: &mut Board, tag: RequestTag, query: Query) {
    let answer = match query {
        Query::Ready => Answer::Ready(board.ready),
        Query::Counters => {
            let mut counters = board.counters;
            counters.ready = board.ready;
            counters.leads = board.leads();
            counters.upstreams = board.upstreams.len() as u64;
            counters.suspects = board.suspects.len() as u64;
            let leaving = |upstream: &&Upstream| upstream.said_leaving.is_some() && !upstream.gone;
            counters.upstreams_leaving = board.upstreams.values().filter(leaving).count() as u64;
            let limited = |upstream: &&Upstream| upstream.rate_limit().is_some() && !upstream.gone;
            counters.upstreams_limited = board.upstreams.values().filter(limited).count() as u64;
            let unreachable = |upstream: &&Upstream| upstream.unreachable && !upstream.gone;
            counters.upstreams_unreachable =
                board.upstreams.values().filter(unreachable).count() as u64;
            counters.relayed_connections = board.relayed.len() as u64;
            counters.links_lost = board.reach.state() == LinkState::Lost;
            count_capacity(board, &mut counters);
            counters.routing_version = board.routing.as_ref().map_or(0, |r| r.version);
            Answer::Counters(Box::new(counters))
        }
        Query::Hosts => Answer::Hosts(host_views(board)),
        Query::Upstreams => Answer::Upstreams(upstream_views(board)),
        Query::Workspaces => Answer::Workspaces(access::workspace_views(board)),
    };
    board.answer(tag, answer);
}

fn host_views(board: &Board) -> Vec<HostView> {
    let leader = board.leader.map(|(_, leader)| leader);
    let is_voter = |id: HostId| {
        let voters = board.group.as_ref().map(DirectoryGroup::voter_hosts).unwrap_or_default();
        voters.contains(&id)
    };
    let mut views = vec![HostView {
        id: board.cfg.id,
        name: board.cfg.name.clone(),
        zone: board.cfg.zone.clone(),
        role: board.cfg.role,
        last_seen_ms_ago: Some(0),
        leads: board.leads(),
        votes: is_voter(board.cfg.id),
    }];
    for host in board.hosts.values() {
        views.push(HostView {
            id: host.id,
            name: host.name.clone(),
            zone: host.zone.clone(),
            role: host.role,
            last_seen_ms_ago: host.last_seen.map(|seen| board.now.mono.since(seen).0),
            leads: leader == Some(host.id),
            votes: is_voter(host.id),
        });
    }
    views
}

/// Sums up what this host has learned of the capacity of upstreams; nothing unless it learns it.
fn count_capacity(board: &Board, counters: &mut Counters) {
    if !board.cfg.learned_capacity {
        return;
    }
    for upstream in board.upstreams.values().filter(|upstream| upstream.accepts_requests()) {
        let view = capacity_view(board, upstream);
        counters.upstreams_slow += u64::from(view.slow);
        counters.announced_slots += u64::from(view.slots);
        counters.learned_slots += u64::from(view.item_limit);
        let age_ms = view.response_seen_ms_ago.max(view.events_seen_ms_ago).unwrap_or(0);
        counters.oldest_estimate_ms = counters.oldest_estimate_ms.max(age_ms);
    }
}

fn capacity_view(board: &Board, upstream: &Upstream) -> CapacityView {
    let now = board.now.mono;
    let (requests, items) = (&upstream.request_capacity, &upstream.item_capacity);
    CapacityView {
        slots: upstream.announced.slots,
        request_limit: upstream.request_slots(true, now),
        response_time_us: requests.unit_time_us(now),
        response_seen_ms_ago: requests.age(now).map(|age| age.0),
        item_limit: upstream.item_slots(true, now),
        event_interval_us: items.unit_time_us(now),
        events_seen_ms_ago: items.age(now).map(|age| age.0),
        slow: upstream.slow_reports.is_stated_by_any(now),
    }
}

fn upstream_views(board: &Board) -> Vec<UpstreamView> {
    let mut views = Vec::new();
    for upstream in board.upstreams.values() {
        let announced = &upstream.announced;
        let state = if !upstream.accepts_requests() {
            "leaving"
        } else if upstream.ended_until(board.now.mono).is_some() {
            "ended"
        } else if upstream.unreachable {
            "unreachable"
        } else if upstream.is_avoided(board.now.mono) {
            "avoided"
        } else if upstream.silent {
            "silent"
        } else {
            "ready"
        };
        views.push(UpstreamView {
            id: announced.id.clone(),
            service: announced.service.clone(),
            address: announced.address.clone(),
            zone: announced.zone.clone(),
            state: state.into(),
            in_flight: upstream.in_flight,
            versions: announced.versions.clone(),
            capacity: board.cfg.learned_capacity.then(|| capacity_view(board, upstream)),
        });
    }
    views
}

/// Returns the problem of a host that has not received enough state yet to answer.
#[must_use]
pub(super) fn not_ready(detail: &str) -> Problem {
    Problem::not_run(ErrorKind::NotReady, detail).retry_after(Millis(250))
}
