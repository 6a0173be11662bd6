//! A fleet with stand-in upstreams, for one test.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use chestnutdrift_standins::desk::{Desk, DeskSettings};
use chestnutdrift_standins::engine::{Engine, EngineSettings};
use chestnutdrift_standins::fleet::{Fleet, FleetPlan};
use chestnutdrift_standins::process::wait_until;
use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};
use serde_json::{Value, json};

/// How long a condition may take to become true; tests continue as soon as it is.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) const MODEL: &str = "quote-drafters";
pub(crate) const DESK: &str = "order-desk";

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A new empty folder, which is removed on drop unless the test has failed.
pub(crate) struct TestFolder(pub(crate) PathBuf);

impl TestFolder {
    pub(crate) fn new() -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("chestnutdrift-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the logs are in {}", self.0.display());
            return;
        }
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a fleet and waits until it is ready.
pub(crate) fn fleet(plan: &FleetPlan, folder: &TestFolder) -> Fleet {
    let fleet = Fleet::start(plan, &folder.0).expect("the fleet starts");
    fleet.wait_ready(WAIT_TIMEOUT).expect("the fleet is ready");
    fleet
}

/// Starts one host.
pub(crate) fn one_host(folder: &TestFolder) -> Fleet {
    fleet(&FleetPlan::new(&["zone-a"]).hosts_per_zone(1), folder)
}

/// Returns a change of the staleness bound in the fleet's settings.
pub(crate) fn change(id: &str, base: u64, value: u64) -> ChangeBody {
    let (key, value) = ("staleness".into(), Some(value));
    let edits = vec![EditBody { key, value, scope: None, reason: "".into() }];
    ChangeBody { id: id.into(), base_version: base, author: "test".into(), edits }
}

/// Starts an engine that announces itself to every host of a zone, and waits until they list it.
pub(crate) fn engine(fleet: &Fleet, zone: &str, name: &str) -> Engine {
    let cfg = EngineSettings::new(name, MODEL).hosts(fleet.zone_hosts(zone));
    let engine = Engine::start(cfg).expect("the engine starts");
    wait_until_listed(fleet, zone, name);
    engine
}

/// Starts a desk that announces itself to every host of a zone, and waits until they list it.
pub(crate) fn desk(fleet: &Fleet, zone: &str, name: &str, work: Duration) -> Desk {
    let desk = Desk::start(DeskSettings {
        name: name.into(),
        service: DESK.into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 0)),
        hosts: fleet.zone_hosts(zone),
        booking_time: work,
    });
    wait_until_listed(fleet, zone, name);
    desk.expect("the desk starts")
}

fn wait_until_listed(fleet: &Fleet, zone: &str, name: &str) {
    for host in fleet.zone_hosts(zone) {
        wait_until("the upstream is listed as up", WAIT_TIMEOUT, || {
            let url = format!("http://{host}/v1/operator/upstreams");
            let listed = fleet.client.get_json(&url).unwrap_or_default();
            let mut listed = listed.as_array().into_iter().flatten();
            listed.any(|upstream| upstream["name"] == name && upstream["state"] == "up")
        })
        .expect("the upstream is listed as up");
    }
}

/// Returns the body of a chat request.
pub(crate) fn chat(text: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "max_tokens": tokens,
        "stream": stream,
        "messages": [{ "role": "user", "content": text }],
    })
}

/// Returns the text with which the stand-in engines answer a chat.
pub(crate) fn expected_answer(text: &str, tokens: u32) -> String {
    chestnutdrift_standins::engine::expected_answer(&format!("user: {text}\n"), tokens)
}
