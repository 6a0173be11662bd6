//! Bookings run at most once, on real processes.

use std::time::Duration;

use chestnutdrift_standins::client::Answer;
use chestnutdrift_standins::desk::Desk;
use chestnutdrift_standins::fleet::{Fleet, FleetPlan};
use chestnutdrift_standins::process::{Signal, wait_until};
use serde_json::json;

use crate::fixture::{DESK, TestFolder, WAIT_TIMEOUT, desk, fleet};

fn book(fleet: &Fleet, at: usize, key: &str) -> anyhow::Result<Answer> {
    let url = fleet.url(at, &format!("/v1/services/{DESK}/roofs"));
    let headers = [("idempotency-key", key), ("chestnutdrift-deadline-ms", "20000")];
    fleet.client.post_with_headers(&url, &json!({ "roof": 7 }), &headers)
}

fn runs(desk: &Desk, key: &str) -> u32 {
    desk.bookings().get(key).copied().unwrap_or(0)
}

/// Returns the index of the host that leads zone-a, as reported by host `from`; `None` while no host
/// leads.
fn find_leader(fleet: &Fleet, from: usize) -> Option<usize> {
    let hosts = fleet.client.get_json(&fleet.url(from, "/v1/operator/hosts")).expect("the hosts");
    let hosts = hosts.as_array().expect("a list");
    let leads = |host: &&serde_json::Value| {
        host["leads"].as_array().is_some_and(|leads| leads.iter().any(|lead| lead == "zone zone-a"))
    };
    let id = hosts.iter().find(leads)?["id"].as_u64().expect("a number");
    Some(usize::try_from(id).expect("a small number") - 1)
}

/// Returns the index of the host that leads zone-a, as reported by host `from`.
fn leader(fleet: &Fleet, from: usize) -> usize {
    find_leader(fleet, from).expect("a leader")
}

#[test]
fn invariant_6_a_booking_sent_to_every_host_runs_once() {
    let folder = TestFolder::new();
    let fleet = fleet(&FleetPlan::new(&["zone-a"]), &folder);
    let desk = desk(&fleet, "zone-a", "desk-1", Duration::from_millis(5));
    let answers: Vec<Answer> = (0..3).map(|at| book(&fleet, at, "one").unwrap()).collect();
    assert_eq!(answers[0].status, 200, "{}", answers[0].text());
    assert_eq!(answers[1].body, answers[0].body);
    assert_eq!(answers[2].body, answers[0].body);
    assert_eq!(answers[2].header("idempotent-replayed"), Some("yes"));
    assert_eq!(runs(&desk, "one"), 1);
    desk.close();
}

#[test]
fn invariant_6_a_booking_whose_host_is_killed_in_the_middle_is_not_run_again() {
    let folder = TestFolder::new();
    let mut fleet = fleet(&FleetPlan::new(&["zone-a"]), &folder);
    let desk = desk(&fleet, "zone-a", "desk-1", Duration::from_millis(1_500));
    let owner = leader(&fleet, 0);
    let other = (owner + 1) % 3;
    let answer = std::thread::scope(|scope| {
        let url = fleet.url(owner, &format!("/v1/services/{DESK}/roofs"));
        let client = fleet.client.clone();
        let first = scope.spawn(move || {
            client.post_with_headers(&url, &json!({ "roof": 7 }), &[("idempotency-key", "two")])
        });
        wait_until("the desk has started", WAIT_TIMEOUT, || runs(&desk, "two") == 1).unwrap();
        fleet.kill_host(owner).unwrap();
        assert!(first.join().unwrap().is_err(), "the killed host answered");
        let again = scope.spawn(|| book(&fleet, other, "two"));
        again.join().unwrap().unwrap()
    });
    assert!(answer.text().contains("\"ran\":\"unknown\""), "{}", answer.text());
    assert_eq!(runs(&desk, "two"), 1);
    desk.close();
}

#[test]
fn invariant_6_a_frozen_owner_does_not_book_after_another_has_taken_over() {
    let folder = TestFolder::new();
    let mut fleet = fleet(&FleetPlan::new(&["zone-a"]).disks_per_zone(2), &folder);
    let desk = desk(&fleet, "zone-a", "desk-1", Duration::from_millis(5));
    let owner = leader(&fleet, 0);
    let other = (owner + 1) % 3;
    fleet.process(owner).unwrap().signal(Signal::STOP).unwrap();
    wait_until("another host leads", WAIT_TIMEOUT, || {
        find_leader(&fleet, other).is_some_and(|leader| leader != owner)
    })
    .unwrap();
    wait_until("a booking is accepted", WAIT_TIMEOUT, || {
        book(&fleet, other, "three").is_ok_and(|answer| answer.status == 200)
    })
    .unwrap();
    fleet.process(owner).unwrap().signal(Signal::CONT).unwrap();
    wait_until("the resumed host answers as the others do", WAIT_TIMEOUT, || {
        book(&fleet, owner, "three").is_ok_and(|answer| answer.status == 200)
    })
    .unwrap();
    assert_eq!(runs(&desk, "three"), 1);
    desk.close();
}
