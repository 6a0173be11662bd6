//! Samples of trainers, on real processes.

use chestnutdrift_standins::fleet::FleetPlan;
use chestnutdrift_standins::process::wait_until;
use chestnutdrift_standins::trainer::{Trainer, prompt_groups};

use crate::fixture::{MODEL, TestFolder, WAIT_TIMEOUT, engine, fleet};

#[test]
fn invariant_1_a_swap_in_the_middle_of_a_sample_is_listed_span_by_span() {
    const TOKENS: u32 = 400;
    let folder = TestFolder::new();
    let fleet = fleet(&FleetPlan::new(&["zone-a"]), &folder);
    let engine = engine(&fleet, "zone-a", "engine-1");
    let stamps = format!("http://{}/stamps", engine.address());
    let entry = fleet.hosts[1].http.to_string();
    let mut trainer = Trainer::new("trainer-1", MODEL, entry);
    trainer.submit(1, &prompt_groups(1, 6, 1, TOKENS), WAIT_TIMEOUT).unwrap();
    wait_until("the samples are being generated", WAIT_TIMEOUT, || {
        let stamps = fleet.client.get_json(&stamps).unwrap_or_default();
        stamps.as_object().is_some_and(|stamps| stamps.len() == 6)
    })
    .unwrap();
    trainer.publish(2, WAIT_TIMEOUT).unwrap();
    trainer.fetch_until(6, WAIT_TIMEOUT).unwrap();
    let stamps = fleet.client.get_json(&stamps).unwrap();
    let mut swaps = 0;
    for ((_, group, _), samples) in trainer.received() {
        assert_eq!(samples.len(), 1, "{group} was delivered more than once");
        let at = group.trim_start_matches('g');
        let prompt = format!("draft a quote for order {at} of step 1");
        let mut reported = Vec::new();
        for span in &samples[0].versions {
            assert_eq!(span.from as usize, reported.len(), "{group} has a gap");
            reported.resize(span.to as usize, span.version);
        }
        let stamped: Vec<u64> = serde_json::from_value(stamps[&prompt].clone()).unwrap();
        assert_eq!(reported, stamped, "{group}");
        assert_eq!(reported.len(), TOKENS as usize);
        swaps += u32::from(samples[0].versions.len() == 2);
    }
    assert!(swaps > 0, "no swap happened in the middle of a sample");
    engine.close();
}

#[test]
fn invariant_3_each_sample_is_delivered_once_when_the_trainers_host_is_killed() {
    let folder = TestFolder::new();
    let mut fleet = fleet(&FleetPlan::new(&["zone-a"]), &folder);
    let engine = engine(&fleet, "zone-a", "engine-1");
    let entry = fleet.hosts[1].http.to_string();
    let mut trainer = Trainer::new("trainer-1", MODEL, entry);
    trainer.submit(1, &prompt_groups(1, 8, 4, 20), WAIT_TIMEOUT).unwrap();
    trainer.fetch_until(4, WAIT_TIMEOUT).unwrap();
    fleet.kill_host(0).unwrap();
    trainer.fetch_until(16, WAIT_TIMEOUT).unwrap();
    fleet.start_host(0).unwrap();
    trainer.fetch_until(32, WAIT_TIMEOUT).unwrap();
    for (key, samples) in trainer.received() {
        assert_eq!(samples.len(), 1, "{key:?} was delivered more than once");
    }
    engine.close();
}
