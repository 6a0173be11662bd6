//! Upstreams that name how many requests a second they take from all hosts together.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use chestnutdrift_core::gateway::message::GatewayMessage;
use chestnutdrift_core::gateway::{Answer, Call, Event, ForwardEnd, RequestRate};
use chestnutdrift_core::message::Message;
use chestnutdrift_core::{Fingerprint, HostId, RequestTag};
use test_case::test_case;

use crate::deployment::documents::with_rewards;
use crate::deployment::{Deployment, SimEngine, Size, job};

const STORE: HostId = HostId(1);

/// From when on a limit binds, after it was first named, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// The time in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// How long an upstream takes to answer, in milliseconds.
const ANSWER_MS: u64 = 5;

/// Returns the most requests that an upstream with a limit may get within [`WINDOW_MS`].
fn allowed(per_second: f64) -> usize {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rated = (per_second * WINDOW_MS as f64 / 1_000.0 * 1.5) as usize;
    rated + 5
}

/// Returns the most arrivals within [`WINDOW_MS`] from a time on.
fn busiest(arrivals: &[u64], from: u64) -> usize {
    let counted: Vec<u64> = arrivals.iter().copied().filter(|time| *time >= from).collect();
    let within = |start: &u64| {
        counted.iter().filter(|time| (*start..*start + WINDOW_MS).contains(time)).count()
    };
    counted.iter().map(within).max().unwrap_or(0)
}

/// A deployment whose plain upstreams answer each request and name their limits.
struct Desk {
    deployment: Deployment,
    entries: u32,
    /// The limit of each upstream by its id.
    limits: BTreeMap<Box<str>, Option<f64>>,
    arrivals: BTreeMap<Box<str>, Vec<u64>>,
    handled: usize,
    /// The answers under way: when they come, and the forward by its index.
    answers: Vec<(u64, usize)>,
}

impl Desk {
    fn new(seed: u64, entries: u32, upstreams: u32) -> Self {
        let size = Size { stores: 3, entries, zones: 3, zones_per_region: 1, tolerated_losses: 1 };
        let mut deployment = Deployment::sized(seed, size);
        deployment.start_serving();
        for number in 1..=upstreams {
            deployment.announce_desk(STORE, number, 1, 1);
        }
        deployment.run(2_000);
        let limits = (1..=upstreams).map(|number| (format!("desk-{number}").into(), None));
        Self {
            deployment,
            entries,
            limits: limits.collect(),
            arrivals: BTreeMap::new(),
            handled: 0,
            answers: Vec::new(),
        }
    }

    fn limit_all(&mut self, per_second: Option<f64>) {
        self.limits.values_mut().for_each(|limit| *limit = per_second);
    }

    /// Sends requests, one each `interval_ms`, to the entries in turn, and returns their tags.
    fn serve(&mut self, millis: u64, interval_ms: u64) -> Vec<RequestTag> {
        let (end, mut tags) = (self.deployment.now + millis, Vec::new());
        let running = self.deployment.hosts();
        while self.deployment.now < end {
            let number = tags.len() as u64;
            let entry = HostId(101 + u32::try_from(number).expect("few") % self.entries);
            if running.contains(&entry) {
                let path = format!("/desk/{}-{number}", self.deployment.now);
                let fingerprint = Fingerprint::new(&[path.as_bytes()]);
                let call = Call::Request {
                    host: "desk.example".into(),
                    path: path.into(),
                    fingerprint,
                    resumes: None,
                    key: None,
                };
                tags.push(self.deployment.send_call(entry, call));
            }
            let next = self.deployment.now + interval_ms;
            while self.deployment.now < next {
                self.deployment.run(1);
                self.answer();
            }
        }
        tags
    }

    fn answer(&mut self) {
        let now = self.deployment.now;
        for index in self.handled..self.deployment.forwards.len() {
            let id = &self.deployment.forwards[index].1.upstream.id;
            self.arrivals.entry(id.clone()).or_default().push(now);
            self.answers.push((now + ANSWER_MS, index));
        }
        self.handled = self.deployment.forwards.len();
        let (due, later) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at, _)| *at <= now);
        self.answers = later;
        let due: Vec<(u64, usize)> = due;
        for (_, index) in due {
            let (host, forward) = self.deployment.forwards[index].clone();
            let named = self.limits[&forward.upstream.id];
            if named.is_some() || forward.upstream.limited {
                let rate = named.and_then(RequestRate::per_second);
                let (upstream, answer) = (forward.upstream.key, "status=200".into());
                self.deployment.deliver(host, Event::UpstreamLimit { upstream, rate, answer });
            }
            let end = ForwardEnd::Delivered { status: 200 };
            self.deployment.deliver(host, Event::ForwardEnded { attempt: forward.attempt, end });
        }
    }

    fn busiest(&self, from: u64) -> usize {
        self.arrivals.values().map(|arrivals| busiest(arrivals, from)).max().unwrap_or(0)
    }

    /// Returns the number of requests that reached upstreams.
    fn served(&self) -> usize {
        self.arrivals.values().map(Vec::len).sum()
    }
}

/// Guards against hosts that each count for themselves, or not at all.
#[test_case(2, 1.0; "two entries")]
#[test_case(9, 1.0; "nine entries")]
#[test_case(60, 1.1; "sixty entries")]
#[test_case(249, 1.0; "all entries of a large deployment")]
#[test_case(9, 0.3; "a limit below one request a second")]
#[test_case(9, 0.0; "a limit of nothing")]
#[test_case(9, 40.0; "a limit that is nearly enough")]
fn an_upstream_got_more_than_its_limit_from_all_hosts_together(entries: u32, per_second: f64) {
    let mut desk = Desk::new(7, entries, 2);
    desk.limit_all(Some(per_second));
    let from = desk.deployment.now + CONTACT_MS;
    desk.serve(14_000, 10);
    assert!(desk.busiest(from) <= allowed(per_second), "{}", desk.busiest(from));
    // Half of what the limits allow is used.
    let least = per_second * 2.0 * 14.0 / 2.0;
    assert!(desk.served() as f64 >= least, "{} of {least}", desk.served());
}

/// Guards against a limit that is granted twice when the host that grants it fails or is cut off.
#[test_case("kill"; "killed")]
#[test_case("freeze"; "frozen")]
#[test_case("cut"; "cut off from the other stores")]
#[test_case("entry"; "an entry that is cut off from all stores")]
fn a_limit_was_exceeded_after_a_failover(how: &str) {
    for seed in 0..4 {
        let mut desk = Desk::new(40 + seed, 9, 2);
        desk.limit_all(Some(3.0));
        let from = desk.deployment.now + CONTACT_MS;
        desk.serve(5_000, 10);
        let leader = desk.deployment.leader().expect("a leader");
        match how {
            "kill" => desk.deployment.kill(leader),
            "freeze" => desk.deployment.freeze(leader),
            _ => {}
        }
        for store in (1..=3).map(HostId) {
            match how {
                "cut" if store != leader => desk.deployment.cut(leader, store, true),
                "entry" => desk.deployment.cut(HostId(101), store, true),
                _ => {}
            }
        }
        desk.serve(4_000, 10);
        if how == "freeze" {
            desk.deployment.thaw(leader);
        }
        let before = desk.served();
        desk.serve(6_000, 10);
        assert!(desk.busiest(from) <= allowed(3.0), "seed {seed}: {}", desk.busiest(from));
        assert!(desk.served() >= before + 18, "seed {seed}: {} after", desk.served() - before);
    }
}

/// Guards against a limit that holds for good, as nothing is sent that could show its end.
#[test_case(0.0; "a limit of nothing")]
#[test_case(1.0; "a small limit")]
#[test_case(20.0; "a greater limit")]
fn a_limit_held_after_its_upstream_no_longer_named_it(per_second: f64) {
    let mut desk = Desk::new(9, 9, 2);
    desk.limit_all(Some(per_second));
    desk.serve(6_000, 20);
    desk.limit_all(None);
    // A request each 4 s shows the end of the first limit, and another one that of the second.
    desk.serve(10_000, 20);
    for host in desk.deployment.hosts() {
        let board = desk.deployment.gateway(host).board();
        assert!(board.upstreams.values().all(|upstream| upstream.rate_limit().is_none()));
    }
    let before = desk.served();
    assert_eq!(desk.serve(1_000, 20).len(), desk.served() - before);
}

/// Guards against a new instance that is held to the limit of the one before.
#[test]
fn a_new_instance_has_no_limit() {
    let mut desk = Desk::new(10, 3, 1);
    desk.limit_all(Some(1.0));
    desk.serve(2_000, 20);
    desk.limit_all(None);
    desk.deployment.announce_desk(STORE, 1, 2, 1);
    desk.serve(1_000, 20);
    let before = desk.served();
    assert_eq!(desk.serve(1_000, 20).len(), desk.served() - before);
}

/// Guards against hosts that overrun an upstream for long because nobody told them: the time until all
/// entries know, with two hops of at most 200 ms each.
#[test]
fn every_entry_learns_of_a_limit_soon() {
    let mut desk = Desk::new(11, 60, 1);
    let upstream = desk.deployment.gateway(HostId(101)).board().upstream_index["desk-1"];
    let (rate, answer) = (RequestRate::per_second(2.0), "status=200".into());
    desk.deployment.deliver(HostId(101), Event::UpstreamLimit { upstream, rate, answer });
    let knows = |desk: &Desk, entry: u32| {
        let board = desk.deployment.gateway(HostId(entry)).board();
        board.upstreams.values().all(|upstream| upstream.rate_limit() == rate)
    };
    desk.deployment.run(1_000);
    let unaware: Vec<u32> = (101..161).filter(|entry| !knows(&desk, *entry)).collect();
    assert!(unaware.is_empty(), "{unaware:?}");
}

/// Guards against callers that wait for a permit which can't come in their time, and against a time to
/// come back that has nothing to do with the limit.
#[test]
fn a_request_beyond_the_limits_is_refused_at_once_with_the_time_to_come_back() {
    let mut desk = Desk::new(12, 3, 2);
    desk.limit_all(Some(1.0));
    desk.serve(4_000, 20);
    let tags = desk.serve(2_000, 20);
    desk.deployment.run(100);
    let mut delays = Vec::new();
    for tag in &tags {
        let Some(Answer::Problem(problem)) = desk.deployment.answers.get(tag) else { continue };
        delays.push(problem.retry_after_ms.expect("a time to come back"));
    }
    assert!(delays.len() > tags.len() / 2, "{} of {}", delays.len(), tags.len());
    let later = delays.iter().filter(|delay| **delay >= 300).count();
    assert!(later * 2 > delays.len(), "two a second can be served: {delays:?}");
    let counters = tags.len() - delays.len();
    assert!(counters >= 2, "{counters} were served");
}

fn with_limited_engines(seed: u64, per_second: f64) -> Deployment {
    let mut deployment = Deployment::new(seed, 3, 2);
    for number in 0..2 {
        let limit = RequestRate::per_second(per_second);
        deployment.add_engine(SimEngine { limit, break_percent: 30, ..SimEngine::new(number) });
    }
    deployment.start_serving();
    deployment
}

/// Guards against runs of items, resumed runs and orders that go round the limit, and against orders
/// that never get their turn.
#[test_case(2.0; "a small limit")]
#[test_case(1.0; "one a second")]
fn items_and_orders_exceeded_the_limit_of_an_engine(per_second: f64) {
    for seed in 60..63 {
        let mut deployment = with_limited_engines(seed, per_second);
        deployment.submit(HostId(101), job("job", 60, 1));
        deployment.run(3_000);
        let named = Call::NameVersion { model: "model".into(), version: 2 };
        deployment.call(STORE, named, 1_000);
        deployment.run(12_000);
        for engine in &deployment.engines {
            let from = engine.arrivals.first().expect("a request") + CONTACT_MS;
            let most = busiest(&engine.arrivals, from);
            assert!(most <= allowed(per_second), "seed {seed}: {most} in {:?}", engine.arrivals);
            assert_eq!(engine.versions["model"], 2, "seed {seed}: the order had no turn");
            assert!(engine.started_runs.len() >= 8, "{:?}", engine.started_runs.len());
        }
    }
}

/// Guards against reward calls that go round the limit.
#[test]
fn reward_calls_exceeded_the_limit_of_their_upstream() {
    let mut deployment = with_limited_engines(70, 1_000.0);
    deployment.announce_desk(STORE, 1, 1, 1);
    deployment.run(500);
    let leader = deployment.leader().expect("a leader");
    let upstream = deployment.gateway(leader).board().upstream_index["desk-1"];
    let (rate, answer) = (RequestRate::per_second(2.0), "status=200".into());
    deployment.deliver(leader, Event::UpstreamLimit { upstream, rate, answer });
    deployment.submit(HostId(101), with_rewards(job("job", 60, 1)));
    deployment.run(15_000);
    let times: Vec<u64> = deployment.rewards.iter().map(|sent| sent.time).collect();
    assert!(busiest(&times, 0) <= allowed(2.0), "{times:?}");
    assert!(times.len() >= 15, "the limit is used: {}", times.len());
}

/// Guards against a cost for deployments whose upstreams name no limit.
#[test]
fn without_a_limit_no_message_concerns_quotas() {
    let mut desk = Desk::new(13, 9, 2);
    let sent = Rc::new(Cell::new(0));
    let count = Rc::clone(&sent);
    desk.deployment.on_send = Some(Box::new(move |_, envelope| {
        let Message::Gateway(message) = &envelope.message else { return };
        if let GatewayMessage::QuotaRequest(_) | GatewayMessage::QuotaGrant(_) = &**message {
            count.set(count.get() + 1);
        }
    }));
    let tags = desk.serve(3_000, 10);
    assert_eq!((sent.get(), tags.len()), (0, desk.served()));
    desk.limit_all(Some(5.0));
    desk.serve(3_000, 10);
    assert!(sent.get() > 0);
}

/// Guards against callers that never get their turn at an engine because items wait there at any time.
#[test]
fn callers_were_starved_by_items_at_an_upstream_with_a_limit() {
    let mut deployment = with_limited_engines(80, 2.0);
    let mixed = |version| {
        let mut routing = (*crate::deployment::routing(version)).clone();
        routing.routes[0].targets[0].service = "engines".into();
        Call::PutRouting(std::sync::Arc::new(routing))
    };
    assert_eq!(deployment.call(HostId(2), mixed(2), 900), Some(Answer::Done));
    deployment.submit(HostId(101), job("job", 200, 1));
    deployment.run(5_000);
    for number in 0_u32..500 {
        let fingerprint = Fingerprint::new(&[&number.to_be_bytes()]);
        let (host, path) = ("desk.example".into(), "/desk/1".into());
        deployment.send_call(
            HostId(101 + number % 2),
            Call::Request { host, path, fingerprint, resumes: None, key: None },
        );
        deployment.run(20);
        for (entry, forward) in std::mem::take(&mut deployment.forwards) {
            let index = deployment.engines.iter().position(|e| e.id == forward.upstream.id);
            let engine = &mut deployment.engines[index.expect("an engine")];
            engine.arrivals.push(deployment.now);
            engine.forwards += 1;
            let end = ForwardEnd::Delivered { status: 200 };
            deployment.deliver(entry, Event::ForwardEnded { attempt: forward.attempt, end });
        }
    }
    for engine in &deployment.engines {
        let from = engine.arrivals[0] + CONTACT_MS;
        assert!(busiest(&engine.arrivals, from) <= allowed(2.0), "{:?}", engine.arrivals);
        let runs = engine.started_runs.len();
        // Of 10 s with two requests a second, each kind gets a quarter at least.
        assert!(engine.forwards >= 5 && runs >= 10, "{} requests, {runs} runs", engine.forwards);
    }
}
