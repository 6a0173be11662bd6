//! Samples reach their trainer exactly once, with their versions, and not too old.

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

const STALENESS: u64 = 2;

pub(crate) fn submit(step: u64, groups: u32, samples: u32) -> Call {
    let groups = (0..groups)
        .map(|at| PromptGroup {
            name: format!("g{at}").into(),
            prompt: format!("prompt {at} of {step}").into(),
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
    world.settle();
    world.run(1_000);
    world
}

/// A trainer that keeps what it has accepted.
#[derive(Debug, Default)]
struct Trainer {
    cursor: u64,
    published: u64,
    received: BTreeMap<(u64, Box<str>, u32), u32>,
}

impl Trainer {
    /// Fetches at a host; a lost reply leaves the cursor where it was.
    fn fetch(&mut self, world: &mut World, at: usize) {
        let published = self.published;
        let number = world.send(at, fetch(self.cursor, 500));
        world.run_until("the fetch ends", 20_000, |world| !world.sends[number].waits());
        let Some(Answer::Samples(batch)) = world.sends[number].answer().cloned() else { return };
        self.accept(&batch, published);
    }

    fn accept(&mut self, batch: &SampleBatch, published: u64) {
        self.cursor = batch.next_cursor;
        for sample in &batch.samples {
            let place = (sample.step, sample.group.clone(), sample.index);
            *self.received.entry(place).or_default() += 1;
            let output = sample.output.as_ref().expect("a sample failed");
            let oldest = output.oldest_version().expect("versions with a gap");
            assert!(published.saturating_sub(oldest) <= STALENESS, "{oldest} of {published}");
        }
    }

    fn check(&self, count: usize, show: &str) {
        assert_eq!(self.received.len(), count, "samples are missing\n{show}");
        for (place, times) in &self.received {
            assert_eq!(*times, 1, "{place:?} came {times} times\n{show}");
        }
    }
}

#[test]
fn invariant_3_a_steps_samples_come_once_each() {
    let mut world = model_world(1);
    assert_eq!(world.ask(0, submit(1, 4, 4)), Answer::Submitted(16));
    assert_eq!(world.ask(5, submit(1, 4, 4)), Answer::Submitted(0));
    let mut trainer = Trainer::default();
    for round in 0..40 {
        trainer.fetch(&mut world, round % 9);
    }
    trainer.check(16, &world.show());
}

#[test]
fn invariant_1_a_sample_whose_versions_have_a_gap_is_generated_anew() {
    let mut world = model_world(6);
    world.upstreams.iter_mut().for_each(|upstream| upstream.gap_percent = 50);
    world.ask(0, submit(1, 4, 4));
    let mut trainer = Trainer::default();
    for round in 0..60 {
        trainer.fetch(&mut world, round % 9);
    }
    trainer.check(16, &world.show());
    let started: u64 = world.upstreams.iter().map(|upstream| upstream.started).sum();
    assert!(started > 16, "no sample came with a gap");
}

#[test]
fn samples_that_wait_long_in_a_queue_are_not_generated_twice() {
    const SAMPLES: u32 = 300;
    let mut world = World::new(7, 1, 3, 1);
    world.add_engine("z1", "model");
    world.upstreams[0].work = (400, 400);
    world.settle();
    world.run(1_000);
    world.ask(0, submit(1, SAMPLES, 1));
    let mut trainer = Trainer::default();
    while trainer.received.len() < SAMPLES as usize {
        trainer.fetch(&mut world, 1);
    }
    assert_eq!(world.upstreams[0].started, u64::from(SAMPLES));
}

#[test]
fn the_same_cursor_gives_the_same_samples() {
    let mut world = model_world(2);
    world.ask(0, submit(1, 4, 4));
    world.run(3_000);
    let first = world.ask(1, fetch(0, 500));
    let again = world.ask(8, fetch(0, 500));
    assert_eq!(first, again);
    let Answer::Samples(batch) = first else { panic!() };
    assert_eq!(batch.samples.len(), 16);
    let Answer::Samples(after) = world.ask(4, fetch(batch.next_cursor, 0)) else { panic!() };
    assert_eq!(after.samples.len(), 0);
}

#[test]
fn a_cursor_that_was_never_given_out_is_refused() {
    let mut world = model_world(3);
    world.ask(0, submit(1, 1, 1));
    world.run(2_000);
    let answer = world.ask(0, fetch(77, 100));
    assert!(matches!(answer, Answer::Problem(_)), "{answer:?}");
    let Answer::Samples(batch) = world.ask(0, fetch(0, 100)) else { panic!() };
    assert_eq!(batch.samples.len(), 1);
}

#[test]
fn invariant_2_a_sample_that_fell_behind_is_generated_anew() {
    let mut world = model_world(4);
    world.ask(0, submit(1, 2, 2));
    world.run(2_000);
    world.ask(0, publish(9));
    world.run_until("the engines have loaded", 20_000, |world| {
        world.upstreams.iter().all(|upstream| upstream.spec.version == 9)
    });
    let mut trainer = Trainer { published: 9, ..Trainer::default() };
    for round in 0..20 {
        trainer.fetch(&mut world, round % 9);
    }
    trainer.check(4, &world.show());
    let stale = world
        .notes
        .iter()
        .filter(|note| note.kind == chestnutdrift_core::timeline::EventKind::SamplesStale);
    assert!(stale.count() > 0, "nothing is on the time line");
}

#[test]
fn a_published_version_is_loaded_by_the_engines_of_every_zone() {
    let mut world = model_world(5);
    world.ask(0, publish(2));
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
fn invariant_3_every_sample_comes_exactly_once(faults: &[&str]) {
    for seed in seeds(SEEDS) {
        let mut world = model_world(seed);
        world.network.lost_replies_percent = 20;
        world.network.drop_percent = 2;
        world.upstreams.iter_mut().for_each(|upstream| upstream.break_percent = 5);
        let mut trainer = Trainer::default();
        for step in 1..=4 {
            let at = world.rng.random_range(0..9);
            let version = step;
            world.send(at, publish(version));
            world.send(at, submit(step, 3, 4));
            let fault = faults[world.rng.random_range(0..faults.len())];
            lifecycle::fault(&mut world, fault);
            for _ in 0..4 {
                let at = world.rng.random_range(0..9);
                trainer.fetch(&mut world, at);
            }
        }
        lifecycle::recover(&mut world);
        for step in 1..=4 {
            let answer = world.ask(0, submit(step, 3, 4));
            assert!(matches!(answer, Answer::Submitted(_)), "{answer:?}");
        }
        for round in 0..30 {
            trainer.fetch(&mut world, round % 9);
        }
        trainer.check(4 * 12, &format!("seed {seed}\n{}", world.show()));
    }
}
