//! The registry of upstreams, as stores pass its changes on.

use std::cell::Cell;
use std::rc::Rc;

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::{Call, GatewayMessage};
use chestnutdrift_core::message::Message;

use crate::deployment::{Deployment, SimEngine};

const STORE: HostId = HostId(1);
const ENTRIES: u32 = 20;
const CHANGES: u64 = 40;

/// How long the changes go on, in milliseconds.
const CHANGES_MS: u64 = 1_000;

/// Guards against stores that sent each change of an upstream to every host by itself, a thousand
/// messages a second while engines loaded weights.
#[test]
fn changes_of_upstreams_that_come_close_together_are_sent_together() {
    let mut deployment = Deployment::new(3, 3, ENTRIES);
    deployment.run(4_000);
    let views = Rc::new(Cell::new(0));
    let observed = Rc::clone(&views);
    deployment.on_send = Some(Box::new(move |from, envelope| {
        let Message::Gateway(message) = &envelope.message else { return };
        if from == STORE && matches!(**message, GatewayMessage::View(_)) {
            observed.set(observed.get() + 1);
        }
    }));
    let mut engine = SimEngine::new(1);
    for version in 1..=CHANGES {
        engine.seq = version;
        engine.versions.insert("model".into(), version);
        deployment.send_call(STORE, Call::Announce(engine.announcement(8)));
        deployment.run(CHANGES_MS / CHANGES);
    }
    deployment.run(500);
    // Beside the changes, each host gets a view a second in reply to its hello.
    let hosts = u64::from(ENTRIES) + 2;
    let sent = views.get();
    assert!(sent <= hosts * 9, "{sent} views for {CHANGES} changes and {hosts} hosts");
    let known = deployment.gateway(HostId(101)).board().upstreams.values().next();
    let version = known.map(|upstream| upstream.version_of("model"));
    assert_eq!(version, Some(CHANGES), "the last change reached the entries");
}
