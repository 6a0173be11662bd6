//! Calls: takes in what callers, operators and upstreams ask, and gives it to its controller.
//!
//! Reads: opened calls. Writes: `opened`, `asks`, `actions`.
//!
//! Requests to be routed stay in `opened` for the forwarding controller, announcements for the
//! registry, and questions about readiness for the lifecycle.

use std::sync::Arc;

use super::Controller;
use crate::error::{ErrorKind, Problem};
use crate::gateway::action::{Answer, HostView, UpstreamView};
use crate::gateway::board::{Board, DirectoryGroup};
use crate::gateway::event::{Call, Event, IncomingCall, Query};
use crate::gateway::message::StoreRequest;
use crate::key::{HostId, RequestTag};
use crate::time::Millis;

/// How long an operator's call may take; operators go on to another host after a second.
const OPERATOR_PATIENCE: Millis = Millis(900);

/// How long a read of a job may take beyond the wait that it asks for.
const READ_PATIENCE: Millis = Millis(1_200);

/// How long the end of a job may take.
const END_PATIENCE: Millis = Millis(2_500);

/// Takes calls in.
#[derive(Debug)]
pub(super) struct Calls;

impl Controller for Calls {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        match event {
            Some(Event::Opened(opened)) => take(board, opened),
            Some(Event::CallerGone { tag }) => forget_asks(board, *tag),
            _ => {}
        }
    }
}

fn forget_asks(board: &mut Board, tag: RequestTag) {
    board.store_requests.retain(|_, ask| ask.tag != tag);
}

fn take(board: &mut Board, opened: &IncomingCall) {
    let IncomingCall { tag, trace, .. } = opened;
    let (ask, patience) = match &opened.call {
        Call::Results { job, after, wait } => {
            let ask = StoreRequest::Results { job: job.clone(), after: *after, wait: *wait };
            (ask, READ_PATIENCE + *wait)
        }
        Call::ItemBody { job, item } => {
            (StoreRequest::ItemBody { job: job.clone(), item: item.clone() }, READ_PATIENCE)
        }
        Call::EndJob { job } => (StoreRequest::EndJob { job: job.clone() }, END_PATIENCE),
        Call::PutRouting(routing) => {
            (StoreRequest::PutRouting(Arc::clone(routing)), OPERATOR_PATIENCE)
        }
        Call::GetRouting => {
            let have = board.routing.as_ref().map_or(0, |routing| routing.version);
            (StoreRequest::GetRouting { have }, OPERATOR_PATIENCE)
        }
        Call::NameVersion { model, version } => (
            StoreRequest::NameVersion { model: model.clone(), version: *version },
            OPERATOR_PATIENCE,
        ),
        Call::Retire { host } => (StoreRequest::Retire { host: host.clone() }, OPERATOR_PATIENCE),
        Call::RetireStatus { host } => {
            (StoreRequest::RetireStatus { host: host.clone() }, OPERATOR_PATIENCE)
        }
        Call::Query(query) => return answer_query(board, *tag, *query),
        Call::Request { .. } | Call::Announce(_) | Call::Leave { .. } => {
            board.pending_calls.push_back(opened.clone());
            return;
        }
    };
    let until = board.now.mono + opened.wait_limit.unwrap_or(patience).min(patience);
    board.request_from_store(*tag, trace.clone(), ask, until);
}

fn answer_query(board: &mut Board, tag: RequestTag, query: Query) {
    let answer = match query {
        Query::Ready => Answer::Ready(board.ready),
        Query::Counters => {
            let mut counters = board.counters;
            counters.ready = board.ready;
            counters.leads = board.leads();
            counters.upstreams = board.upstreams.len() as u64;
            counters.routing_version = board.routing.as_ref().map_or(0, |r| r.version);
            Answer::Counters(counters)
        }
        Query::Hosts => Answer::Hosts(hosts(board)),
        Query::Upstreams => Answer::Upstreams(upstreams(board)),
    };
    board.answer(tag, answer);
}

fn hosts(board: &Board) -> Vec<HostView> {
    let leader = board.leader.map(|(_, leader)| leader);
    let votes = |id: HostId| {
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
        votes: votes(board.cfg.id),
    }];
    for host in board.hosts.values() {
        views.push(HostView {
            id: host.id,
            name: host.name.clone(),
            zone: host.zone.clone(),
            role: host.role,
            last_seen_ms_ago: host.last_seen.map(|heard| board.now.mono.since(heard).0),
            leads: leader == Some(host.id),
            votes: votes(host.id),
        });
    }
    views
}

fn upstreams(board: &Board) -> Vec<UpstreamView> {
    let mut views = Vec::new();
    for upstream in board.upstreams.values() {
        let announced = &upstream.announced;
        let state = if !upstream.accepts_requests() {
            "leaving"
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
        });
    }
    views
}

/// The problem of a host that has not heard enough yet to answer.
#[must_use]
pub(super) fn not_ready(detail: &str) -> Problem {
    Problem::not_run(ErrorKind::NotReady, detail).retry_after(Millis(250))
}
