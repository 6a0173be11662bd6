//! Measures the control thread's time for one event, for fleets of several sizes.
//!
//! `cargo run --release -p chestnutdrift-core --example event_cost`

use std::time::Instant;

use chestnutdrift_core::action::Action;
use chestnutdrift_core::event::{
    Arrival, AttemptEnd, Call, Event, RunCall, UpstreamKind, UpstreamSpec,
};
use chestnutdrift_core::message::{Envelope, Heartbeat, Message};
use chestnutdrift_core::timeline::Stamp;
use chestnutdrift_core::{Core, HostId, HostSettings, Millis, Now, PeerSpec, RequestTag};

/// Zones, hosts per zone, and upstreams in the measured host's zone: from the present fleet to the
/// largest one planned.
const SIZES: [(u32, u32, u32); 3] = [(3, 3, 5), (12, 6, 50), (28, 13, 200)];

/// Requests in each run.
const REQUESTS: u64 = 20_000;

fn fleet(zones: u32, hosts: u32) -> Vec<PeerSpec> {
    let mut fleet = Vec::new();
    for index in 0..zones * hosts {
        fleet.push(PeerSpec {
            id: HostId(index + 1),
            name: format!("host-{}", index + 1).into(),
            zone: format!("zone-{}", index / hosts).into(),
            disk: index % hosts == 0,
            http: "".into(),
        });
    }
    fleet
}

fn upstream(index: u32) -> Event {
    Event::Announced(UpstreamSpec {
        name: format!("engine-{index}").into(),
        boot_id: 1,
        service: "model".into(),
        address: "127.0.0.1:1".into(),
        kind: UpstreamKind::Engine,
        slots: 32,
        version: 1,
        checks_fence: true,
        idempotent: true,
    })
}

/// Returns a heartbeat of another host of the zone, which lets the measured host become ready.
fn heartbeat(host: u32) -> Event {
    let heartbeat = Heartbeat {
        incarnation: 1,
        boot_id: 1,
        ready: true,
        settings_version: 0,
        fleet_leader: None,
        zone_leader: None,
        digests: Vec::new(),
        digest_sent: 0,
    };
    let message = Message::Heartbeat(heartbeat);
    Event::Received(Envelope { from: HostId(host), stamp: Stamp::default(), message })
}

fn chat(tag: u64) -> Event {
    Event::Arrived(Arrival {
        tag: RequestTag(tag),
        trace: "request".into(),
        deadline: None,
        hops: 0,
        granted: false,
        maybe_ran: false,
        call: Call::Run(RunCall {
            caller: "caller".into(),
            service: "model".into(),
            idempotent: true,
            key: None,
            fingerprint: 0,
            max_tokens: 64,
            prefix_checksum: 0,
        }),
    })
}

/// Returns the mean time for one event, in microseconds.
fn measure(zones: u32, hosts: u32, upstreams: u32) -> f64 {
    let cfg = HostSettings::new("host-2", "zone-0").fleet(HostId(2), fleet(zones, hosts));
    let mut core = Core::new(cfg, Now::default());
    let mut now = Now::new(Millis(0), Millis(1));
    let (mut events, mut dispatched) = (0, 0);
    let start = Instant::now();
    for request in 0..REQUESTS {
        // 30 requests per second, and announcements as often as upstreams send them.
        now.mono = Millis(request * 33);
        now.wall = Millis(request * 33 + 1);
        if request % 12 == 0 {
            for index in 0..upstreams {
                core.handle(now, upstream(index));
                events += 1;
            }
        }
        if request % 27 == 0 {
            for host in (1..=hosts).filter(|host| *host != 2) {
                core.handle(now, heartbeat(host));
                events += 1;
            }
        }
        let actions = core.handle(now, chat(request));
        events += 1;
        for action in actions {
            let Action::Dispatch(dispatch) = action else { continue };
            dispatched += 1;
            let end = AttemptEnd::Whole { output: None, answer: None };
            core.handle(now, Event::Ended { attempt: dispatch.attempt, end });
            events += 1;
        }
    }
    let mean_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(events);
    assert!(dispatched > REQUESTS / 2, "only {dispatched} requests were dispatched");
    mean_us
}

fn main() {
    println!("zones hosts upstreams  us an event");
    for (zones, hosts, upstreams) in SIZES {
        let mean_us = measure(zones, hosts, upstreams);
        println!("{zones:<5} {:<5} {upstreams:<10} {mean_us:.1}", zones * hosts);
    }
}
