//! Texts of items while engines of two software versions serve.

use std::sync::Arc;

use chestnutdrift_core::HostId;
use chestnutdrift_core::directory::{ItemOutcome, ItemText};
use chestnutdrift_core::gateway::Call;
use test_case::test_case;

use crate::deployment::{Deployment, SimEngine, job, routing};
use crate::directory::ENTRY;

const ITEMS: u32 = 16;

/// Returns a deployment with two engines of one version and two of another.
fn mixed(seed: u64) -> Deployment {
    let mut deployment = Deployment::new(seed, 3, 2);
    for number in 0..4 {
        let software = if number < 2 { "v1" } else { "v2" };
        let break_percent = 60;
        let engine = SimEngine::new(number);
        deployment.add_engine(SimEngine { software: software.into(), break_percent, ..engine });
    }
    deployment.start_serving();
    deployment
}

/// Checks that each item is completed by one version, with each event once.
fn check_results(deployment: &mut Deployment, events: u64) {
    let hosts = deployment.hosts();
    let entry = hosts.iter().rfind(|id| **id != HostId(101)).copied().expect("a host");
    let page = deployment.results(entry, "job", 0).expect("a page");
    assert_eq!(page.results.len(), ITEMS as usize, "items without a result");
    for entry in &page.results {
        let ItemOutcome::Completed { text, .. } = &entry.outcome else { panic!("{entry:?}") };
        let number = entry.id.trim_start_matches("job-");
        let of = |mark: &str| {
            let lines: Vec<String> =
                (1..=events).map(|id| format!("{number}.{id}{mark}")).collect();
            lines.join("\n")
        };
        assert!(**text == *of("") || **text == *of("@v2"), "{}: {text}", entry.id);
    }
}

/// Guards against texts that go on at another version after a run broke off, also from the log.
#[test_case(false; "runs that break off")]
#[test_case(true; "and another leader that goes on from the log")]
fn a_text_was_joined_from_two_software_versions(kills_leader: bool) {
    for seed in 0..6 {
        let mut deployment = mixed(500 + seed);
        deployment.events_per_item = Some(60);
        deployment.submit(ENTRY, job("job", ITEMS, 1));
        deployment.run(1_500);
        if kills_leader {
            let leader = deployment.leader().expect("a leader");
            deployment.kill(leader);
        }
        deployment.run(25_000);
        check_results(&mut deployment, 60);
    }
}

/// Guards against items that wait for a version which is gone, or has no room in time.
#[test_case("gone"; "all engines of the version have left")]
#[test_case("down"; "all engines of the version are down")]
#[test_case("busy"; "the engines of the version have no room")]
fn an_item_waited_for_a_version_that_could_not_continue_it(how: &str) {
    for seed in 0..4 {
        let mut deployment = mixed(600 + seed);
        deployment.events_per_item = Some(40);
        deployment.submit(ENTRY, job("job", ITEMS, 1));
        deployment.run(400);
        for engine in &mut deployment.engines[..2] {
            match how {
                "gone" => engine.leaving = true,
                "down" => {
                    engine.up = false;
                    engine.break_percent = 100;
                }
                _ => engine.break_percent = 100,
            }
        }
        for engine in &mut deployment.engines[2..] {
            engine.break_percent = 0;
        }
        deployment.run(12_000);
        check_results(&mut deployment, 40);
    }
}

/// Guards against a text that goes on at an engine which has started again with another version under the
/// same id, before its first announcement has come.
#[test]
fn a_text_went_on_at_an_engine_that_was_upgraded_under_its_id() {
    for seed in 0..8 {
        let mut deployment = mixed(700 + seed);
        for engine in &mut deployment.engines {
            engine.software = "v1".into();
            engine.started_at = 2;
            engine.break_percent = 100;
        }
        deployment.run(2_500);
        deployment.events_per_item = Some(150);
        deployment.submit(ENTRY, job("job", ITEMS, 1));
        deployment.run(600);
        for engine in &mut deployment.engines {
            (engine.software, engine.started_at, engine.break_percent) = ("v2".into(), 3, 0);
        }
        deployment.run(15_000);
        check_results(&mut deployment, 150);
    }
}

/// Guards against log entries that hosts of the version before can't read, or whose texts go on at any
/// engine here.
#[test]
fn a_text_of_a_log_of_an_earlier_version_has_no_software_version() {
    let mut text = ItemText::default();
    text.push_event(1, "data", Some(1));
    let mut encoded = Vec::new();
    ciborium::into_writer(&text, &mut encoded).expect("bytes");
    assert!(!encoded.windows(8).any(|bytes| bytes == b"software"), "an unused field is sent");
    let read: ItemText = ciborium::from_reader(&encoded[..]).expect("a text");
    assert!(read.software.is_empty());
    text.software = "v1".into();
    encoded.clear();
    ciborium::into_writer(&text, &mut encoded).expect("bytes");
    let read: ItemText = ciborium::from_reader(&encoded[..]).expect("a text");
    assert_eq!(*read.software, *"v1");
}

/// Guards against texts that are dropped while no engine has memory for their items, whatever its version.
#[test]
fn texts_were_dropped_where_no_engine_had_memory() {
    for seed in 0..4 {
        let mut deployment = Deployment::new(800 + seed, 3, 2);
        for number in 0..2 {
            deployment.add_engine(SimEngine { break_percent: 50, ..SimEngine::new(number) });
        }
        deployment.start_serving();
        let mut small = (*routing(2)).clone();
        let engine = small.services[1].engine.as_mut().expect("an engine");
        // Two of its four slots have memory: an item reserves 700 tokens.
        engine.memory_tokens = 1_500;
        deployment.call(HostId(2), Call::PutRouting(Arc::new(small)), 1_000);
        deployment.events_per_item = Some(30);
        deployment.submit(ENTRY, job("job", ITEMS, 1));
        deployment.run(20_000);
        check_results(&mut deployment, 30);
        let dropped = deployment.timeline.iter().filter(|e| e.detail.contains("text_dropped"));
        assert_eq!(dropped.count(), 0, "seed {seed}");
    }
}
