//! Reward calls: the scores of complete texts, through failures of the scorer and of hosts.

use std::collections::BTreeSet;

use bytes::Bytes;
use chestnutdrift_core::directory::ItemOutcome;
use chestnutdrift_core::gateway::{Answer, Call, ForwardEnd, JobBody, JobCaller, ResultsPage};
use chestnutdrift_core::{ErrorKind, HostId, Millis};
use test_case::test_case;

use crate::deployment::documents::with_rewards;
use crate::deployment::rewards::{ANSWERED, Scorer};
use crate::deployment::{Deployment, job};
use crate::directory::{ENTRY, STORES, started};

/// Returns a running deployment with two upstreams that score texts.
fn with_scorers(seed: u64) -> Deployment {
    let mut deployment = started(seed);
    for number in 1..=2 {
        deployment.announce_desk(STORES[0], number, 1, 1);
    }
    deployment.run(500);
    deployment
}

fn run_job(deployment: &mut Deployment, body: JobBody, millis: u64) -> ResultsPage {
    let (id, items) = (body.id.clone(), body.items.len());
    let tag = deployment.submit(ENTRY, body);
    deployment.run(millis);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    let page = deployment.results(ENTRY, &id, 0).expect("a page");
    assert_eq!(page.results.len(), items, "items without a result");
    page
}

/// Checks that each item is completed once, with the score of an answer to its own call, and that no
/// call was made before its host had the whole text.
fn check_scores(deployment: &Deployment, page: &ResultsPage) {
    let mut listed = BTreeSet::new();
    for entry in &page.results {
        assert!(listed.insert(&entry.id), "{} is listed twice", entry.id);
        let ItemOutcome::Completed { score, .. } = &entry.outcome else { panic!("{entry:?}") };
        let score = score.as_ref().expect("a score");
        let answered = deployment.rewards.iter().find(|sent| sent.score.as_ref() == Some(score));
        let call = &answered.expect("an answer with this score").request.call;
        assert_eq!(*call.id, format!("reward-{}", entry.id), "the score of another call");
    }
    for sent in &deployment.rewards {
        let ended = deployment.whole_runs.iter().any(|(time, host, item)| {
            *time <= sent.time && *host == sent.host && sent.request.call.id.ends_with(&**item)
        });
        assert!(ended, "{sent:?} was sent before the end of its text");
    }
}

#[test]
fn a_result_was_listed_without_its_score() {
    let mut deployment = with_scorers(1);
    deployment.engines[0].break_percent = 50;
    let page = run_job(&mut deployment, with_rewards(job("job", 40, 1)), 6_000);
    check_scores(&deployment, &page);
    assert_eq!(deployment.rewards.len(), 40, "one call a text without failures");
    let again = deployment.results(HostId(102), "job", 0);
    assert_eq!(again, Some(page), "the scores are the same at every entry");
}

#[test]
fn a_job_without_reward_calls_has_no_scores() {
    let mut deployment = with_scorers(2);
    let page = run_job(&mut deployment, job("job", 8, 1), 4_000);
    assert!(deployment.rewards.is_empty());
    for entry in &page.results {
        assert!(matches!(entry.outcome, ItemOutcome::Completed { score: None, .. }), "{entry:?}");
    }
}

fn broken() -> ForwardEnd {
    ForwardEnd::Broken { detail: "cut off".into() }
}

/// Fails the first calls of each item with the ends of a list, in turn.
fn failing_first(ends: Vec<ForwardEnd>) -> Scorer {
    Box::new(move |request, _| ends.get(request.number as usize - 1).cloned().unwrap_or(ANSWERED))
}

#[test_case(broken(); "broken off")]
#[test_case(ForwardEnd::NotRun { status: 503, other_instance: false }; "refused")]
#[test_case(ForwardEnd::NotSent { detail: "no connection".into() }; "not sent")]
#[test_case(ForwardEnd::Held { status: 503 }; "unavailable")]
#[test_case(ForwardEnd::Held { status: 404 }; "not found")]
#[test_case(ForwardEnd::Delivered { status: 204 }; "without a signature")]
fn only_failed_runs_count_as_attempts_of_a_reward_call(end: ForwardEnd) {
    let mut deployment = with_scorers(3);
    // The attempts of the route are two.
    deployment.scorer = Some(failing_first(vec![end; 5]));
    let page = run_job(&mut deployment, with_rewards(job("job", 4, 1)), 9_000);
    check_scores(&deployment, &page);
    assert_eq!(deployment.rewards.len(), 24);
}

#[test]
fn an_item_is_errored_once_its_reward_call_failed_as_often_as_the_route_allows() {
    let mut deployment = with_scorers(4);
    deployment.scorer = Some(Box::new(|request, _| {
        if request.call.id.ends_with("-1") { ForwardEnd::Held { status: 500 } } else { ANSWERED }
    }));
    let page = run_job(&mut deployment, with_rewards(job("job", 4, 1)), 6_000);
    for entry in &page.results {
        let errored = entry.outcome == ItemOutcome::Errored;
        assert_eq!(errored, entry.id.ends_with("-1"), "{entry:?}");
    }
    let calls = deployment.rewards.iter().filter(|sent| sent.request.call.id.ends_with("-1"));
    assert_eq!(calls.count(), 2, "a call that fails each time is not sent more often");
}

#[test_case(21)]
#[test_case(22)]
#[test_case(23)]
#[test_case(24)]
fn a_score_survives_the_end_of_a_leader_between_answer_and_listing(seed: u64) {
    let mut deployment = with_scorers(seed);
    let tag = deployment.submit(ENTRY, with_rewards(job("job", 40, 1)));
    // Texts end from 60 ms after the first run on; some of them are scored and not listed then.
    deployment.run(150 + 20 * (seed % 4));
    let old = deployment.leader().expect("a leader");
    let called = deployment.rewards.len();
    assert!(called > 0, "no reward call yet");
    deployment.kill(old);
    if seed.is_multiple_of(2) {
        deployment.lose_disk(old);
    }
    deployment.run(600);
    deployment.start(old);
    deployment.run(9_000);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    let page = deployment.results(ENTRY, "job", 0).expect("a page");
    assert_eq!(page.results.len(), 40);
    check_scores(&deployment, &page);
}

#[test]
fn reward_calls_end_with_their_job() {
    let mut deployment = with_scorers(5);
    deployment.scorer = Some(Box::new(|_, _| broken()));
    let tag = deployment.submit(ENTRY, with_rewards(job("job", 8, 1)));
    deployment.run(1_500);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    assert!(!deployment.rewards.is_empty());
    let ended = deployment.call(
        ENTRY,
        Call::EndJob { job: "job".into(), caller: JobCaller::default() },
        900,
    );
    assert_eq!(ended, Some(Answer::Done));
    let called = deployment.rewards.len();
    deployment.run(5_000);
    assert_eq!(deployment.rewards.len(), called, "calls after the end of the job");
    for id in STORES {
        assert!(deployment.gateway(id).board().attempts.is_empty(), "an attempt is left");
    }
}

#[test]
fn an_item_that_comes_again_is_scored_without_another_run() {
    let mut deployment = with_scorers(6);
    deployment.scorer = Some(Box::new(|_, _| broken()));
    deployment.submit(ENTRY, with_rewards(job("job", 8, 1)));
    deployment.run(2_000);
    deployment.call(ENTRY, Call::EndJob { job: "job".into(), caller: JobCaller::default() }, 900);
    let runs = deployment.whole_runs.len();
    deployment.scorer = None;
    let mut again = with_rewards(job("job", 8, 1));
    again.id = "again".into();
    let page = run_job(&mut deployment, again, 3_000);
    check_scores(&deployment, &page);
    assert_eq!(deployment.whole_runs.len(), runs, "whole texts were generated again");
}

#[test]
fn a_listed_text_is_scored_again_for_another_reward_call() {
    let mut deployment = with_scorers(7);
    run_job(&mut deployment, with_rewards(job("job", 4, 1)), 3_000);
    let (runs, called) = (deployment.whole_runs.len(), deployment.rewards.len());
    let mut again = with_rewards(job("job", 4, 1));
    again.id = "again".into();
    let Some(reward) = &mut again.items[0].reward else { panic!("a reward call") };
    reward.id = "other".into();
    let page = run_job(&mut deployment, again, 3_000);
    assert_eq!(deployment.whole_runs.len(), runs, "listed texts were generated again");
    assert_eq!(deployment.rewards.len(), called + 1, "only the changed call is made");
    let ItemOutcome::Completed { score, .. } = &page.results[3].outcome else { panic!() };
    assert!(score.as_ref().is_some_and(|score| score.starts_with("other#")), "{score:?}");
}

#[test]
fn texts_are_generated_while_no_upstream_scores_them() {
    let mut deployment = started(8);
    deployment.submit(ENTRY, with_rewards(job("job", 24, 1)));
    deployment.submit(ENTRY, job("unscored", 24, 1));
    deployment.run(4_000);
    let page = deployment.results(ENTRY, "unscored", 0).expect("a page");
    assert_eq!(page.results.len(), 24, "texts wait for the scores of others");
    let whole = deployment.whole_runs.iter().filter(|(_, _, id)| id.starts_with("job-"));
    assert_eq!(whole.count(), 24);
    for number in 1..=2 {
        deployment.announce_desk(STORES[0], number, 1, 1);
    }
    deployment.run(2_000);
    let page = deployment.results(ENTRY, "job", 0).expect("a page");
    assert_eq!(page.results.len(), 24);
    check_scores(&deployment, &page);
}

#[test]
fn reward_calls_took_all_slots_of_a_plain_service() {
    let mut deployment = with_scorers(9);
    deployment.engine_slots = 64;
    deployment.run(1_500);
    deployment.submit(ENTRY, with_rewards(job("job", 100, 1)));
    let leader = deployment.leader().expect("a leader");
    let mut most = 0;
    for _ in 0..200 {
        deployment.run(10);
        let board = deployment.gateway(leader).board();
        for upstream in board.upstreams.values() {
            if *upstream.announced.service == *"desk" {
                most = most.max(upstream.in_flight);
            }
        }
    }
    assert_eq!(most, 4, "of eight slots, half are left to callers");
    let page = deployment.results(ENTRY, "job", 0).expect("a page");
    check_scores(&deployment, &page);
}

#[test]
fn a_slow_scorer_is_left_for_another_one_before_the_time_out_of_its_route() {
    let mut deployment = with_scorers(10);
    run_job(&mut deployment, with_rewards(job("job", 4, 1)), 3_000);
    for sent in &deployment.rewards {
        assert_eq!(sent.request.deadline, Millis(400), "twice the latency objective");
    }
}

#[test_case("nowhere.example", "/desk/score", 10, ErrorKind::NotFound; "unknown host")]
#[test_case("desk.example", "/other/score", 10, ErrorKind::NotFound; "path out of the route")]
#[test_case("jobs.example", "/jobs/score", 10, ErrorKind::BadRequest; "route of jobs")]
#[test_case("desk.example", "/desk/score", 2 << 20, ErrorKind::BodyTooLarge; "large body")]
fn a_job_with_a_bad_reward_call_is_refused_as_a_whole(
    host: &str,
    path: &str,
    body: usize,
    kind: ErrorKind,
) {
    let mut deployment = with_scorers(11);
    let mut bad = with_rewards(job("job", 4, 1));
    let Some(reward) = &mut bad.items[3].reward else { panic!("a reward call") };
    (reward.host, reward.path) = (host.into(), path.into());
    reward.body = Bytes::from(vec![1; body]);
    let tag = deployment.submit(ENTRY, bad);
    deployment.run(1_500);
    let Some(Answer::Problem(problem)) = deployment.answers.get(&tag) else { panic!() };
    assert_eq!(problem.kind, kind);
    assert!(problem.detail.contains("item job-3: reward call reward-job-3"), "{problem:?}");
    assert!(deployment.whole_runs.is_empty(), "a part of the job ran");
    let leader = deployment.leader().expect("a leader");
    let group = deployment.gateway(leader).board().group.as_ref().expect("a group");
    assert!(group.directory.jobs.is_empty());
}

#[test]
fn an_item_without_a_reward_call_is_encoded_as_before() {
    let body = job("job", 1, 1);
    let outcome = ItemOutcome::Completed { text: "text".into(), versions: vec![1], score: None };
    let (item, result) = (encoded(&body.items[0]), encoded(&outcome));
    for (name, encoded) in [("reward", item), ("score", result)] {
        let found = encoded.windows(name.len()).any(|bytes| bytes == name.as_bytes());
        assert!(!found, "an unused {name} is a part of the message");
    }
    let body = with_rewards(body);
    let read: JobBody = ciborium::from_reader(&encoded(&body)[..]).expect("a job");
    assert_eq!(read, body);
}

fn encoded(value: &impl serde::Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("a value that can be encoded");
    buf
}
