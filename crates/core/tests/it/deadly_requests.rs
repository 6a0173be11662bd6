//! Requests that crash the upstreams that begin to run them, in a simulated deployment.

use chestnutdrift_core::gateway::{Announcement, Call, Event, Forward, ForwardEnd};
use chestnutdrift_core::{Fingerprint, HostId, RequestTag};

use crate::deployment::Deployment;

const STORE: HostId = HostId(1);
const ENTRIES: [HostId; 3] = [HostId(101), HostId(102), HostId(103)];
const UPSTREAMS: u32 = 20;

/// How long after the third crash hosts may still not know of it, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// The time between two arrivals of a request, in milliseconds.
const ARRIVAL_INTERVAL_MS: u64 = 700;

/// The most times that a request may be sent once hosts know that it crashed three upstreams.
const MAX_LATE_SENDS: usize = 3;

/// Returns a deployment in which all hosts know the upstreams of one service.
fn deployment() -> Deployment {
    let mut deployment = Deployment::new(7, 3, 3);
    deployment.start_serving();
    for number in 1..=UPSTREAMS {
        announce(&mut deployment, number, 1);
    }
    deployment.run(500);
    deployment
}

fn announce(deployment: &mut Deployment, number: u32, started_at: u64) {
    let announcement = Announcement {
        id: format!("desk-{number}").into(),
        service: "desk".into(),
        address: format!("10.0.1.{number}:8000").into(),
        zone: "zone-1".into(),
        slots: 8,
        leaving: false,
        started_at,
        seq: 1,
        versions: Vec::new(),
    };
    deployment.send_call(STORE, Call::Announce(announcement));
}

fn request(path: &str) -> Call {
    Call::Request {
        host: "desk.example".into(),
        path: "/desk/1".into(),
        fingerprint: Fingerprint::new(&[path.as_bytes()]),
    }
}

fn ended() -> ForwardEnd {
    ForwardEnd::UpstreamEnded { detail: "connection closed".into() }
}

/// Sends a request to an entry, ends each of its attempts with `end`, and returns how often
/// it was sent to upstreams.
fn arrive(
    deployment: &mut Deployment,
    entry: HostId,
    path: &str,
    end: impl Fn() -> ForwardEnd,
) -> usize {
    let tag = deployment.send_call(entry, request(path));
    deployment.run(5);
    let mut sends = 0;
    while let Some(forward) = take_forward(deployment, tag) {
        sends += 1;
        deployment.deliver(entry, Event::ForwardEnded { attempt: forward.attempt, end: end() });
        deployment.run(5);
    }
    sends
}

fn take_forward(deployment: &mut Deployment, tag: RequestTag) -> Option<Forward> {
    let index = deployment.forwards.iter().position(|(_, forward)| forward.tag == tag)?;
    Some(deployment.forwards.remove(index).1)
}

/// Guards against hosts that each sent a request on that had crashed upstream after upstream at
/// others.
#[test]
fn a_request_that_crashed_three_upstreams_is_sent_on_by_no_host() {
    let mut deployment = deployment();
    let (mut crashes, mut third_crash, mut late) = (0, None, 0);
    for round in 0..20 {
        let sends = arrive(&mut deployment, ENTRIES[round % 3], "deadly", ended);
        if third_crash.is_some_and(|at| deployment.now > at + CONTACT_MS) {
            late += sends;
        }
        crashes += sends;
        if crashes >= 3 {
            third_crash.get_or_insert(deployment.now);
        }
        deployment.run(ARRIVAL_INTERVAL_MS);
    }
    assert!(third_crash.is_some(), "it ran");
    assert!(late <= MAX_LATE_SENDS, "sent {late} times later than the hosts must know");
}
