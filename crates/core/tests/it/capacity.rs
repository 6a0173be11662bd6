//! Learned capacity: the estimate by itself, and replayed loads that compare it with other choices.

mod item_replay;

use chestnutdrift_core::Millis;
use chestnutdrift_core::gateway::CapacityEstimate;
use chestnutdrift_core::gateway::capacity::Observation;

use self::item_replay::{Figures, ItemLoad, ItemReplay, Placement};

const SLOTS: u32 = 8;
const SEEDS: u64 = 5;

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
