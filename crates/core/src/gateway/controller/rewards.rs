//! Rewards: on the leader, requests the scores of complete texts.
//!
//! Reads: ended reward calls, `jobs`, `upstreams`, `routing`, the clock.
//! Writes: `items`, `reward_queue`, `scored_items`, `attempts`, `upstreams` (health), `counters`,
//! `actions`.
//!
//! A text is not in the log before it has its score: after a failover its last part is generated
//! again, as for a text that is still running, and the call is made again. Reward calls never hold a
//! slot of an engine, and take at most a part of the slots of a plain service, so that a burst of
//! finished texts leaves room for callers' requests.

use std::collections::BTreeMap;

use super::Controller;
use super::candidates::{self, CONNECT_TIMEOUT, candidates, draw_service};
use crate::directory::{RewardCall, Route};
use crate::gateway::action::{Action, RewardRequest};
use crate::gateway::board::{Board, ItemState, Purpose};
use crate::gateway::event::{Event, ForwardEnd};
use crate::gateway::policy::{UpstreamCandidate, UpstreamChoice};
use crate::key::{AttemptKey, ItemKey, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// Reward calls of this host take at most one in this many slots of an upstream.
const SLOT_DIVISOR: u32 = 2;

/// The delay after which a call is tried again that no upstream has room for.
const PLACE_INTERVAL: Millis = Millis(20);

/// The delay before the second call of an item; it doubles with each further call.
const FIRST_RETRY_DELAY: Millis = Millis(40);

/// The most times that the delay and the time limit of a call are doubled.
const MAX_DOUBLINGS: u32 = 5;

/// The time limit of the first call of an item, in multiples of the route's latency objective; it
/// doubles with each further call, up to the time-out of the route.
const OBJECTIVES_PER_CALL: u64 = 2;

/// The status of an answer that counts as one of a call's attempts.
const FAILED_STATUS: u16 = 500;

/// Sends the reward calls of complete texts.
#[derive(Debug)]
pub(super) struct Rewards {
    choice: Box<dyn UpstreamChoice>,
}

impl Rewards {
    /// Creates the controller with the policy that chooses upstreams.
    pub(super) fn new(choice: Box<dyn UpstreamChoice>) -> Self {
        Self { choice }
    }
}

impl Controller for Rewards {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::RewardEnded { attempt, end, score }) = event {
            handle_reward_ended(board, *attempt, end, score.as_deref());
        }
        if board.leads() {
            self.call_due(board);
        }
        board.counters.unscored_items = board.reward_queue.len() as u64;
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        // Without the lease nothing is called; the next heartbeat shows whether it is back.
        if board.leads() {
            board.reward_queue.next_call().unwrap_or(Millis::MAX)
        } else {
            Millis::MAX
        }
    }
}

impl Rewards {
    /// Sends the calls that are due and have an upstream; the others are tried again later.
    fn call_due(&self, board: &mut Board) {
        let now = board.now.mono;
        let mut by_service: BTreeMap<Box<str>, Vec<UpstreamCandidate>> = BTreeMap::new();
        for (due, key) in board.reward_queue.take_callable(now) {
            let Some(call) = waiting_call(board, key).cloned() else { continue };
            let Some(route) = route_of(board, &call) else {
                board.reward_queue.push(key, due, now + PLACE_INTERVAL);
                continue;
            };
            let service = draw_service(board, &route);
            let known = by_service.entry(service.clone());
            let free = known.or_insert_with(|| with_share_of_slots(board, &service));
            let avoid = board.items[key].avoid;
            free.iter_mut().for_each(|upstream| upstream.tried = Some(upstream.key) == avoid);
            let Some(upstream) = self.choice.choose(free, &mut board.rng) else {
                board.reward_queue.push(key, due, now + PLACE_INTERVAL);
                continue;
            };
            if let Some(chosen) = free.iter_mut().find(|candidate| candidate.key == upstream) {
                chosen.in_flight += 1;
            }
            start_call(board, key, &route, call, upstream);
        }
    }
}

/// Returns the reward call of an item if its text waits for it.
fn waiting_call(board: &Board, key: ItemKey) -> Option<&RewardCall> {
    let item = board.items.get(key)?;
    let ItemState::Unscored(_) = item.state else { return None };
    board.jobs.get(item.job)?.item(item.index)?.reward.as_ref()
}

/// Returns the route of a reward call in the routing configuration in force.
fn route_of(board: &Board, call: &RewardCall) -> Option<Route> {
    board.routing.as_ref()?.find_route(&call.host, call.path_without_query()).cloned()
}

/// Returns the candidates of a service with the part of their slots that reward calls may take.
fn with_share_of_slots(board: &Board, service: &str) -> Vec<UpstreamCandidate> {
    let mut candidates = candidates(board, service, |_| false, false);
    for candidate in &mut candidates {
        candidate.slots = (candidate.slots / SLOT_DIVISOR).max(1);
    }
    candidates
}

/// Returns how long the upstream of an item's call may take to answer.
fn time_limit(route: &Route, number: u32) -> Millis {
    let first = route.latency_objective.0 * OBJECTIVES_PER_CALL;
    if first == 0 {
        return route.timeout;
    }
    let doublings = number.saturating_sub(1).min(MAX_DOUBLINGS);
    Millis(first << doublings).min(route.timeout)
}

fn start_call(
    board: &mut Board,
    key: ItemKey,
    route: &Route,
    call: RewardCall,
    upstream_key: UpstreamKey,
) {
    let now = board.now.mono;
    let Some(admission) = board.admit(upstream_key) else {
        let due = board.jobs[board.items[key].job].due;
        board.reward_queue.push(key, due, now + PLACE_INTERVAL);
        return;
    };
    let attempt = board.begin_attempt(Purpose::Reward(key), admission, 0);
    let upstream = &board.upstreams[upstream_key];
    let item = &mut board.items[key];
    item.state = ItemState::Scoring(attempt);
    item.reward_calls += 1;
    let deadline = time_limit(route, item.reward_calls);
    let request = RewardRequest {
        attempt,
        upstream: upstream.address(upstream_key),
        service: upstream.announced.service.clone(),
        call,
        number: item.reward_calls,
        waited: now.since(item.whole_at.unwrap_or(now)),
        deadline,
        connect: CONNECT_TIMEOUT.min(deadline),
    };
    let (job, index) = (&board.jobs[item.job].spec, item.index);
    let detail = format!(
        "item={index} id={} reward_call={} call={} service={} upstream={} in_flight={}/{} \
         limit_ms={} since_text_ms={}",
        job.items[index as usize].id,
        request.call.id,
        request.number,
        request.service,
        request.upstream.id,
        upstream.in_flight,
        upstream.announced.slots,
        deadline.0,
        request.waited.0
    );
    let subject = job.id.clone();
    board.counters.reward_calls += 1;
    board.note(EventKind::Item, subject, detail);
    board.actions.push(Action::RequestReward(request));
}

fn handle_reward_ended(board: &mut Board, key: AttemptKey, end: &ForwardEnd, score: Option<&str>) {
    let Some(attempt) = board.end_attempt(key) else { return };
    let Purpose::Reward(item_key) = attempt.purpose else { return };
    candidates::record_end(board, &attempt, end);
    let now = board.now.mono;
    let Some(item) = board.items.get_mut(item_key) else { return };
    let Some(job) = board.jobs.get(item.job) else { return };
    let Some(call) = job.item(item.index).and_then(|spec| spec.reward.as_ref()) else { return };
    let route = board.routing.as_ref();
    let route = route.and_then(|r| r.find_route(&call.host, call.path_without_query()));
    // Both the job and the call's own route set a limit; the greater one holds.
    let max_failures = job.spec.max_attempts.max(route.map_or(0, |route| route.max_attempts));
    if *end == (ForwardEnd::Held { status: FAILED_STATUS }) {
        item.reward_failures += 1;
    }
    let outcome = match (end, score) {
        (ForwardEnd::Delivered { .. }, Some(score)) => Some(Some(score.into())),
        _ if item.reward_failures >= max_failures => Some(None),
        _ => None,
    };
    let detail = format!(
        "item={} reward_call={} call={} failures={}/{max_failures} scored={} took_ms={} \
         since_text_ms={} end={end:?}",
        item.index,
        call.id,
        item.reward_calls,
        item.reward_failures,
        score.is_some(),
        now.since(attempt.started).0,
        now.since(item.whole_at.unwrap_or(now)).0
    );
    let (subject, due) = (job.spec.id.clone(), job.due);
    match outcome {
        Some(score) => board.scored_items.push((item_key, score)),
        None => {
            let at = now + retry_delay(end, item.reward_calls);
            item.avoid = Some(attempt.upstream);
            item.state = ItemState::Unscored(at);
            board.reward_queue.push(item_key, due, at);
        }
    }
    board.note(EventKind::Item, subject, detail);
}

/// Returns the delay before the next call of an item. A refused connection needs none: its upstream
/// has ended, and another one is chosen.
fn retry_delay(end: &ForwardEnd, calls: u32) -> Millis {
    if let ForwardEnd::ConnectRefused { .. } = end {
        return Millis(0);
    }
    let doublings = calls.saturating_sub(1).min(MAX_DOUBLINGS);
    Millis(FIRST_RETRY_DELAY.0 << doublings)
}
