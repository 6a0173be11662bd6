//! Texts of items: what the log holds of them before they are whole.

use std::sync::Arc;

use chestnutdrift_core::Millis;
use chestnutdrift_core::directory::{
    ItemOutcome, ItemResult, ItemText, Job, JobSpec, NewResult, TextPart,
};
use test_case::test_case;

use crate::deployment::job;
use crate::directory::{ENTRY, STORES, started};

fn accepted() -> Job {
    let body = job("job", 2, 1);
    let spec = JobSpec {
        id: body.id,
        host: "jobs.example".into(),
        prefix: "/jobs/".into(),
        services: vec!["engines".into()],
        model: body.model,
        min_version: 1,
        single_version: false,
        resumable: true,
        max_attempts: 3,
        due_after: Millis(7_500),
        give_up_after: Millis(40_000),
        items: body.items,
    };
    Job::new(Arc::new(spec), Millis(0))
}

fn text(ids: std::ops::RangeInclusive<u64>, version: u64) -> ItemText {
    let mut text = ItemText::default();
    for id in ids {
        text.push_event(id, &format!("event {id} of {version}"), Some(version));
    }
    text
}

fn part(after: u32, last: u64, version: u64) -> TextPart {
    TextPart {
        item: 0,
        event_offset: after,
        text: Arc::new(text(u64::from(after) + 1..=last, version)),
    }
}

fn completed(after: u32, text: &str) -> NewResult {
    let outcome = ItemOutcome::Completed { text: text.into(), versions: vec![1] };
    NewResult { event_offset: after, result: ItemResult { item: 0, outcome } }
}

#[test]
fn parts_make_up_the_text_of_a_result() {
    let mut job = accepted();
    job.save_text_part(&part(0, 3, 1));
    job.save_text_part(&part(3, 5, 2));
    let mut whole = text(1..=3, 1);
    whole.append(&text(4..=5, 2));
    assert_eq!(job.partial_text(0), Some(whole.clone()));
    assert_eq!(job.partial_text(1), None);
    job.append_result(&completed(5, "\nthe rest"));
    let listed = ItemOutcome::Completed {
        text: format!("{}\nthe rest", whole.text).into(),
        versions: vec![1],
    };
    assert_eq!(job.results, [ItemResult { item: 0, outcome: listed }]);
    assert_eq!(job.partial_text(0), None, "a listed item needs no draft");
}

#[test]
fn a_part_replaces_what_an_earlier_run_brought_from_there_on() {
    let mut job = accepted();
    job.save_text_part(&part(0, 2, 1));
    job.save_text_part(&part(2, 4, 1));
    job.save_text_part(&part(2, 6, 2));
    let mut whole = text(1..=2, 1);
    whole.append(&text(3..=6, 2));
    assert_eq!(job.partial_text(0), Some(whole));
    job.save_text_part(&part(0, 1, 3));
    assert_eq!(job.partial_text(0), Some(text(1..=1, 3)), "a new beginning replaces everything");
}

#[test_case(7; "behind a gap")]
#[test_case(1; "in the middle of a part")]
fn a_result_that_does_not_fit_the_kept_text_is_not_listed(after: u32) {
    let mut job = accepted();
    job.save_text_part(&part(0, 3, 1));
    job.save_text_part(&part(5, 6, 1));
    assert_eq!(job.partial_text(0), Some(text(1..=3, 1)), "a part behind a gap is dropped");
    job.append_result(&completed(after, "\nthe rest"));
    assert_eq!(job.results, []);
    assert!(!job.has_result(0));
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn another_leader_goes_on_from_the_texts_that_the_log_holds(seed: u64) {
    let mut deployment = started(30 + seed);
    deployment.item_events = Some(150);
    deployment.submit(ENTRY, job("job", 12, 1));
    deployment.run(2_000);
    for engine in &mut deployment.engines {
        engine.begun.clear();
    }
    let old = deployment.leader().expect("a leader");
    deployment.kill(old);
    deployment.run(3_500);
    assert_ne!(deployment.leader().expect("another leader"), old);
    let begun: Vec<(u32, u64)> =
        deployment.engines.iter().flat_map(|engine| engine.begun.clone()).collect();
    assert_eq!(begun.len(), 12, "{begun:?}");
    // Two seconds at 20 ms an event, less what a part and a report gather.
    assert!(begun.iter().all(|(_, first)| *first > 50), "items begin anew: {begun:?}");
    deployment.run(3_000);
    let entry = STORES.iter().find(|id| **id != old).expect("a store");
    let page = deployment.results(*entry, "job", 0).expect("a page");
    assert_eq!(page.results.len(), 12);
    for entry in &page.results {
        let ItemOutcome::Completed { text, .. } = &entry.outcome else { panic!("{entry:?}") };
        let number = entry.id.trim_start_matches("job-");
        let expected: Vec<String> = (1..=150).map(|id| format!("{number}.{id}")).collect();
        assert_eq!(**text, *expected.join("\n"), "events are missing or doubled");
    }
}
