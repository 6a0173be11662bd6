//! Samples reach their trainer exactly once, with complete version spans and within the staleness
//! limit.

use std::collections::BTreeMap;

use chestnutdrift_core::Millis;
use chestnutdrift_core::action::{Answer, SampleBatch};
use chestnutdrift_core::event::Call;
use chestnutdrift_core::records::PromptGroup;
use rand::Rng;
use test_case::test_case;

use crate::bookings::{SEEDS, seeds};
use crate::lifecycle;
use crate::world::World;

/// The default staleness limit, in versions.
const MAX_STALENESS: u64 = 2;

pub(crate) fn submit(step: u64, groups: u32, samples: u32) -> Call {
    let groups = (0..groups)
        .map(|index| PromptGroup {
            name: format!("g{index}").into(),
            prompt: format!("prompt {index} of {step}").into(),
            sample_count: samples,
            max_tokens: 4,
        })
        .collect();
    Call::Submit { trainer: "trainer".into(), service: "model".into(), step, groups }
}

fn fetch(cursor: u64, wait: u64) -> Call {
    Call::Fetch { trainer: "trainer".into(), cursor, max: 16, wait: Millis(wait) }
}

fn publish(version: u64) -> Call {
    Call::Publish { trainer: "trainer".into(), service: "model".into(), version }
}

fn model_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 3, 1);
    for zone in ["z1", "z2", "z3"] {
        world.add_engine(zone, "model");
        world.add_engine(zone, "model");
    }
    world.run_until_ready();
    world.run(1_000);
    world
}

/// A trainer that counts the samples that it received.
#[derive(Debug, Default)]
struct Trainer {
    cursor: u64,
    published: u64,
    received: BTreeMap<(u64, Box<str>, u32), u32>,
}

impl Trainer {
    /// Fetches samples from a host; the cursor does not move if the reply is lost.
    fn fetch(&mut self, world: &mut World, host: usize) {
        let published = self.published;
        let number = world.send(host, fetch(self.cursor, 500));
        world.run_until("the fetch ends", 20_000, |world| !world.sent_calls[number].is_waiting());
        let Some(Answer::Samples(batch)) = world.sent_calls[number].answer().cloned() else {
            return;
        };
        self.accept(&batch, published);
    }

    fn accept(&mut self, batch: &SampleBatch, published: u64) {
        self.cursor = batch.next_cursor;
        for sample in &batch.samples {
            let sample_key = (sample.step, sample.group.clone(), sample.index);
            *self.received.entry(sample_key).or_default() += 1;
            let output = sample.output.as_ref().expect("a sample failed");
            let oldest = output.oldest_version().expect("versions with a gap");
            assert!(published.saturating_sub(oldest) <= MAX_STALENESS, "{oldest} of {published}");
        }
    }

    fn check(&self, count: usize, state: &str) {
        assert_eq!(self.received.len(), count, "samples are missing\n{state}");
        for (sample_key, times) in &self.received {
            assert_eq!(*times, 1, "{sample_key:?} was delivered {times} times\n{state}");
        }
    }
}

#[test]
fn invariant_3_each_sample_of_a_step_is_delivered_once() {
    let mut world = model_world(1);
    assert_eq!(world.call(0, submit(1, 4, 4)), Answer::Submitted(16));
    assert_eq!(world.call(5, submit(1, 4, 4)), Answer::Submitted(0));
    let mut trainer = Trainer::default();
    for round in 0..40 {
        trainer.fetch(&mut world, round % 9);
    }
    trainer.check(16, &world.describe());
}

#[test]
fn invariant_1_a_sample_with_a_gap_in_its_versions_is_regenerated() {
    let mut world = model_world(6);
    world.upstreams.iter_mut().for_each(|upstream| upstream.gap_percent = 50);
    world.call(0, submit(1, 4, 4));
    let mut trainer = Trainer::default();
    for round in 0..60 {
        trainer.fetch(&mut world, round % 9);
    }
    trainer.check(16, &world.describe());
    let started: u64 = world.upstreams.iter().map(|upstream| upstream.started).sum();
    assert!(started > 16, "no sample had a gap");
}

#[test]
fn samples_that_wait_long_in_a_queue_are_generated_once() {
    const SAMPLES: u32 = 300;
    let mut world = World::new(7, 1, 3, 1);
    world.add_engine("z1", "model");
    world.upstreams[0].service_time_ms = (400, 400);
    world.run_until_ready();
    world.run(1_000);
    world.call(0, submit(1, SAMPLES, 1));
    let mut trainer = Trainer::default();
    while trainer.received.len() < SAMPLES as usize {
        trainer.fetch(&mut world, 1);
    }
    assert_eq!(world.upstreams[0].started, u64::from(SAMPLES));
}

#[test]
fn a_repeated_fetch_returns_the_same_samples() {
    let mut world = model_world(2);
    world.call(0, submit(1, 4, 4));
    world.run(3_000);
    let first = world.call(1, fetch(0, 500));
    let again = world.call(8, fetch(0, 500));
    assert_eq!(first, again);
    let Answer::Samples(batch) = first else { panic!() };
    assert_eq!(batch.samples.len(), 16);
    let Answer::Samples(after) = world.call(4, fetch(batch.next_cursor, 0)) else { panic!() };
    assert_eq!(after.samples.len(), 0);
}

#[test]
fn an_unknown_cursor_is_rejected() {
    let mut world = model_world(3);
    world.call(0, submit(1, 1, 1));
    world.run(2_000);
    let answer = world.call(0, fetch(77, 100));
    assert!(matches!(answer, Answer::Problem(_)), "{answer:?}");
    let Answer::Samples(batch) = world.call(0, fetch(0, 100)) else { panic!() };
    assert_eq!(batch.samples.len(), 1);
}

#[test]
fn invariant_2_a_stale_sample_is_regenerated() {
    let mut world = model_world(4);
    world.call(0, submit(1, 2, 2));
    world.run(2_000);
    world.call(0, publish(9));
    world.run_until("the engines have loaded", 20_000, |world| {
        world.upstreams.iter().all(|upstream| upstream.spec.version == 9)
    });
    let mut trainer = Trainer { published: 9, ..Trainer::default() };
    for round in 0..20 {
        trainer.fetch(&mut world, round % 9);
    }
    trainer.check(4, &world.describe());
    let stale = world
        .timeline
        .iter()
        .filter(|event| event.kind == chestnutdrift_core::timeline::EventKind::SamplesStale);
    assert!(stale.count() > 0, "the timeline has no event of stale samples");
}

#[test]
fn a_published_version_is_loaded_by_the_engines_of_every_zone() {
    let mut world = model_world(5);
    world.call(0, publish(2));
    world.run_until("every engine runs version 2", 24_000, |world| {
        world.upstreams.iter().all(|upstream| upstream.spec.version == 2)
    });
}

#[test_case(&["kill"]; "kill")]
#[test_case(&["power"]; "a zone without power")]
#[test_case(&["lose_disk"]; "lost disk")]
#[test_case(&["freeze"]; "freeze")]
#[test_case(&["cut", "one_way", "cut_zone"]; "cut")]
#[test_case(&["kill", "freeze", "cut", "one_way", "lose_disk"]; "any two at once")]
fn invariant_3_every_sample_is_delivered_exactly_once(faults: &[&str]) {
    for seed in seeds(SEEDS) {
        let mut world = model_world(seed);
        world.network.lost_replies_percent = 20;
        world.network.drop_percent = 2;
        world.upstreams.iter_mut().for_each(|upstream| upstream.break_percent = 5);
        let mut trainer = Trainer::default();
        for step in 1..=4 {
            let host = world.rng.random_range(0..9);
            let version = step;
            world.send(host, publish(version));
            world.send(host, submit(step, 3, 4));
            let fault = faults[world.rng.random_range(0..faults.len())];
            lifecycle::inject_fault(&mut world, fault);
            for _ in 0..4 {
                let host = world.rng.random_range(0..9);
                trainer.fetch(&mut world, host);
            }
        }
        lifecycle::recover(&mut world);
        for step in 1..=4 {
            let answer = world.call(0, submit(step, 3, 4));
            assert!(matches!(answer, Answer::Submitted(_)), "{answer:?}");
        }
        for round in 0..30 {
            trainer.fetch(&mut world, round % 9);
        }
        trainer.check(4 * 12, &format!("seed {seed}\n{}", world.describe()));
    }
}
