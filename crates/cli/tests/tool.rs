//! The command-line tool, against a fleet of real daemons.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use chestnutdrift_standins::engine::{Engine, EngineSettings};
use chestnutdrift_standins::fleet::{Fleet, FleetPlan};
use chestnutdrift_standins::process::wait_until;
use chestnutdrift_standins::trainer::{Trainer, prompt_groups};
use serde_json::Value;

const WAIT: Duration = Duration::from_secs(60);

fn folder(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("chestnutdrift-tool-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

fn fleet(name: &str) -> Fleet {
    let plan = FleetPlan::new(&["zone-a", "zone-b", "zone-c"]);
    let fleet = Fleet::start(&plan, &folder(name)).expect("the fleet starts");
    fleet.wait_ready(WAIT).expect("the fleet works");
    fleet
}

fn tool(fleet: &Fleet, args: &[&str]) -> Output {
    let host = fleet.hosts[4].http.to_string();
    Command::new(env!("CARGO_BIN_EXE_chestnutdrift"))
        .args(["--host", &host])
        .args(args)
        .output()
        .expect("the tool runs")
}

fn text(output: &Output) -> String {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn refusal(output: &Output, code: i32) -> String {
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(code), "{error}");
    error
}

#[test]
fn an_operator_changes_reads_back_and_drains() {
    let fleet = fleet("changes");
    let first = ["change", "--id", "a", "--by", "kimiko", "--base", "0", "staleness=3"];
    assert!(text(&tool(&fleet, &first)).contains("version 1 in force on 9 of 9 hosts"));
    let second = ["change", "--id", "b", "--by", "chen", "--base", "0", "staleness=1"];
    let error = refusal(&tool(&fleet, &second), 1);
    assert!(error.contains("change a was accepted first, version 1 is in force"), "{error}");
    assert!(text(&tool(&fleet, &first)).contains("version 1 in force"), "a resend");

    let exception = ["--scope", "zone:zone-b", "--reason", "shared machines until Monday"];
    let change = ["change", "--id", "c", "--by", "kimiko", "upstream_slots=4"];
    text(&tool(&fleet, &[&change[..], &exception].concat()));
    let settings = text(&tool(&fleet, &["settings"]));
    assert_eq!(settings.matches("shared machines until Monday").count(), 3, "{settings}");
    assert_eq!(settings.matches("staleness").count(), 9, "{settings}");

    let no_reason = ["change", "--id", "d", "--by", "chen", "--scope", "zone:zone-b"];
    let error = refusal(&tool(&fleet, &[&no_reason[..], &["attempts=2"]].concat()), 1);
    assert!(error.contains("needs a written reason"), "{error}");
    let error = refusal(&tool(&fleet, &["change", "--id", "e", "--by", "chen", "speed=9"]), 1);
    assert!(error.contains("no setting is named speed; there are interactive_queue"), "{error}");

    assert!(text(&tool(&fleet, &["drain", "host-9"])).contains("host-9 has stopped"));
    wait_until("the others see it", WAIT, || {
        let hosts = text(&tool(&fleet, &["hosts"]));
        hosts.lines().any(|line| line.starts_with("host-9 ") && !line.contains(" up "))
    })
    .unwrap();
    let events = text(&tool(&fleet, &["--json", "timeline", "--kind", "settings-in-force"]));
    let events: Vec<Value> = serde_json::from_str(&events).unwrap();
    assert_eq!(events.len(), 16, "two versions on the eight hosts that run");
    assert!(events.is_sorted_by_key(|event| {
        (event["stamp"]["wall"].as_u64(), event["stamp"]["count"].as_u64())
    }));
}

#[test]
fn a_file_of_edits_is_checked_and_named() {
    let fleet = fleet("files");
    let path = folder("edits").join("friday.ini");
    let file = path.to_str().unwrap();
    let change = ["change", "--id", "friday", "--by", "kimiko", "--file", file];
    let good = "[defaults]\nstaleness = 4\n\n[exception kumamoto]\nscope = zone:zone-b\n\
                key = upstream_slots\nvalue = 6\nreason = shared until Monday\n";
    for (good_line, bad_line, message) in [
        ("reason = shared until Monday\n", "", "[exception kumamoto]: reason: is missing"),
        ("scope = zone:zone-b\n", "", "[exception kumamoto]: scope: is missing"),
        ("value = 6", "value = six", "[exception kumamoto]: value: \"six\" is not a whole number"),
        ("key =", "kee =", "[exception kumamoto]: kee: no such key"),
        ("[defaults]", "[default]", "[default]: expected [defaults] or [exception NAME]"),
    ] {
        std::fs::write(&path, good.replacen(good_line, bad_line, 1)).unwrap();
        let error = refusal(&tool(&fleet, &change), 1);
        assert!(error.contains("friday.ini") && error.contains(message), "{error}");
    }
    std::fs::write(&path, good).unwrap();
    assert!(text(&tool(&fleet, &change)).contains("version 1 in force on 9 of 9 hosts"));
}

#[test]
fn upstreams_are_shown_and_ordered() {
    let fleet = fleet("upstreams");
    let cfg = EngineSettings::new("engine-1", "model").hosts(fleet.zone_hosts("zone-c"));
    let engine = Engine::start(cfg).unwrap();
    wait_until("all hosts of its zone list it", WAIT, || {
        text(&tool(&fleet, &["upstreams"])).matches("engine-1").count() == 3
    })
    .unwrap();
    let order = ["order", "--zone", "zone-c", "--upstream", "engine-1"];
    text(&tool(&fleet, &[&order[..], &["--adapter", "framing-ja"]].concat()));
    text(&tool(&fleet, &[&order[..], &["--role", "decode"]].concat()));
    let state = fleet.client.get_json(&format!("http://{}/state", engine.address())).unwrap();
    assert_eq!(state["adapters"], serde_json::json!(["framing-ja"]));
    assert_eq!(state["role"], "decode");
    let error =
        refusal(&tool(&fleet, &[&order[..], &["--role", "a", "--adapter", "b"]].concat()), 1);
    assert!(error.contains("names one of adapter and role"), "{error}");
    let unknown = ["order", "--zone", "zone-c", "--upstream", "engine-7", "--role", "a"];
    assert!(refusal(&tool(&fleet, &unknown), 1).contains("no engine of zone-c"));
    engine.close();
}

#[test]
fn trainers_are_shown_with_their_counts() {
    let fleet = fleet("trainers");
    let cfg = EngineSettings::new("engine-1", "model").hosts(fleet.zone_hosts("zone-a"));
    let engine = Engine::start(cfg).unwrap();
    let entry = fleet.hosts[7].http.to_string();
    let trainer = Trainer::new("trainer-1", "model", entry);
    assert_eq!(trainer.submit(1, &prompt_groups(1, 2, 3, 4), WAIT).unwrap(), 6);
    trainer.publish(5, WAIT).unwrap();
    wait_until("the trainer is shown", WAIT, || {
        let trainers = text(&tool(&fleet, &["trainers"]));
        trainers.lines().any(|line| {
            let cells: Vec<&str> = line.split_whitespace().collect();
            cells.len() == 10 && cells[0] == "trainer-1" && cells[3..5] == ["5", "6"]
        })
    })
    .unwrap();
    engine.close();
}

#[test]
fn a_command_line_that_cant_be_read_ends_with_code_2() {
    let tool = |args: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_chestnutdrift")).args(args).output().unwrap()
    };
    refusal(&tool(&["nonsense"]), 2);
    refusal(&tool(&["--host"]), 2);
    refusal(&tool(&["hosts"]), 2);
    refusal(&tool(&["--host", "127.0.0.1:1", "change", "--by", "x"]), 2);
    refusal(&tool(&["--host", "127.0.0.1:1", "hosts"]), 1);
    for command in
        ["settings", "change", "hosts", "upstreams", "trainers", "order", "drain", "timeline"]
    {
        let help = text(&tool(&[command, "--help"]));
        assert!(help.contains(&format!("usage: chestnutdrift {command}")), "{help}");
    }
}

#[test]
fn explain_sorts_the_lines_of_one_request_over_several_logs() {
    let folder = folder("explain");
    let line = |ms: u64, event: &str, subject: &str, message: &str| {
        serde_json::json!({
            "stamp_ms": ms, "stamp_count": 0, "host": 7, "event": event, "subject": subject,
            "message": message,
        })
    };
    let entry = format!(
        "{}\nno JSON\n{}\n",
        line(30, "Refused", "r-1", "kind=Unavailable"),
        line(10, "Dispatched", "r-1", "upstream=i-7"),
    );
    let store = format!("2026 store-1 {}\n", line(20, "UpstreamLeft", "i-7", "leaving"));
    let (first, second) = (folder.join("entry.log"), folder.join("store.log"));
    std::fs::write(&first, entry).expect("a log");
    std::fs::write(&second, store).expect("a log");
    let explain = |id: &str| {
        Command::new(env!("CARGO_BIN_EXE_chestnutdrift"))
            .args(["explain", id])
            .args([&first, &second])
            .output()
            .expect("the tool runs")
    };
    let request = text(&explain("r-1"));
    let events: Vec<&str> = request.lines().filter_map(|line| line.split(' ').nth(2)).collect();
    assert_eq!(events, ["Dispatched", "Refused"]);
    let upstream = text(&explain("i-7"));
    let events: Vec<&str> = upstream.lines().filter_map(|line| line.split(' ').nth(2)).collect();
    assert_eq!(events, ["Dispatched", "UpstreamLeft"], "messages that name it count too");
    let nothing = explain("r-2");
    assert_eq!(nothing.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&nothing.stderr).contains("no line"));
}
