//! Encoding of appends, whose entries are compressed one by one.

use std::sync::Arc;

use bytes::Bytes;
use chestnutdrift_core::agreement::{Command, Entry, GroupFrame, GroupId, GroupMessage};
use chestnutdrift_core::directory::{
    DirectoryCommand, ItemOutcome, ItemResult, ItemSpec, JobSpec, NewResult, RequestLimits,
    RoutingConfig,
};
use chestnutdrift_core::message::{Envelope, Message};
use chestnutdrift_core::timeline::Stamp;
use chestnutdrift_core::{HostId, Millis};
use chestnutdrift_wire::frame::{Encoder, decode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Returns a text that compresses well, badly, or not at all.
fn text(rng: &mut Pcg64Mcg) -> String {
    let bytes = match rng.random_range(0..10) {
        0 => 0,
        1..4 => rng.random_range(1..200),
        4..9 => rng.random_range(1_000..10_000),
        _ => rng.random_range(60_000..140_000),
    };
    let letters = *[1, 2, 26, 94].get(rng.random_range(0..4)).expect("a count");
    (0..bytes).map(|_| char::from(b' ' + rng.random_range(0..letters))).collect()
}

fn command(rng: &mut Pcg64Mcg) -> Command {
    let job: Box<str> = format!("{:016x}", rng.random::<u64>()).into();
    match rng.random_range(0..4) {
        0 => Command::Noop,
        1 => Command::Directory(DirectoryCommand::EndJob { job, at: Millis(rng.random()) }),
        2 => {
            let item = |rng: &mut Pcg64Mcg| ItemSpec {
                id: format!("{:016x}", rng.random::<u64>()).into(),
                path: "/a/b".into(),
                headers: vec![("name".into(), text(rng).into())],
                body: Bytes::from((0..600).map(|_| rng.random()).collect::<Vec<u8>>()),
                tokens: rng.random(),
                prompt_tokens: 3,
                expected_tokens: 4,
                group: "g".into(),
                reward: None,
            };
            let spec = JobSpec {
                id: job,
                host: "jobs.example".into(),
                prefix: "/jobs/".into(),
                services: vec!["engines".into()],
                model: None,
                min_version: 1,
                single_version: false,
                resumable: true,
                max_attempts: 3,
                due_after: Millis(7_500),
                give_up_after: Millis(40_000),
                items: (0..rng.random_range(1..20)).map(|_| item(rng)).collect(),
                workspace: None,
            };
            let (spec, at) = (Arc::new(spec), Millis(rng.random()));
            Command::Directory(DirectoryCommand::SubmitJob { spec, at })
        }
        _ => {
            let result = |rng: &mut Pcg64Mcg| {
                let outcome = ItemOutcome::Completed {
                    text: text(rng).into(),
                    versions: vec![1, 2],
                    score: None,
                };
                NewResult::with_whole_text(ItemResult { item: rng.random_range(0..200), outcome })
            };
            let results = (0..rng.random_range(1..6)).map(|_| result(rng)).collect();
            Command::Directory(DirectoryCommand::AppendResults { job, results })
        }
    }
}

fn append(rng: &mut Pcg64Mcg, entries: &[Entry]) -> Envelope {
    let message = GroupMessage::AppendEntries {
        term: 3,
        prev_index: entries[0].index - 1,
        prev_term: 1,
        entries: entries.to_vec(),
        leader_commit: rng.random_range(0..1_000),
        sent_at: Millis(rng.random()),
    };
    let message = Message::Group(GroupFrame { group: GroupId::Directory, epoch: 7, message });
    let stamp = Stamp { wall: Millis(rng.random()), count: rng.random() };
    Envelope { from: HostId(rng.random()), stamp, message }
}

fn assert_survives(encoder: &mut Encoder, envelope: &Envelope) {
    let bytes = encoder.encode(envelope).expect("an encoded message");
    let decoded = decode(&bytes).map_err(|error| error.to_string());
    assert!(decoded.as_ref() == Ok(envelope), "{:?}", decoded.err());
}

/// Guards against an append that no replica could read, and that its leader therefore sent again and
/// again without a commit.
#[test_case(1)]
#[test_case(11)]
#[test_case(106)]
#[test_case(108)]
fn appends_of_any_entries_survive_encoding_and_decoding(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut encoder = Encoder::default();
    let mut log: Vec<Entry> = Vec::new();
    for _ in 0..150 {
        let index = log.len() as u64 + 1;
        log.push(Entry { index, term: 1 + index / 60, command: command(&mut rng) });
        // Replicas that are behind get the same entries from other positions on.
        for _ in 0..3 {
            let from = log.len().saturating_sub(rng.random_range(1..8));
            assert_survives(&mut encoder, &append(&mut rng, &log[from..]));
        }
    }
}

#[test_case(100 * 1024)]
#[test_case(3 * 1024 * 1024)]
fn an_append_that_can_not_be_compressed_survives_encoding_and_decoding(bytes: usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let document: Vec<u8> = (0..bytes).map(|_| rng.random()).collect();
    let routing = RoutingConfig {
        version: 4,
        document: document.into(),
        routes: Vec::new(),
        services: Vec::new(),
        limits: RequestLimits { head_bytes: 1, body_bytes: 1, idle_timeout: Millis(1) },
        workspaces: Vec::new(),
    };
    let command = Command::Directory(DirectoryCommand::PutRouting(Arc::new(routing)));
    let entry = Entry { index: 5, term: 2, command };
    let mut encoder = Encoder::default();
    for _ in 0..2 {
        assert_survives(&mut encoder, &append(&mut rng, std::slice::from_ref(&entry)));
    }
}
