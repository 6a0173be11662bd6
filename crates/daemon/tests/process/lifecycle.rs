//! Hosts and upstreams that stop, fail and return.

use chestnutdrift_standins::fleet::{Fleet, FleetPlan};
use chestnutdrift_standins::process::{Signal, wait_until};

use crate::fixture::{
    TestFolder, WAIT_TIMEOUT, change, chat, engine, expected_answer, fleet, one_host,
};

#[test]
fn invariant_8_a_stopping_host_finishes_the_stream_that_it_holds() {
    let folder = TestFolder::new();
    let mut fleet = one_host(&folder);
    let engine = engine(&fleet, "zone-a", "engine-1");
    let url = fleet.url(0, "/v1/chat/completions");
    let client = fleet.client.clone();
    let held = std::thread::spawn(move || client.post(&url, &chat("canvas", 400, true)));
    let metrics = fleet.url(0, "/metrics");
    wait_until("the chat runs", WAIT_TIMEOUT, || {
        let page = fleet.client.get(&metrics).map(|answer| answer.text()).unwrap_or_default();
        page.contains("chestnutdrift_core{name=\"running\"} 1")
    })
    .unwrap();
    fleet.process(0).unwrap().signal(Signal::TERM).unwrap();
    wait_until("the host is not ready", WAIT_TIMEOUT, || !fleet.is_ready(0)).unwrap();
    let answer = held.join().unwrap().unwrap();
    assert!(answer.text().ends_with("data: [DONE]\n\n"), "the stream was cut off");
    let pieces = answer.text().matches("\"content\":").count();
    assert_eq!(pieces, 400);
    let status = fleet.process(0).unwrap().wait(WAIT_TIMEOUT).unwrap();
    assert!(status.success(), "{status}");
    engine.close();
}

#[test]
fn invariant_7_a_leaving_engine_finishes_its_work_and_gets_no_more() {
    let folder = TestFolder::new();
    let fleet = one_host(&folder);
    let leaving = engine(&fleet, "zone-a", "engine-1");
    let staying = engine(&fleet, "zone-a", "engine-2");
    let address = leaving.address();
    let leave = fleet.url(0, "/v1/upstreams/leave");
    let body = serde_json::json!({ "name": "engine-1" });
    fleet.client.post(&leave, &body).unwrap().ok().unwrap();
    let started = || {
        let stats = fleet.client.get_json(&format!("http://{address}/stats")).unwrap();
        stats["started"].as_u64().unwrap()
    };
    let before = started();
    for _ in 0..20 {
        let url = fleet.url(0, "/v1/chat/completions");
        let answer = fleet.client.post(&url, &chat("canvas", 2, false)).unwrap().ok().unwrap();
        assert!(answer.text().contains(expected_answer("canvas", 2).trim_end()));
    }
    assert_eq!(started(), before);
    leaving.close();
    staying.close();
}

#[test]
fn no_answer_is_lost_when_an_engine_is_killed() {
    let folder = TestFolder::new();
    let fleet = one_host(&folder);
    let killed = engine(&fleet, "zone-a", "engine-1");
    let staying = engine(&fleet, "zone-a", "engine-2");
    killed.kill();
    for _ in 0..20 {
        let url = fleet.url(0, "/v1/chat/completions");
        let answer = fleet.client.post(&url, &chat("canvas", 2, false)).unwrap().ok().unwrap();
        assert!(answer.text().contains(expected_answer("canvas", 2).trim_end()));
    }
    staying.close();
}

#[test]
fn a_fleet_restarts_with_its_settings_after_all_hosts_are_killed() {
    let folder = TestFolder::new();
    let plan = FleetPlan::new(&["zone-a", "zone-b", "zone-c"]);
    let mut fleet = fleet(&plan, &folder);
    for base in 0..5 {
        let answer =
            fleet.propose_change(base as usize, &change(&format!("c{base}"), base, base)).unwrap();
        assert!(answer.accepted, "{answer:?}");
    }
    for at in 0..9 {
        fleet.kill_host(at).unwrap();
    }
    for at in 0..9 {
        fleet.start_host(at).unwrap();
    }
    fleet.wait_ready(WAIT_TIMEOUT).unwrap();
    for at in 0..9 {
        assert_eq!(fleet.settings_version(at).unwrap(), 5);
    }
    let answer = fleet.propose_change(8, &change("c5", 5, 1)).unwrap();
    assert!(answer.accepted, "{answer:?}");
}

#[test]
fn invariant_9_a_host_whose_disk_is_lost_votes_again_and_the_next_loss_is_harmless() {
    let folder = TestFolder::new();
    let plan = FleetPlan::new(&["zone-a", "zone-b", "zone-c"]);
    let mut fleet = fleet(&plan, &folder);
    let mut base = 0;
    for at in [0, 3, 6] {
        let answer = fleet.propose_change(1, &change(&format!("c{base}"), base, base % 9)).unwrap();
        assert!(answer.accepted, "{answer:?}");
        base += 1;
        fleet.kill_host(at).unwrap();
        std::fs::remove_dir_all(fleet.hosts[at].data.clone().unwrap()).unwrap();
        fleet.start_host(at).unwrap();
        wait_until("the host votes again", WAIT_TIMEOUT, || {
            let page = fleet.client.get(&fleet.url(at, "/metrics"));
            let page = page.map(|answer| answer.text()).unwrap_or_default();
            page.contains("chestnutdrift_core{name=\"votes\"} 2")
        })
        .unwrap();
        fleet.wait_ready(WAIT_TIMEOUT).unwrap();
        assert_eq!(fleet.settings_version(at).unwrap(), base);
    }
}

/// Guards against tests that wait for a daemon that has exited.
#[test]
fn a_daemon_that_exits_at_its_start_is_reported_with_its_log() {
    let folder = TestFolder::new();
    let plan = FleetPlan::new(&["zone-a"]).hosts_per_zone(1).limits("connections = many");
    let fleet = Fleet::start(&plan, &folder.0).expect("the daemon starts");
    let error = fleet.wait_ready(WAIT_TIMEOUT).expect_err("the daemon exits").to_string();
    assert!(error.contains("host-1 has exited"), "{error}");
    assert!(error.contains("[limits] connections: \"many\""), "{error}");
}
