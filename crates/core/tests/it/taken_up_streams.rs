//! Streams that callers take up, while upstreams of two software versions serve.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use chestnutdrift_core::directory::RouteKind;
use chestnutdrift_core::gateway::message::GatewayMessage;
use chestnutdrift_core::gateway::{Announcement, Answer, Call, Event, ForwardEnd};
use chestnutdrift_core::message::Message;
use chestnutdrift_core::{Fingerprint, HostId, Ran, RequestTag};
use test_case::test_case;

use crate::deployment::{Deployment, routing};

const STORES: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const ENTRIES: [HostId; 3] = [HostId(101), HostId(102), HostId(103)];
const STREAMS: usize = 24;

fn announce(deployment: &mut Deployment, number: u32, software: &str, leaving: bool, seq: u64) {
    let announcement = announcement(number, software, leaving, (1, seq));
    deployment.send_call(STORES[0], Call::Announce(announcement));
}

/// Returns an announcement with its start time and number.
fn announcement(number: u32, software: &str, leaving: bool, order: (u64, u64)) -> Announcement {
    Announcement {
        id: format!("desk-{number}").into(),
        service: "desk".into(),
        address: format!("10.0.1.{number}:8000").into(),
        zone: "zone-1".into(),
        slots: 64,
        leaving,
        started_at: order.0,
        seq: order.1,
        versions: Vec::new(),
        software: software.into(),
        reclaimable: false,
        leaves_in: None,
    }
}

/// Returns a deployment with a route for streams and two upstreams of each of two versions.
fn mixed(seed: u64) -> Deployment {
    let mut deployment = Deployment::new(seed, 3, 3);
    deployment.start_serving();
    let mut routing = (*routing(2)).clone();
    routing.routes[0].kind = RouteKind::Stream;
    deployment.call(HostId(2), Call::PutRouting(Arc::new(routing)), 1_500);
    for (number, software) in [(1, "v1"), (2, "v1"), (3, "v2"), (4, "v2")] {
        announce(&mut deployment, number, software, false, 1);
    }
    deployment.run(2_000);
    deployment
}

/// Sends a request for a stream and does not wait for what becomes of it.
fn send_stream(deployment: &mut Deployment, entry: HostId, resumes: Option<String>) -> RequestTag {
    let stream = resumes.clone().unwrap_or_default();
    let number = (deployment.now, deployment.forwards.len());
    let fingerprint = Fingerprint::new(&[format!("{number:?} {stream}").as_bytes()]);
    let (host, path) = ("desk.example".into(), "/desk/1".into());
    let resumes = resumes.map(Into::into);
    deployment.send_call(entry, Call::Request { host, path, fingerprint, resumes, key: None })
}

/// Sends a request for a stream; returns the upstream that it reaches, or its refusal.
fn stream(
    deployment: &mut Deployment,
    entry: HostId,
    resumes: Option<String>,
) -> Result<(String, String), Box<Answer>> {
    let before = deployment.forwards.len();
    let tag = send_stream(deployment, entry, resumes);
    deployment.run(300);
    if let Some(answer) = deployment.answers.get(&tag) {
        return Err(Box::new(answer.clone()));
    }
    let (host, forward) = deployment.forwards.get(before).expect("a forward").clone();
    let end = ForwardEnd::Begun { status: 200 };
    deployment.deliver(host, Event::ForwardEnded { attempt: forward.attempt, end });
    Ok((format!("call-{}", tag.0), forward.upstream.id.to_string()))
}

/// Checks that a request was refused as not run, with a time to come back.
fn assert_refused(answer: &Answer) {
    let Answer::Problem(problem) = answer else { panic!("{answer:?}") };
    assert_eq!(problem.ran, Ran::No, "{problem:?}");
    assert!(problem.retry_after_ms.is_some(), "{problem:?}");
}

/// Returns the version of an upstream.
fn version(upstream: &str) -> &'static str {
    if matches!(upstream, "desk-1" | "desk-2") { "v1" } else { "v2" }
}

/// Begins streams at the entries in turn.
fn begin(deployment: &mut Deployment) -> Vec<(String, String)> {
    let begun: Vec<(String, String)> = (0..STREAMS)
        .map(|number| stream(deployment, ENTRIES[number % 3], None).expect("a stream"))
        .collect();
    let old = begun.iter().filter(|(_, upstream)| version(upstream) == "v1").count();
    assert!((1..STREAMS).contains(&old), "both versions begin streams");
    begun
}

/// Takes up all streams at other entries; returns how many go on, and checks where they do, and that
/// the others are refused as not run.
fn take_up(deployment: &mut Deployment, begun: &[(String, String)]) -> usize {
    let mut gone_on = 0;
    for (number, (id, upstream)) in begun.iter().enumerate() {
        match stream(deployment, ENTRIES[(number + 1) % 3], Some(id.clone())) {
            Ok((_, next)) => {
                assert_eq!(version(&next), version(upstream), "{id} went on at {next}");
                gone_on += 1;
            }
            Err(answer) => assert_refused(&answer),
        }
    }
    gone_on
}

/// Guards against streams that go on at another version, and against refusing them all.
#[test_case("nothing"; "calm")]
#[test_case("entries"; "all entries killed at once")]
#[test_case("store"; "and a store")]
#[test_case("leader"; "and the leading store")]
#[test_case("restart"; "each store restarted in turn while streams begin")]
fn a_stream_was_taken_up_at_another_version(how: &str) {
    for seed in 0..3 {
        let mut deployment = mixed(900 + seed);
        let begun = begin(&mut deployment);
        if how != "nothing" && how != "restart" {
            ENTRIES.into_iter().for_each(|entry| deployment.kill(entry));
        }
        match how {
            "store" => deployment.kill(STORES[usize::try_from(seed).expect("a number")]),
            "leader" => {
                let leader = deployment.leader().expect("a leader");
                deployment.kill(leader);
            }
            "restart" => {
                deployment.kill(STORES[0]);
                deployment.start(STORES[0]);
            }
            _ => {}
        }
        if how != "nothing" && how != "restart" {
            ENTRIES.into_iter().for_each(|entry| deployment.start(entry));
        }
        deployment.run(6_000);
        let gone_on = take_up(&mut deployment, &begun);
        assert_eq!(gone_on, STREAMS, "seed {seed}");
    }
}

/// Guards against a stream that goes on at a new version since the upstreams of its own have just left.
#[test]
fn a_stream_whose_version_has_left_was_taken_up() {
    let mut deployment = mixed(910);
    let begun = begin(&mut deployment);
    ENTRIES.into_iter().for_each(|entry| deployment.kill(entry));
    for number in [1, 2] {
        announce(&mut deployment, number, "v1", true, 2);
        deployment.send_call(STORES[0], Call::Leave { id: format!("desk-{number}").into() });
    }
    ENTRIES.into_iter().for_each(|entry| deployment.start(entry));
    deployment.run(6_000);
    let of_new = begun.iter().filter(|(_, upstream)| version(upstream) == "v2").count();
    assert_eq!(take_up(&mut deployment, &begun), of_new);
}

/// Guards against streams that are refused after all stores, or all hosts, were killed at once.
#[test_case(&STORES, 1; "all stores")]
#[test_case(&[STORES[0], STORES[1], STORES[2], ENTRIES[0], ENTRIES[1], ENTRIES[2]], 1; "all hosts")]
#[test_case(&STORES, 2; "all stores twice")]
fn a_stream_was_refused_after_a_restart_of_all_stores(killed: &[HostId], times: usize) {
    for lost_disk in [None, Some(STORES[0]), Some(STORES[2])] {
        let mut deployment = mixed(940);
        let begun = begin(&mut deployment);
        for _ in 0..times {
            killed.iter().for_each(|host| deployment.kill(*host));
            if let Some(store) = lost_disk {
                deployment.lose_disk(store);
            }
            deployment.run(700);
            killed.iter().for_each(|host| deployment.start(*host));
            deployment.run(1_000);
        }
        for (number, software) in [(1, "v1"), (2, "v1"), (3, "v2"), (4, "v2")] {
            announce(&mut deployment, number, software, false, 2);
        }
        deployment.run(6_000);
        assert_eq!(take_up(&mut deployment, &begun), STREAMS, "lost disk: {lost_disk:?}");
    }
}

/// Guards against a guess where nobody knows the version.
#[test_case("stores"; "all stores lost power and what they had written down")]
#[test_case("unnamed"; "the caller names no attempt")]
#[test_case("cut"; "the entry is cut off from all stores")]
fn a_stream_of_an_unknown_version_was_taken_up(how: &str) {
    let mut deployment = mixed(920);
    let begun = begin(&mut deployment);
    match how {
        "stores" => {
            STORES.into_iter().for_each(|store| deployment.kill(store));
            STORES.into_iter().for_each(|store| deployment.lose_facts(store));
            STORES.into_iter().for_each(|store| deployment.start(store));
            deployment.run(6_000);
        }
        "unnamed" => {
            let refused = stream(&mut deployment, ENTRIES[0], Some(String::new()));
            assert_refused(&refused.expect_err("a refusal"));
        }
        _ => {
            for entry in ENTRIES {
                STORES.into_iter().for_each(|store| deployment.cut(entry, store, true));
            }
            deployment.run(6_000);
        }
    }
    let expected = if how == "unnamed" { STREAMS } else { 0 };
    assert_eq!(take_up(&mut deployment, &begun), expected);
    assert!(stream(&mut deployment, ENTRIES[0], None).is_ok(), "new streams begin");
}

/// Guards against a record for requests that are no streams, or more than three small messages for one.
#[test]
fn a_stream_costs_a_message_to_each_of_three_stores() {
    let mut deployment = mixed(930);
    let sent = Rc::new(Cell::new(0));
    let count = Rc::clone(&sent);
    deployment.on_send = Some(Box::new(move |_, envelope| {
        let Message::Gateway(message) = &envelope.message else { return };
        if let GatewayMessage::Streams(_) = &**message {
            count.set(count.get() + 1);
        }
    }));
    begin(&mut deployment);
    assert!(sent.get() <= 3 * STREAMS, "{} messages", sent.get());
}

/// Guards against streams that go on at another version at an entry that knows the upstreams as they were
/// before it was cut off or stood still.
#[test_case("cut", 0; "cut off, at once")]
#[test_case("cut", 150; "cut off, a moment later")]
#[test_case("frozen", 0; "frozen, at once")]
#[test_case("frozen", 150; "frozen, a moment later")]
#[test_case("two", 0; "two entries cut off, at once")]
fn a_stream_was_taken_up_at_another_version_by_an_entry_out_of_step(how: &str, after_ms: u64) {
    for seed in 0..6 {
        let mut deployment = mixed(940 + seed);
        let out_of_step = if how == "two" { &ENTRIES[..2] } else { &ENTRIES[..1] };
        let cut = |deployment: &mut Deployment, entry, cut| {
            STORES.into_iter().for_each(|store| deployment.cut(entry, store, cut));
        };
        for entry in out_of_step {
            match how {
                "frozen" => deployment.freeze(*entry),
                _ => cut(&mut deployment, *entry, true),
            }
        }
        deployment.run(500);
        // An upstream of the new version starts under the id and at the address of an old one.
        upgrade(&mut deployment, 1, "v2");
        upgrade(&mut deployment, 4, "v1");
        deployment.run(1_500);
        let version =
            |upstream: &str| if matches!(upstream, "desk-1" | "desk-3") { "v2" } else { "v1" };
        let begun = begin_at_once(&mut deployment, ENTRIES[2]);
        for entry in out_of_step {
            match how {
                "frozen" => deployment.thaw(*entry),
                _ => cut(&mut deployment, *entry, false),
            }
        }
        deployment.run(after_ms);
        let mut taken_up = Vec::new();
        for (number, (id, upstream)) in begun.iter().enumerate() {
            let entry = out_of_step[number % out_of_step.len()];
            taken_up.push((send_stream(&mut deployment, entry, Some(id.clone())), upstream));
        }
        let before = deployment.forwards.len();
        deployment.run(300);
        for (tag, upstream) in taken_up {
            if let Some(answer) = deployment.answers.get(&tag) {
                assert_refused(answer);
                continue;
            }
            let mut sent = deployment.forwards[before..].iter();
            let (_, forward) = sent.find(|(_, forward)| forward.tag == tag).expect("a forward");
            let next = &forward.upstream.id;
            assert_eq!(version(next), version(upstream), "seed {seed}: {upstream}, then {next}");
        }
        deployment.run(3_000);
        let entry = out_of_step[0];
        let gone_on =
            begun.iter().filter(|(id, _)| stream(&mut deployment, entry, Some(id.clone())).is_ok());
        assert_eq!(
            gone_on.count(),
            STREAMS,
            "seed {seed}: streams go on once the entry is in step"
        );
    }
}

/// Guards against a stream that an entry out of step begins at an upstream which has other software than
/// the entry believes.
#[test]
fn a_stream_was_recorded_under_the_version_of_an_earlier_instance() {
    for seed in 0..6 {
        let mut deployment = mixed(960 + seed);
        for store in STORES {
            deployment.cut(ENTRIES[0], store, true);
        }
        upgrade(&mut deployment, 1, "v2");
        upgrade(&mut deployment, 4, "v1");
        deployment.run(2_000);
        for store in STORES {
            deployment.cut(ENTRIES[0], store, false);
        }
        let begun = begin_at_once(&mut deployment, ENTRIES[0]);
        deployment.run(3_000);
        for (id, upstream) in &begun {
            let (_, next) =
                stream(&mut deployment, ENTRIES[1], Some(id.clone())).expect("a stream");
            let is_new = |upstream: &str| matches!(upstream, "desk-1" | "desk-3");
            assert_eq!(is_new(&next), is_new(upstream), "seed {seed}: {upstream}, then {next}");
        }
    }
}

/// Begins streams at an entry, all at the same time.
fn begin_at_once(deployment: &mut Deployment, entry: HostId) -> Vec<(String, String)> {
    let before = deployment.forwards.len();
    (0..STREAMS).for_each(|_| {
        send_stream(deployment, entry, None);
        deployment.run(5);
    });
    deployment.run(50);
    let sent = deployment.forwards[before..].to_vec();
    let mut begun = Vec::new();
    for (host, forward) in sent {
        let end = ForwardEnd::Begun { status: 200 };
        deployment.deliver(host, Event::ForwardEnded { attempt: forward.attempt, end });
        begun.push((format!("call-{}", forward.tag.0), forward.upstream.id.to_string()));
    }
    assert_eq!(begun.len(), STREAMS);
    begun
}

/// Starts an upstream anew under its id with other software.
fn upgrade(deployment: &mut Deployment, number: u32, software: &str) {
    let announcement = announcement(number, software, false, (2, 1));
    deployment.send_call(STORES[0], Call::Announce(announcement));
}
