//! Learned capacity: the estimate by itself, and replayed loads that compare it with other choices.

mod item_replay;
mod request_replay;

use chestnutdrift_core::gateway::capacity::{Observation, SlowReports};
use chestnutdrift_core::gateway::policy::{
    EngineCandidate, ItemPlacement, LearnedPlacement, LongestFirst, WaitingItem,
};
use chestnutdrift_core::gateway::{Answer, Call, CapacityEstimate, Event, ForwardEnd, Policies};
use chestnutdrift_core::key::{ItemKey, UpstreamKey};
use chestnutdrift_core::{Fingerprint, HostId, Millis, Ran, RequestTag};
use slotmap::SlotMap;

use crate::deployment::{Deployment, Size};

use self::item_replay::{Figures, ItemLoad, ItemReplay, Placement};
use self::request_replay::{Choice, Load};

const SLOTS: u32 = 8;
const SEEDS: u64 = 5;
const REQUEST_SEEDS: u64 = 2;

/// Returns the estimate of an engine that had each number of items up to `in_flight` for 500 ms.
fn ramp(in_flight: u32, interval_ms: impl Fn(u32) -> u64) -> (CapacityEstimate, Millis) {
    let (mut estimate, mut now) = (CapacityEstimate::default(), Millis(0));
    for count in 1..=in_flight {
        estimate.begin(now);
        for _ in 0..2 * count {
            now = now + Millis(250 / u64::from(count));
            let took = Millis(interval_ms(count) * 5);
            estimate.observe(now, Observation { slots: SLOTS, units: 5, took });
        }
    }
    (estimate, now)
}

/// Guards against a limit that falls because events take a little longer with more items, although
/// each item adds throughput.
#[test]
fn an_engine_whose_throughput_grows_up_to_its_slots_keeps_them() {
    let (estimate, now) = ramp(SLOTS, |count| 47 + u64::from(count - 1) * 13 / 7);
    assert_eq!(estimate.limit(now, SLOTS), SLOTS);
}

/// Guards against an engine that stays at a limit after it has recovered, and against one that is
/// filled at once again.
#[test]
fn the_limit_falls_to_where_throughput_ends_to_grow_and_returns_step_by_step() {
    let (estimate, now) = ramp(SLOTS, |count| 47 * u64::from(count.max(4)) / 4);
    let limit = estimate.limit(now, SLOTS);
    assert!((4..=5).contains(&limit), "throughput grows up to 4 of 8: {limit}");
    assert_eq!(estimate.limit(now + Millis(2_100), SLOTS), limit + 1);
    assert_eq!(estimate.limit(now + Millis(9_000), SLOTS), SLOTS, "forgotten after seconds");
}

/// Guards against an upstream that answers nothing and keeps the estimate of its good times.
#[test]
fn silence_with_attempts_in_flight_counts_as_slow() {
    let (mut estimate, now) = ramp(2, |_| 47);
    assert_eq!(estimate.unit_time_us(now), 47_000);
    assert_eq!(estimate.unit_time_us(now + Millis(3_000)), 3_000_000);
    (0..2).for_each(|_| estimate.finish());
    assert_eq!(estimate.unit_time_us(now + Millis(3_000)), 47_000, "nothing is in flight");
}

/// Guards against a statement that is ignored while its store still repeats it.
#[test]
fn a_repeated_statement_counts_from_its_last_repetition() {
    let mut reports = SlowReports::default();
    for at in [0, 9_000] {
        reports.apply_statement(HostId(1), true, Millis(at));
    }
    assert!(reports.is_stated_by_any(Millis(12_000)));
    assert!(!reports.is_stated_by_any(Millis(19_500)));
}

fn replay_items(load: ItemLoad) -> [Figures; 3] {
    [Placement::Fewest, Placement::Today, Placement::Learned].map(|placement| {
        let mut all = Figures::default();
        for seed in 1..=SEEDS {
            all.add(ItemReplay::new(seed, load, placement).run());
        }
        println!("{load:?} {placement:?}: {all}");
        all
    })
}

/// Guards against an estimate that limits sound engines.
#[test]
fn items_on_sound_engines_take_no_longer_with_learned_capacity() {
    let [fewest, today, learned] = replay_items(ItemLoad::Sound);
    for percent in [50, 99] {
        assert!(learned.latency_ms(percent) * 100 <= today.latency_ms(percent) * 101);
        assert!(learned.latency_ms(percent) <= fewest.latency_ms(percent));
    }
    assert!(learned.tokens_per_second() * 100 >= today.tokens_per_second() * 99);
}

/// Guards against long items on slow engines: the time that the slow engines add to the slowest items
/// must fall by a quarter or more, also where a release replaces all engines meanwhile.
#[test]
fn slow_engines_delay_items_less_with_learned_capacity() {
    let sound = replay_items(ItemLoad::Sound)[1].latency_ms(99);
    for load in [ItemLoad::Slow, ItemLoad::HalfSlots, ItemLoad::Release] {
        let [fewest, today, learned] = replay_items(load);
        let added = |figures: &Figures| figures.latency_ms(99).saturating_sub(sound);
        assert!(added(&learned) * 100 <= added(&today) * 75, "{load:?}");
        assert!(added(&learned) * 100 <= added(&fewest) * 50, "{load:?}");
        assert!(learned.latency_ms(50) * 100 <= today.latency_ms(50) * 101, "{load:?}");
        assert!(learned.last_end_ms(90) < today.last_end_ms(90), "{load:?}");
        assert!(learned.tokens_per_second() >= today.tokens_per_second(), "{load:?}");
    }
}

/// Returns the value below which the given percentage of the values lie.
fn percentile(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted[(sorted.len() - 1) * percent / 100]
}

fn replay_requests(load: Load, rate: u64) -> [request_replay::Figures; 3] {
    [Choice::Random, Choice::Today, Choice::Learned].map(|choice| {
        let mut all = request_replay::Figures::default();
        for seed in 1..=REQUEST_SEEDS {
            all.add(request_replay::replay(seed, (load, rate), choice));
        }
        println!("{load:?} {rate}/s {choice:?}: {all}");
        all
    })
}

/// Guards against an estimate that limits sound upstreams, and against messages about upstreams that
/// are not slow.
#[test]
fn requests_to_sound_upstreams_take_no_longer_and_hosts_send_nothing_new() {
    let [_, today, learned] = replay_requests(Load::Sound, 600);
    for percent in [50, 99] {
        assert!(learned.latency_ms(percent) <= today.latency_ms(percent));
    }
    assert_eq!((learned.refused, learned.slow_records), (0, 0));
}

/// Guards against slow upstreams that each host has to find by itself, also where a release replaces
/// all upstreams meanwhile, and against hosts that return to a recovered one all at once.
#[test]
fn hosts_avoid_slow_upstreams_together_and_return_to_them_one_by_one() {
    for load in [Load::Slow, Load::Release] {
        let [_, today, learned] = replay_requests(load, 600);
        assert!(learned.latency_ms(99) <= today.latency_ms(99), "{load:?}");
        assert!(learned.over(80) < today.over(80), "{load:?}");
        let [random, today, learned] = replay_requests(load, 1_200);
        assert!(learned.latency_ms(99) * 100 <= today.latency_ms(99) * 60, "{load:?}");
        assert!(learned.latency_ms(99) * 100 <= random.latency_ms(99) * 50, "{load:?}");
        assert!(learned.refused <= today.refused, "{load:?}");
        assert_eq!(today.slow_records, 0, "nothing is sent without learned capacity");
        println!("{load:?}: shares after slow periods {:?} %", learned.returns);
        assert!(learned.returns.iter().all(|share| *share <= 200), "{:?}", learned.returns);
    }
}

/// Guards against an upstream that gets more requests because its errors come quickly.
#[test]
fn an_upstream_that_fails_fast_gets_no_more_than_its_share() {
    let [_, today, learned] = replay_requests(Load::FailsFast, 600);
    println!("shares {:?} % and {:?} %", today.shares, learned.shares);
    assert!(learned.shares.iter().all(|share| *share <= 130), "{:?}", learned.shares);
}

/// Guards against an upstream that answers nothing and is tried again and again for lack of samples.
#[test]
fn an_upstream_that_answers_nothing_gets_few_requests() {
    let [_, today, learned] = replay_requests(Load::Silent, 1_200);
    assert!(learned.latency_ms(99) * 2 <= today.latency_ms(99));
    assert!(learned.shares.iter().all(|share| *share <= 10), "{:?}", learned.shares);
}

/// Guards against requests that wait in vain for a place at full upstreams, and against refusals
/// while an upstream has room.
#[test]
fn requests_that_cannot_be_served_in_time_are_refused_at_once() {
    let size = Size { stores: 3, entries: 1, zones: 1, zones_per_region: 1, tolerated_losses: 1 };
    let mut deployment = Deployment::with_policies(1, size, (true, Policies::learned));
    deployment.start_serving();
    deployment.announce_desk(HostId(1), 1, 1, 1);
    deployment.run(1_500);
    let entry = HostId(101);
    let send = |deployment: &mut Deployment, count: u32| -> Vec<RequestTag> {
        let path = |number| format!("/desk/{number}");
        let call = |number: u32| Call::Request {
            host: "desk.example".into(),
            path: path(number).into(),
            fingerprint: Fingerprint::new(&[path(number).as_bytes()]),
            resumes: None,
            key: None,
        };
        (0..count).map(|number| deployment.send_call(entry, call(number))).collect()
    };
    // Answers after 300 ms, of which the host learns.
    send(&mut deployment, 3);
    deployment.run(300);
    for (host, forward) in deployment.forwards.clone() {
        let end = ForwardEnd::Delivered { status: 200 };
        deployment.deliver(host, Event::ForwardEnded { attempt: forward.attempt, end });
    }
    deployment.run(10);
    assert!(deployment.answers.values().all(|answer| !matches!(answer, Answer::Problem(_))));
    let tags = send(&mut deployment, SLOTS + 12);
    deployment.run(10);
    let problems = tags.iter().filter_map(|tag| match deployment.answers.get(tag) {
        Some(Answer::Problem(problem)) => Some((problem.ran, problem.retry_after_ms.is_some())),
        _ => None,
    });
    let problems: Vec<(Ran, bool)> = problems.collect();
    let forwards = deployment.forwards.len();
    assert_eq!(forwards, 3 + SLOTS as usize, "all slots are used");
    assert!(problems.len() >= 10, "{} refusals within 10 ms", problems.len());
    assert!(problems.iter().all(|problem| *problem == (Ran::No, true)));
}

/// Guards against an item that waits for ever where only a slow engine can run it.
#[test]
fn an_item_that_has_waited_goes_to_a_slow_engine() {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let mut items: SlotMap<ItemKey, ()> = SlotMap::with_key();
    let engine = EngineCandidate {
        key: keys.insert(()),
        distance: 0,
        in_flight: 0,
        slots: SLOTS,
        tokens: 0,
        event_interval_us: 200_000,
        median_interval_us: 50_000,
        observed: Some(Millis(100)),
    };
    let item = WaitingItem {
        key: items.insert(()),
        due: Millis(7_500),
        index: 0,
        expected: 100,
        longest: 100,
        waited: Millis(0),
        begun: false,
    };
    assert_eq!(LearnedPlacement.place(&item, &[engine]), None, "the longest item");
    let short = WaitingItem { expected: 25, ..item };
    assert_eq!(LearnedPlacement.place(&short, &[engine]), Some(engine.key));
    let waited = WaitingItem { waited: Millis(15_000), ..item };
    assert_eq!(LearnedPlacement.place(&waited, &[engine]), Some(engine.key));
}

/// Guards against long items that run beside each other, and thus slowly, while engines with many short
/// items have far fewer tokens in memory: the last items of a step decide when it ends.
#[test]
fn a_long_item_goes_to_the_engine_with_the_fewest_tokens_in_flight() {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let mut items: SlotMap<ItemKey, ()> = SlotMap::with_key();
    let mut engine = |in_flight: u32, tokens: u64| EngineCandidate {
        key: keys.insert(()),
        distance: 0,
        in_flight,
        slots: SLOTS,
        tokens,
        event_interval_us: 50_000,
        median_interval_us: 50_000,
        observed: Some(Millis(100)),
    };
    let (one_long, many_short) = (engine(1, 7_000), engine(4, 2_400));
    let item = WaitingItem {
        key: items.insert(()),
        due: Millis(7_500),
        index: 0,
        expected: 12_000,
        longest: 12_000,
        waited: Millis(0),
        begun: false,
    };
    let engines = [one_long, many_short];
    assert_eq!(LearnedPlacement.place(&item, &engines), Some(many_short.key));
    assert_eq!(LongestFirst.place(&item, &engines), Some(one_long.key), "by the number of items");
}
