//! A long queue of items that wait for engines.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::board::ItemState;
use chestnutdrift_core::gateway::{Call, Event};

use crate::deployment::{Deployment, SimEngine, job};

const ENTRY: HostId = HostId(101);
const ENGINES: u32 = 48;
const ITEMS: u32 = 1_000;

/// The most time that the fastest of many events may take: a leader handles some 600 events a
/// second and has a third of a core.
const MAX_EVENT_TIME: Duration = Duration::from_micros(500);

/// Guards against a leader that compared every waiting item with every engine for each event, and
/// lost its lease because its events took too long.
#[test]
fn an_event_is_handled_quickly_while_a_thousand_items_wait_for_engines() {
    let mut deployment = Deployment::new(5, 3, 1);
    deployment.event_interval_ms = 1_000;
    deployment.events_per_item = Some(60);
    for number in 1..=ENGINES {
        deployment.add_engine(SimEngine::new(number));
    }
    let leader = deployment.start_serving();
    deployment.submit(ENTRY, job("job", ITEMS, 1));
    // Upstreams of another service have free slots all the time.
    for number in 1..=6 {
        let mut desk = SimEngine::new(100 + number).announcement(6);
        desk.service = "desk".into();
        deployment.send_call(leader, Call::Announce(desk));
    }
    deployment.run(2_000);
    let items = &deployment.gateway(leader).board().items;
    let waiting = items.values().filter(|item| matches!(item.state, ItemState::Waiting(_))).count();
    assert!(waiting > 700, "only {waiting} items wait");

    let fastest = fastest_event(&mut deployment, leader);
    assert!(fastest < MAX_EVENT_TIME, "an event took {fastest:?} with {waiting} items waiting");
}

/// Returns the time of the fastest of many events: a message from another host.
fn fastest_event(deployment: &mut Deployment, leader: HostId) -> Duration {
    let fastest = Rc::new(Cell::new(Duration::MAX));
    let observed = Rc::clone(&fastest);
    deployment.on_event = Some(Box::new(move |host, event, took| {
        if host == leader && matches!(event, Event::Received(_)) {
            observed.set(observed.get().min(took));
        }
    }));
    deployment.run(2_000);
    fastest.get()
}

/// Guards against a leader that searched its whole log for the newest voter set several times for each
/// event, so that events took longer with each entry until the next snapshot.
#[test]
fn an_event_is_handled_quickly_while_the_log_is_long() {
    const ENTRIES: u64 = 8_000;
    let mut deployment = Deployment::new(6, 3, 1);
    let leader = deployment.start_serving();
    let short = fastest_event(&mut deployment, leader);
    for version in 1..=ENTRIES {
        deployment.send_call(leader, Call::NameVersion { model: "model".into(), version });
        if version.is_multiple_of(100) {
            deployment.run(20);
        }
    }
    deployment.run(1_000);
    let log = deployment.gateway(leader).board().group.as_ref().expect("a group").replica.log();
    assert!(log.last_index() - log.base_index() >= ENTRIES, "the log was compacted");
    let long = fastest_event(&mut deployment, leader);
    // The factor is for what other work does to the caches; a search would take fifty times as long.
    assert!(long < short * 4, "an event took {long:?} with {ENTRIES} entries, {short:?} with few");
}

/// Guards against a leader that went over all waiting items for each event while no engine had the
/// weights for them.
#[test]
fn an_event_takes_no_longer_while_many_items_wait_for_weights() {
    let mut deployment = Deployment::new(7, 3, 1);
    for number in 1..=122 {
        deployment.add_engine(SimEngine::new(number));
    }
    let leader = deployment.start_serving();
    let idle = median_event(&mut deployment, leader, 0);
    for number in 0..6 {
        deployment.submit(ENTRY, job(&format!("job-{number}"), ITEMS / 6, 9));
    }
    deployment.run(2_000);
    let items = &deployment.gateway(leader).board().items;
    let waiting = items.values().filter(|item| matches!(item.state, ItemState::Waiting(_))).count();
    assert!(waiting > 900, "only {waiting} items wait");
    let busy = median_event(&mut deployment, leader, 1_000);
    // The factor leaves room for other work on the machine.
    assert!(busy < idle * 5, "{busy:?} an event with {waiting} items waiting, {idle:?} without");
}

/// Returns the median time of an event, while announcements come as on a busy day. Their numbers start
/// at `seq`.
fn median_event(deployment: &mut Deployment, leader: HostId, seq: u64) -> Duration {
    let times: Rc<RefCell<Vec<Duration>>> = Rc::default();
    let observed = Rc::clone(&times);
    deployment.on_event = Some(Box::new(move |host, _, took| {
        if host == leader {
            observed.borrow_mut().push(took);
        }
    }));
    for number in 0..400 {
        let mut desk = SimEngine::new(500).announcement(6);
        (desk.service, desk.seq) = ("desk".into(), seq + number);
        deployment.send_call(leader, Call::Announce(desk));
        deployment.run(2);
    }
    let mut times = times.borrow_mut();
    times.sort_unstable();
    times[times.len() / 2]
}

/// Guards against items that make no progress since each of their runs is cut before a slow engine sends
/// its first event.
#[test]
fn items_were_never_run_to_their_end_where_all_engines_are_slow() {
    let mut deployment = Deployment::new(77, 3, 2);
    for number in 0..2 {
        deployment.add_engine(SimEngine { first_event_ms: 5_000, ..SimEngine::new(number) });
    }
    deployment.start_serving();
    deployment.submit(HostId(101), job("job", 8, 1));
    deployment.run(30_000);
    let page = deployment.results(HostId(101), "job", 0).expect("a page");
    assert_eq!(page.results.len(), 8);
    let whole: usize = deployment.engines.iter().map(|engine| engine.completed_runs.len()).sum();
    assert_eq!(whole, 8, "each item is completed");
}
