//! Entry hosts that have lost their own links to the upstreams, while other hosts reach them.

use chestnutdrift_core::gateway::{Call, Event, Forward, ForwardEnd};
use chestnutdrift_core::{Fingerprint, HostId, RequestTag};

use crate::deployment::Deployment;

const STORE: HostId = HostId(1);
const ENTRY: HostId = HostId(101);

/// How long announcements take from a store to the other hosts, with a margin, in milliseconds.
const SPREAD_MS: u64 = 1_500;

/// How long a connection that can't be opened takes to fail, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// The time between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 200;

/// How long a request takes at an upstream, in milliseconds.
const RESPONSE_MS: u64 = 20;

fn start(seed: u64, upstreams: u32) -> Deployment {
    let mut deployment = Deployment::new(seed, 3, 2);
    deployment.start_serving();
    for number in 1..=upstreams {
        deployment.announce_desk(STORE, number, 1, 1);
    }
    deployment.run(SPREAD_MS);
    deployment
}

fn send(deployment: &mut Deployment, path: &str) -> RequestTag {
    let fingerprint = Fingerprint::new(&[path.as_bytes()]);
    let (host, path) = ("desk.example".into(), "/desk/1".into());
    let call = Call::Request { host, path, fingerprint, resumes: None, key: None };
    let tag = deployment.send_call(ENTRY, call);
    deployment.run(5);
    tag
}

fn take_forward(deployment: &mut Deployment, tag: RequestTag) -> Option<Forward> {
    let index = deployment.forwards.iter().position(|(_, forward)| forward.tag == tag)?;
    Some(deployment.forwards.remove(index).1)
}

/// Returns whether an attempt uses this host's own links.
fn is_direct(_forward: &Forward) -> bool {
    true
}

/// The attempts of a request.
#[derive(Debug, Default, PartialEq, Eq)]
struct Served {
    direct: usize,
    relayed: usize,
    delivered: bool,
}

/// Sends a request through an entry whose own connections time out, and plays its attempts.
fn request(deployment: &mut Deployment, path: &str) -> Served {
    let tag = send(deployment, path);
    let mut served = Served::default();
    while let Some(forward) = take_forward(deployment, tag) {
        let (upstream, attempt) = (forward.upstream.key, forward.attempt);
        let end = if is_direct(&forward) {
            served.direct += 1;
            deployment.run(CONNECT_TIMEOUT_MS);
            deployment.deliver(ENTRY, Event::DirectConnection { upstream, opened: false });
            ForwardEnd::NotSent { detail: "no connection".into() }
        } else {
            served.relayed += 1;
            served.delivered = true;
            deployment.run(RESPONSE_MS);
            ForwardEnd::Delivered { status: 200 }
        };
        deployment.deliver(ENTRY, Event::ForwardEnded { attempt, end });
        deployment.run(5);
    }
    served
}

/// Guards against callers whose requests fail at each entry without links to the upstreams.
#[test]
fn an_entry_without_links_to_the_upstreams_serves_requests_over_another_host() {
    let mut deployment = start(51, 3);
    let mut delivered = Vec::new();
    for number in 0..10 {
        delivered.push(request(&mut deployment, &format!("request-{number}")).delivered);
        deployment.run(REQUEST_INTERVAL_MS);
    }
    assert_eq!(delivered, [true; 10]);
}
