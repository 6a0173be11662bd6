//! A replay of plain requests over many entry hosts, which run the gateway's own code; the upstreams
//! are a queueing model.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use chestnutdrift_core::gateway::policy::RandomFree;
use chestnutdrift_core::gateway::{Call, Event, ForwardEnd, GatewayMessage, Policies};
use chestnutdrift_core::key::{AttemptKey, RequestTag};
use chestnutdrift_core::message::Message;
use chestnutdrift_core::{Fingerprint, HostId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::percentile;
use crate::deployment::{Deployment, HostPolicies, Size};

const STORE: HostId = HostId(1);
const ENTRIES: u32 = 100;
const UPSTREAMS: u32 = 10;
const ANSWER_MS: f64 = 40.0;
/// No sound upstream takes longer.
const LONG_MS: u64 = 80;
const SECONDS: u64 = 20;
const STEP_MS: u64 = 10;

/// What happens to the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Load {
    /// Nothing.
    Sound,
    /// One in five is 3 to 6 times slower for 8 s at a time.
    Slow,
    /// The throughput of two in ten does not grow beyond half of the slots.
    HalfSlots,
    /// The first one answers with an error at once.
    FailsFast,
    /// The first one answers nothing.
    Silent,
    /// As `Slow`, and all upstreams are replaced after 10 s.
    Release,
}

/// The policies of the entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Choice {
    Random,
    Today,
    Learned,
}

impl Choice {
    fn policies(self) -> HostPolicies {
        match self {
            Self::Random => {
                (false, || Policies { choice: Box::new(RandomFree), ..Policies::default() })
            }
            Self::Today => (false, Policies::default),
            Self::Learned => (true, Policies::learned),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Upstream {
    slow: f64,
    slow_until: u64,
    in_flight: u32,
}

/// The results of a replay.
#[derive(Debug, Default)]
pub(super) struct Figures {
    latencies: Vec<u64>,
    pub(super) refused: usize,
    /// The number of records of slow upstreams that hosts sent.
    pub(super) slow_records: usize,
    /// When each upstream got its requests.
    arrivals: BTreeMap<usize, Vec<u64>>,
    /// The share of the first upstream, in percent of an equal one.
    pub(super) shares: Vec<usize>,
    /// The largest share of an upstream in a second after its slow period, in percent of an equal one.
    pub(super) returns: Vec<usize>,
}

impl Figures {
    pub(super) fn latency_ms(&self, percent: usize) -> u64 {
        percentile(&self.latencies, percent)
    }

    /// Returns the number of requests that took longer than a time.
    pub(super) fn over(&self, limit_ms: u64) -> usize {
        self.latencies.iter().filter(|took| **took > limit_ms).count()
    }

    /// Returns the requests that an upstream got within a time, in percent of an equal share.
    fn share(&self, upstream: usize, (from, until): (u64, u64)) -> usize {
        let count =
            |arrivals: &Vec<u64>| arrivals.iter().filter(|at| (from..until).contains(*at)).count();
        let all: usize = self.arrivals.values().map(count).sum();
        let own = self.arrivals.get(&upstream).map_or(0, count);
        own * 100 * UPSTREAMS as usize / all.max(1)
    }

    pub(super) fn add(&mut self, other: Self) {
        self.latencies.extend(other.latencies);
        self.refused += other.refused;
        self.slow_records += other.slow_records;
        self.shares.extend(other.shares);
        self.returns.extend(other.returns);
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (p50, p99) = (self.latency_ms(50), self.latency_ms(99));
        let (count, refused, records) = (self.latencies.len(), self.refused, self.slow_records);
        let long = self.over(LONG_MS);
        write!(
            f,
            "p50={p50} p99={p99} ms, {long} over {LONG_MS} ms, {count} served, {refused} refused, {records} records"
        )
    }
}

/// Replays a load with a number of requests a second.
pub(super) fn replay(seed: u64, (load, rate): (Load, u64), choice: Choice) -> Figures {
    let size =
        Size { stores: 3, entries: ENTRIES, zones: 1, zones_per_region: 1, tolerated_losses: 1 };
    let mut deployment = Deployment::with_policies(seed, size, choice.policies());
    deployment.start_serving();
    let records = Rc::new(Cell::new(0));
    let counted = Rc::clone(&records);
    deployment.on_send = Some(Box::new(move |_, envelope| {
        let Message::Gateway(message) = &envelope.message else { return };
        let slow = match &**message {
            GatewayMessage::Hello(hello) => hello.slow_upstreams.len(),
            GatewayMessage::View(view) => {
                view.upstreams.iter().filter(|record| record.slow).count()
            }
            _ => 0,
        };
        counted.set(counted.get() + slow);
    }));
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut upstreams = [Upstream { slow: 1.0, slow_until: 0, in_flight: 0 }; UPSTREAMS as usize];
    let (mut figures, mut opened) = (Figures::default(), BTreeMap::<RequestTag, u64>::new());
    let mut last: BTreeMap<RequestTag, AttemptKey> = BTreeMap::new();
    let mut recoveries = Vec::new();
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    let (begin, mut handled, mut sequence) = (deployment.now, 0, 0);
    while deployment.now < begin + SECONDS * 1_000 {
        let time = deployment.now - begin;
        if time.is_multiple_of(1_000) {
            sequence += 1;
            let started_at = if load == Load::Release && time >= 10_000 { 2 } else { 1 };
            for number in 1..=UPSTREAMS {
                deployment.announce_desk(STORE, number, started_at, sequence);
            }
            deployment.run(0);
        }
        for (number, upstream) in upstreams.iter_mut().enumerate() {
            if upstream.slow > 1.0 && time >= upstream.slow_until {
                upstream.slow = 1.0;
                recoveries.push((number, time));
            }
        }
        let slows = matches!(load, Load::Slow | Load::Release);
        if slows && time >= 2_000 && time.is_multiple_of(4_000) {
            let mut at = rng.random_range(0..upstreams.len());
            while upstreams[at].slow_until > time {
                at = (at + 1) % upstreams.len();
            }
            upstreams[at].slow = rng.random_range(3.0..6.0);
            upstreams[at].slow_until = time + 8_000;
        }
        for _ in 0..rate * STEP_MS / 1_000 {
            if time < 2_000 {
                break;
            }
            let entry = HostId(101 + rng.random_range(0..ENTRIES));
            let path = format!("/desk/{}", opened.len());
            let fingerprint = Fingerprint::new(&[path.as_bytes()]);
            let (host, path) = ("desk.example".into(), path.into());
            let call = Call::Request { host, path, fingerprint, resumes: None, key: None };
            opened.insert(deployment.send_call(entry, call), time);
        }
        deployment.run(STEP_MS);
        let time = deployment.now - begin;
        for index in handled..deployment.forwards.len() {
            let (_, forward) = &deployment.forwards[index];
            last.insert(forward.tag, forward.attempt);
            let number: usize = forward.upstream.id[5..].parse().expect("the number of a desk");
            let at = number - 1;
            figures.arrivals.entry(at).or_default().push(time);
            let upstream = &mut upstreams[at];
            upstream.in_flight += 1;
            let slots = if load == Load::HalfSlots && at < 2 { 4.0 } else { 8.0 };
            let crowd = (f64::from(upstream.in_flight) / slots).max(1.0);
            let took = ANSWER_MS * rng.random_range(0.7..1.3) * upstream.slow * crowd;
            let took = match load {
                Load::FailsFast if at == 0 => 1.0,
                Load::Silent if at == 0 => 1e9,
                _ => took,
            };
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            ends.push((time + took as u64, index, at));
        }
        handled = deployment.forwards.len();
        let (due, later) = ends.into_iter().partition(|(end, ..)| *end <= time);
        ends = later;
        let due: Vec<(u64, usize, usize)> = due;
        for (_, index, at) in due {
            upstreams[at].in_flight -= 1;
            let (host, forward) = deployment.forwards[index].clone();
            let status = if load == Load::FailsFast && at == 0 { 404 } else { 200 };
            let is_last = last.get(&forward.tag) == Some(&forward.attempt);
            if is_last && !deployment.answers.contains_key(&forward.tag) {
                figures.latencies.push(time - opened[&forward.tag]);
            }
            let end = ForwardEnd::Delivered { status };
            deployment.deliver(host, Event::ForwardEnded { attempt: forward.attempt, end });
        }
    }
    figures.refused = opened.keys().filter(|tag| deployment.answers.contains_key(tag)).count();
    figures.slow_records = records.get();
    figures.shares = vec![figures.share(0, (0, SECONDS * 1_000))];
    for (at, time) in recoveries {
        let seconds = (time..SECONDS * 1_000 - 1_000).step_by(1_000).take(6);
        let largest = seconds.map(|from| figures.share(at, (from, from + 1_000))).max();
        figures.returns.extend(largest);
    }
    figures
}
