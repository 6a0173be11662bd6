//! Unit tests of error kinds, settings, clocks and policies.

use chestnutdrift_core::board::Class;
use chestnutdrift_core::error::ErrorKind;
use chestnutdrift_core::fleet::{
    EffectiveSetting, Exception, FleetSettings, Scope, SettingContext, SettingKey,
};
use chestnutdrift_core::policy::{
    ArrivalOrder, BudgetedRetry, Candidate, ClassShare, Placement, PowerOfTwo, QueueHead,
    QueueOrder, RetryContext, RetryPolicy, RoundRobin,
};
use chestnutdrift_core::records::{Output, Span};
use chestnutdrift_core::timeline::{HybridClock, Stamp};
use chestnutdrift_core::{Millis, UpstreamKey};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

#[test]
fn every_error_kind_is_listed_once_with_an_error_status() {
    let mut seen = std::collections::BTreeSet::new();
    for kind in ErrorKind::all() {
        assert!(seen.insert(kind), "{kind:?} is listed twice");
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind:?}: {answer:?}");
    }
    assert_eq!(seen.len(), 19);
}

#[test]
fn every_setting_has_a_default_within_its_range_and_is_found_by_its_name() {
    for key in SettingKey::all() {
        let (min, max) = key.range();
        assert!(min <= key.built_in_value() && key.built_in_value() <= max, "{key:?}");
        assert_eq!(SettingKey::from_name(key.name()), Some(key));
    }
}

#[test_case("z1", "h1", Some("model"), 4, "host:h1"; "host before service")]
#[test_case("z1", "h2", Some("model"), 3, "service:model"; "service before zone")]
#[test_case("z1", "h2", None, 2, "zone:z1"; "zone before default")]
#[test_case("z2", "h2", None, 1, "default"; "default before built-in")]
fn the_narrowest_exception_applies(
    zone: &str,
    host: &str,
    service: Option<&str>,
    value: u64,
    from: &str,
) {
    let key = SettingKey::UpstreamSlots;
    let reason: Box<str> = "because".into();
    let exception = |scope, value| Exception { scope, key, value, reason: reason.clone() };
    let settings = FleetSettings {
        version: 1,
        defaults: [(key, 1)].into(),
        exceptions: vec![
            exception(Scope::Host("h1".into()), 4),
            exception(Scope::Zone("z1".into()), 2),
            exception(Scope::Service("model".into()), 3),
        ],
    };
    let effective = settings.effective(key, SettingContext { zone, host, service });
    let reason = if from == "default" { "".into() } else { reason };
    assert_eq!(effective, EffectiveSetting { key, value, source: from.into(), reason });
}

#[test]
fn a_stamp_is_later_than_the_stamps_observed_before_it() {
    let mut clock = HybridClock::default();
    let first = clock.next(Millis(100));
    clock.observe(Stamp { wall: Millis(900), count: 3 });
    let second = clock.next(Millis(101));
    let third = clock.next(Millis(901));
    assert_eq!(first, Stamp { wall: Millis(100), count: 0 });
    assert_eq!(second, Stamp { wall: Millis(900), count: 4 });
    assert_eq!(third, Stamp { wall: Millis(901), count: 0 });
}

#[test_case(&[], None; "no tokens")]
#[test_case(&[(3, 0, 4), (4, 4, 9)], Some(3); "a swap in the middle")]
#[test_case(&[(3, 0, 4), (4, 5, 9)], None; "a gap")]
#[test_case(&[(3, 1, 4)], None; "a missing start")]
fn the_oldest_version_is_known_only_if_the_spans_are_contiguous(
    spans: &[(u64, u32, u32)],
    oldest: Option<u64>,
) {
    let spans = spans.iter().map(|&(version, from, to)| Span { version, from, to }).collect();
    assert_eq!(Output { text: "".into(), spans }.oldest_version(), oldest);
}

#[test]
fn rollout_work_gets_its_share_and_no_more_while_interactive_work_waits() {
    let head = Some(QueueHead { arrived: Millis(0) });
    let mut order = ClassShare::default();
    let rollout = (0..1_000).filter(|_| order.rollout_next(head, head, 20)).count();
    assert_eq!(rollout, 200);
    assert!(order.rollout_next(None, head, 0));
    assert!(!order.rollout_next(head, None, 100));
    assert!(!ArrivalOrder.rollout_next(head, head, 100));
    let _ = Class::Rollout;
}

#[test]
fn power_of_two_sends_less_to_the_slower_upstream_than_round_robin() {
    let candidate = |latency_ms, in_flight| Candidate {
        upstream: UpstreamKey::default(),
        in_flight,
        limit: 8,
        waiting: 0,
        latency_ms,
    };
    let candidates = [candidate(10, 0), candidate(50, 0)];
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut count = |policy: &mut dyn Placement| {
        (0..1_000).filter(|_| policy.choose(&candidates, &mut rng) == Some(1)).count()
    };
    let round_robin_count = count(&mut RoundRobin::default());
    let power_of_two_count = count(&mut PowerOfTwo);
    assert_eq!(round_robin_count, 500);
    assert!(power_of_two_count < 300, "{power_of_two_count} of 1,000 went to the slower upstream");
}

#[test]
fn retries_wait_longer_each_time_and_never_past_the_deadline() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut retry = BudgetedRetry::default();
    let context = |attempts, left| RetryContext {
        attempts,
        max_attempts: 3,
        retry_percent: 20,
        time_left: Millis(left),
    };
    let first = retry.next_delay(context(1, 1_000), &mut rng).unwrap();
    let second = retry.next_delay(context(2, 1_000), &mut rng).unwrap();
    assert!((5..=10).contains(&first.0), "{first:?}");
    assert!((10..=20).contains(&second.0), "{second:?}");
    assert_eq!(retry.next_delay(context(3, 1_000), &mut rng), None);
    assert_eq!(retry.next_delay(context(1, 1), &mut rng), None);
}
