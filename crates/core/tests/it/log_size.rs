//! The sizes of the log and of snapshots, in bytes.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use chestnutdrift_core::HostId;
use chestnutdrift_core::Millis;
use chestnutdrift_core::agreement::{Entry, GroupMessage};
use chestnutdrift_core::directory::{
    Directory, DirectoryCommand, ItemOutcome, ItemResult, ItemText, NewResult, TextPart,
    UpstreamTarget,
};
use chestnutdrift_core::gateway::board::DirectoryGroup;
use chestnutdrift_core::gateway::{Call, JobCaller, Role};
use chestnutdrift_core::message::Message;
use test_case::test_case;

use crate::deployment::documents::submitted_job;
use crate::deployment::{Deployment, SimEngine, job, routing};
use crate::directory::{ENTRY, STORES, started};

/// The most bytes of log entries that a store may hold: a quarter of the memory of a small store.
const MAX_LOG_BYTES: usize = 32 * 1024 * 1024;

/// The most bytes of a message that carries a part of a snapshot.
const MAX_PART_BYTES: usize = 256 * 1024;

/// Runs jobs with 12 MB of text each until a number of them have ended.
fn run_large_jobs(deployment: &mut Deployment, jobs: u32, mut check: impl FnMut(&Deployment)) {
    deployment.event_padding_bytes = 20_000;
    deployment.events_per_item = Some(10);
    for number in 0..jobs {
        let id = format!("large-{number}");
        deployment.submit(ENTRY, job(&id, 60, 1));
        for _ in 0..3 {
            deployment.run(1_000);
            check(deployment);
        }
        let call = Call::EndJob { job: id.as_str().into(), caller: JobCaller::default() };
        deployment.call(ENTRY, call, 900);
    }
}

fn group(deployment: &Deployment, id: HostId) -> &DirectoryGroup {
    deployment.gateway(id).board().group.as_ref().expect("a store has a group")
}

/// Guards against a log that was compacted by its number of entries alone, and outgrew the memory
/// of its host.
#[test]
fn the_log_of_a_store_does_not_outgrow_its_bytes() {
    let mut deployment = started(31);
    run_large_jobs(&mut deployment, 5, |deployment| {
        for id in STORES {
            let bytes = group(deployment, id).replica.log().bytes();
            assert!(bytes < MAX_LOG_BYTES, "the log of {id:?} has {bytes} bytes");
        }
    });
    let held = group(&deployment, STORES[0]).directory.job_bytes();
    assert!(held > MAX_LOG_BYTES, "only {held} bytes of jobs were written");
}

/// Guards against a log whose bound is that of a large store, and takes the memory of a small one.
#[test]
fn the_log_of_a_small_store_takes_a_quarter_of_its_memory_at_most() {
    const LIMIT: u64 = 80_000_000;
    const MAX_BYTES: usize = 16_000_000;
    let mut deployment = Deployment::new(34, 3, 1);
    deployment.memory_limit = Some(LIMIT);
    for id in STORES {
        deployment.kill(id);
        deployment.add(id, Role::Store, true);
    }
    deployment.start_serving();
    deployment.add_engine(SimEngine::new(1));
    run_large_jobs(&mut deployment, 3, |deployment| {
        for id in STORES {
            let bytes = group(deployment, id).replica.log().bytes();
            assert!(bytes < MAX_BYTES, "the log of {id:?} has {bytes} bytes");
        }
    });
    let held = group(&deployment, STORES[0]).directory.job_bytes();
    assert!(held > MAX_BYTES, "only {held} bytes of jobs were written");
}

/// Guards against a snapshot that travels as one message of the size of the whole state.
#[test_case(0; "over good links")]
#[test_case(3; "over links that lose messages")]
fn a_store_without_its_disk_gets_the_state_in_small_parts(drop_percent: u32) {
    let mut deployment = started(32);
    run_large_jobs(&mut deployment, 3, |_| {});
    let leader = deployment.leader().expect("a leader");
    assert!(group(&deployment, leader).replica.log().base_index() > 0, "no snapshot was taken");
    let lost = *STORES.iter().find(|id| **id != leader).expect("a follower");
    let (largest, parts) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (seen, counted) = (Rc::clone(&largest), Rc::clone(&parts));
    deployment.on_send = Some(Box::new(move |_, envelope| {
        let Message::Group(frame) = &envelope.message else { return };
        assert!(!matches!(frame.message, GroupMessage::InstallSnapshot { .. }), "sent whole");
        let GroupMessage::SnapshotPart { part, .. } = &frame.message else { return };
        seen.set(part.commands.iter().map(DirectoryCommand::bytes).sum::<usize>().max(seen.get()));
        counted.set(counted.get() + 1);
    }));
    deployment.kill(lost);
    deployment.lose_disk(lost);
    deployment.drop_percent = drop_percent;
    deployment.run(500);
    deployment.start(lost);
    deployment.run(20_000);
    deployment.drop_percent = 0;
    deployment.run(2_000);
    assert!(parts.get() > 1 && largest.get() < MAX_PART_BYTES, "{} bytes", largest.get());
    let leader = deployment.leader().expect("a leader");
    let (found, expected) = (group(&deployment, lost), group(&deployment, leader));
    assert!(found.directory == expected.directory, "{}", deployment.describe());
    assert!(found.voter_hosts().contains(&lost), "{}", deployment.describe());
}

/// Guards against a new leader that sends the whole state to every learner.
#[test]
fn a_new_leader_sends_a_learner_only_the_entries_that_it_misses() {
    const LEARNERS: [HostId; 2] = [HostId(4), HostId(5)];
    const MAX_SENT_BYTES: usize = 1024 * 1024;
    let mut deployment = started(35);
    for id in LEARNERS {
        deployment.add(id, Role::Store, false);
    }
    run_large_jobs(&mut deployment, 3, |_| {});
    deployment.run(10_000);
    let sent = Rc::new(Cell::new(0));
    let counted = Rc::clone(&sent);
    deployment.on_send = Some(Box::new(move |_, envelope| {
        let Message::Group(frame) = &envelope.message else { return };
        let bytes: usize = match &frame.message {
            GroupMessage::AppendEntries { entries, .. } => entries.iter().map(Entry::bytes).sum(),
            GroupMessage::SnapshotPart { part, .. } => {
                part.commands.iter().map(DirectoryCommand::bytes).sum()
            }
            _ => return,
        };
        counted.set(counted.get() + bytes);
    }));
    let all = [STORES.as_slice(), LEARNERS.as_slice()].concat();
    all.iter().for_each(|id| deployment.kill(*id));
    deployment.run(500);
    all.iter().for_each(|id| deployment.start(*id));
    deployment.run(15_000);
    let leader = deployment.leader().expect("a leader");
    for id in all {
        let caught_up = group(&deployment, id).directory == group(&deployment, leader).directory;
        assert!(caught_up, "{id:?}: {}", deployment.describe());
    }
    assert!(sent.get() < MAX_SENT_BYTES, "{} bytes were sent", sent.get());
}

/// Guards against a store that took the index of an old snapshot for what its leader has committed.
#[test]
fn a_store_that_has_installed_a_snapshot_is_not_caught_up_with_later_commits() {
    const STEP_MS: u64 = 20;
    const MAX_LAG_STEPS: usize = 50;
    let mut deployment = started(36);
    run_large_jobs(&mut deployment, 3, |_| {});
    let leader = deployment.leader().expect("a leader");
    let lost = *STORES.iter().find(|id| **id != leader).expect("a follower");
    deployment.kill(lost);
    deployment.lose_disk(lost);
    deployment.run(500);
    deployment.bytes_per_ms = 5_000;
    deployment.start(lost);
    let (mut committed, mut caught_up_steps) = (Vec::new(), 0);
    for step in 0..1_500_u64 {
        let call = Call::NameVersion { model: format!("model-{step}").into(), version: 2 };
        deployment.send_call(leader, call);
        deployment.run(STEP_MS);
        committed.push(group(&deployment, leader).replica.commit_index());
        let board = deployment.gateway(lost).board();
        let replica = &board.group.as_ref().expect("a store").replica;
        if !replica.is_caught_up(board.now) {
            continue;
        }
        caught_up_steps += 1;
        let least = committed[committed.len().saturating_sub(MAX_LAG_STEPS)];
        let applied = replica.applied_index();
        assert!(applied >= least, "caught up at {applied}; {least} was committed before");
    }
    assert!(caught_up_steps > 0, "{}", deployment.describe());
}

/// Guards against a store that holds two copies of every text while it receives a snapshot.
#[test]
fn a_store_that_fell_behind_keeps_its_texts_when_it_gets_a_snapshot() {
    let mut deployment = started(33);
    deployment.encodes_messages = true;
    run_large_jobs(&mut deployment, 1, |_| {});
    let leader = deployment.leader().expect("a leader");
    let behind = *STORES.iter().find(|id| **id != leader).expect("a follower");
    let text = |deployment: &Deployment| {
        let job = &group(deployment, behind).directory.jobs["large-0"];
        let ItemOutcome::Completed { text, .. } = &job.results[0].outcome else { panic!() };
        Arc::clone(text)
    };
    let before = text(&deployment);
    deployment.freeze(behind);
    run_large_jobs(&mut deployment, 5, |_| {});
    let base = group(&deployment, leader).replica.log().base_index();
    let last = group(&deployment, behind).replica.log().last_index();
    assert!(base > last, "the log still holds what the store missed");
    deployment.thaw(behind);
    deployment.run(15_000);
    let caught_up = group(&deployment, behind).directory == group(&deployment, leader).directory;
    assert!(caught_up, "{}", deployment.describe());
    assert!(Arc::ptr_eq(&before, &text(&deployment)), "the text was replaced by a copy");
}

/// Guards against a transfer that begins anew whenever the leader compacts its log, and never ends
/// under load.
#[test]
fn a_state_arrives_although_the_log_is_compacted_meanwhile() {
    let mut deployment = started(37);
    run_large_jobs(&mut deployment, 5, |_| {});
    let leader = deployment.leader().expect("a leader");
    let lost = *STORES.iter().find(|id| **id != leader).expect("a follower");
    deployment.kill(lost);
    deployment.lose_disk(lost);
    deployment.run(500);
    // 60 MB of state take 24 s, in which 24 MB are appended to the log.
    deployment.bytes_per_ms = 2_500;
    deployment.start(lost);
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    deployment.on_send = Some(Box::new(move |_, envelope| {
        let Message::Group(frame) = &envelope.message else { return };
        let GroupMessage::SnapshotPart { part, .. } = &frame.message else { return };
        counted.set(counted.get() + u32::from(part.number == 0));
    }));
    deployment.event_padding_bytes = 10_000;
    for number in 0..80 {
        deployment.submit(ENTRY, job(&format!("later-{number}"), 10, 1));
        deployment.run(1_000);
    }
    let (found, expected) = (group(&deployment, lost), group(&deployment, leader));
    let lag = expected.replica.applied_index() - found.replica.applied_index();
    let starts = starts.get();
    assert!(lag < 100, "{lag} entries are missing after {starts} starts of the transfer");
}

#[test_case(1; "one command a chunk")]
#[test_case(2_000; "a few commands a chunk")]
#[test_case(usize::MAX; "one chunk")]
fn a_directory_is_rebuilt_from_its_commands(max_bytes: usize) {
    let directory = directory();
    let mut rebuilt = Directory::default();
    for command in directory.rebuild_commands(max_bytes).iter().flatten() {
        rebuilt.apply(command);
    }
    assert_eq!(rebuilt, directory);
}

/// Returns a directory with an ended and an open job, and every other kind of content.
fn directory() -> Directory {
    let mut directory = Directory::default();
    let spec = |id: &str| Arc::new(submitted_job(id, 3));
    let result = |item, outcome| NewResult::with_whole_text(ItemResult { item, outcome });
    let completed =
        ItemOutcome::Completed { text: "one\ntwo".into(), versions: vec![1, 2], score: None };
    let mut text = ItemText::default();
    text.push_event(1, "first", Some(2));
    let part = |event_offset| TextPart { item: 1, event_offset, text: Arc::new(text.clone()) };
    let model = Box::from("model");
    let target = UpstreamTarget {
        service: "engines".into(),
        zone: "zone-1".into(),
        reclaimable: true,
        baseline: 4,
        count: 6,
        changes: 3,
        reduces: false,
    };
    for command in [
        DirectoryCommand::PutRouting(routing(4)),
        DirectoryCommand::SetNamedVersion { model, version: 9 },
        DirectoryCommand::SetOrderer { host: HostId(2) },
        DirectoryCommand::RetireVoter { host: HostId(3), incarnation: 8 },
        DirectoryCommand::SetUpstreamTargets(vec![target]),
        DirectoryCommand::SubmitJob { spec: spec("ended"), at: Millis(10) },
        DirectoryCommand::SubmitJob { spec: spec("open"), at: Millis(20) },
        DirectoryCommand::AppendResults {
            job: "ended".into(),
            results: vec![result(2, completed), result(0, ItemOutcome::Errored)],
        },
        DirectoryCommand::EndJob { job: "ended".into(), at: Millis(30) },
        DirectoryCommand::SaveTextParts { job: "open".into(), parts: vec![part(0), part(1)] },
    ] {
        directory.apply(&command);
    }
    directory
}
