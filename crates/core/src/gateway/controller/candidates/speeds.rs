//! How fast the upstreams of a service answer requests, compared with each other.

use std::cmp::Reverse;

use super::usable;
use crate::gateway::board::{Board, Upstream};
use crate::gateway::capacity::{self, MAX_SLOW_UPSTREAMS, REPORT_VALIDITY, SLOW_ANSWER_PERCENT};
use crate::gateway::controller::registry;
use crate::gateway::settings::Role;
use crate::key::UpstreamKey;
use crate::time::Millis;

/// The number of distances between hosts and upstreams.
const DISTANCES: usize = 3;

/// The time in which half of the difference between an upstream's response time and the median of
/// its peers is forgotten, so that an upstream that was slow once is tried again.
const FORGET_HALF_LIFE: Millis = Millis(4_000);

/// The part of the upstreams of a service, in percent, whose response times must be known before the median
/// stands for the others: a single slow one would be the median of all that is known.
const MIN_KNOWN_PERCENT: usize = 50;

/// At most this part of the upstreams of a service counts as slow, in percent, the slowest ones: under a high
/// load many are slower than the median for a while, and the others could not take the requests of all.
const MAX_SLOW_PERCENT: usize = 34;

/// The response times of the upstreams of a service.
#[derive(Debug)]
pub(super) struct Speeds {
    /// The median response time by distance, in microseconds; zero where unknown.
    medians_us: [u64; DISTANCES],
    /// Whether the medians stand for upstreams of which nothing is known.
    are_medians_known: bool,
    /// The upstreams that this host has lately seen to be slow, without those beyond the limit.
    seen_slow: Vec<UpstreamKey>,
    /// These, and those that stores say are slow, without those beyond the limit.
    slow: Vec<UpstreamKey>,
}

impl Speeds {
    pub(super) fn new(board: &Board, service: &str) -> Self {
        let now = board.now.mono;
        let peers: Vec<(UpstreamKey, &Upstream)> = usable(board, service).collect();
        let mut times_us: [Vec<u64>; DISTANCES] = Default::default();
        for (_, upstream) in &peers {
            times_us[distance(board, upstream)].push(upstream.health.response_time_us);
        }
        let known = times_us.iter().flatten().filter(|us| **us > 0).count();
        let medians_us = times_us.map(capacity::median_us);
        let (mut seen_slow, mut slow) = (Vec::new(), Vec::new());
        for (key, upstream) in &peers {
            let estimate = &upstream.request_capacity;
            let is_fresh = estimate.age(now).is_some_and(|age| age < REPORT_VALIDITY);
            let median_us = medians_us[distance(board, upstream)];
            let is_slow = is_fresh
                && capacity::is_slow(estimate.unit_time_us(now), median_us, SLOW_ANSWER_PERCENT);
            if is_slow {
                seen_slow.push(*key);
            }
            if is_slow || upstream.slow_reports.is_stated_by_any(now) {
                slow.push(*key);
            }
        }
        let slowest = |mut slow: Vec<UpstreamKey>, count: usize| {
            let unit_time_us =
                |key: &UpstreamKey| board.upstreams[*key].request_capacity.unit_time_us(now);
            slow.sort_by_key(|key| Reverse(unit_time_us(key)));
            slow.truncate((count * MAX_SLOW_PERCENT / 100).max(1));
            slow
        };
        let (seen_slow, slow) = (slowest(seen_slow, known), slowest(slow, peers.len()));
        let are_medians_known = known * 100 >= peers.len() * MIN_KNOWN_PERCENT;
        Self { medians_us, are_medians_known, seen_slow, slow }
    }

    /// Returns whether an upstream is clearly slower than its peers.
    pub(super) fn is_slow(&self, key: UpstreamKey) -> bool {
        self.slow.contains(&key)
    }

    /// Returns the expected response time, which returns to the median as the last one ages; zero if
    /// nothing is known.
    pub(super) fn response_time_us(&self, board: &Board, upstream: &Upstream) -> u64 {
        let (now, estimate) = (board.now.mono, &upstream.request_capacity);
        let median_us = self.medians_us[distance(board, upstream)];
        let own_us = upstream.health.response_time_us;
        let Some(age) = estimate.age(now).filter(|_| median_us > 0) else {
            let is_unknown = own_us == 0 && !self.are_medians_known;
            return if is_unknown { 0 } else { own_us.max(median_us) };
        };
        let halvings = u32::try_from(age.0 / FORGET_HALF_LIFE.0).unwrap_or(u32::MAX);
        let difference = own_us.abs_diff(median_us).checked_shr(halvings).unwrap_or(0);
        if own_us > median_us { median_us + difference } else { median_us - difference }
    }
}

fn distance(board: &Board, upstream: &Upstream) -> usize {
    usize::from(board.cfg.distance(&upstream.announced.zone)).min(DISTANCES - 1)
}

/// Lets the next hellos report to the stores an upstream that this host sees to be slow.
pub(super) fn report_if_slow(board: &mut Board, key: UpstreamKey) {
    if !board.cfg.learned_capacity || board.cfg.role == Role::Store {
        return;
    }
    let now = board.now.mono;
    let Some(upstream) = board.upstreams.get(key) else { return };
    if !Speeds::new(board, &upstream.announced.service).seen_slow.contains(&key) {
        return;
    }
    let reports = &mut board.upstreams[key].slow_reports;
    let is_new = !reports.is_reported(now) && !reports.is_stated_by_any(now);
    reports.record_seen(now);
    if is_new {
        registry::hasten_hellos(board);
    }
}

/// Returns the upstreams that this host reports as slow, with the start times of their instances.
pub(in crate::gateway::controller) fn slow_upstreams(board: &Board) -> Vec<(Box<str>, u64)> {
    let now = board.now.mono;
    let mut slow = Vec::new();
    for upstream in board.upstreams.values() {
        if upstream.slow_reports.is_reported(now) && slow.len() < MAX_SLOW_UPSTREAMS {
            slow.push((upstream.announced.id.clone(), upstream.announced.started_at));
        }
    }
    slow
}
