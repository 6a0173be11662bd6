//! The work of a leader that replicates texts to many hosts, on the simulated deployment of the
//! core's tests.

#[path = "../../core/tests/it"]
mod simulation {
    #[allow(dead_code)]
    pub(crate) mod deployment;
}

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::Answer;
use chestnutdrift_wire::frame::{Encoder, decode};
use test_case::test_case;

use crate::simulation::deployment::{Deployment, SimEngine, job};

const ENTRY: HostId = HostId(101);
const ITEMS: u32 = 64;
const EVENTS_PER_ITEM: u64 = 30;
const EVENT_BYTES: usize = 400;

/// Guards against a leader that compressed each text once for every other store, and that was so
/// busy with it that results were committed seconds late.
#[test_case(3)]
#[test_case(11)]
fn a_leader_compresses_each_text_once_however_many_stores_follow(stores: u32) {
    let mut deployment = Deployment::new(7, stores, 1);
    deployment.event_padding_bytes = EVENT_BYTES;
    deployment.events_per_item = Some(EVENTS_PER_ITEM);
    for number in 1..=8 {
        deployment.add_engine(SimEngine::new(number));
    }
    let leader = deployment.start_serving();

    let encoders: Rc<RefCell<BTreeMap<HostId, Encoder>>> = Rc::default();
    let shared = Rc::clone(&encoders);
    deployment.on_send = Some(Box::new(move |host, envelope| {
        let bytes = shared.borrow_mut().entry(host).or_default().encode(envelope);
        let decoded = decode(&bytes.expect("an encoded message"));
        assert_eq!(decoded.as_ref(), Ok(envelope), "a message changed on its way");
    }));
    let tag = deployment.submit(ENTRY, job("job", ITEMS, 1));
    deployment.run(8_000);
    assert_eq!(deployment.answers.get(&tag), Some(&Answer::Accepted));
    let page = deployment.results(ENTRY, "job", 0).expect("a page");
    assert!(!page.results.is_empty(), "no result is listed");

    let text_bytes = u64::from(ITEMS) * EVENTS_PER_ITEM * EVENT_BYTES as u64;
    let deflated = encoders.borrow()[&leader].deflated_bytes();
    assert!(
        deflated < text_bytes * 3 / 2,
        "{deflated} bytes were compressed for {text_bytes} bytes of text and {stores} stores"
    );
}
