//! Settings are checked completely before anything starts.

use std::process::{Command, Output};

use chestnutdrift_daemon::settings::{parse_bytes, parse_duration};
use std::time::Duration;
use test_case::test_case;

use crate::fixture::TestFolder;

const GOOD: &str = "[host]
name = host-1

[limits]
calls = 64
body = 4MiB
head_timeout = 5s

[log]
level = info

[peer host-1]
id = 1
zone = zone-a
http = 127.0.0.1:11801
link = 127.0.0.1:11802
disk = no
";

fn check(text: &str, flags: &[&str]) -> Output {
    let folder = TestFolder::new();
    let path = folder.0.join("host.ini");
    std::fs::write(&path, text).expect("the file is written");
    Command::new(env!("CARGO_BIN_EXE_chestnutdriftd"))
        .arg("--settings")
        .arg(&path)
        .args(flags)
        .output()
        .expect("the daemon runs")
}

#[test]
fn good_settings_pass_the_check_and_nothing_starts() {
    let output = check(GOOD, &["--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(String::from_utf8_lossy(&output.stdout).contains("can be used"));
}

#[test_case("calls = 64", "cals = 64", "[limits] cals: no such key; expected calls"; "unknown key")]
#[test_case("calls = 64", "calls = many", "[limits] calls: \"many\" can't be read; expected a whole number"; "no number")]
#[test_case("5s", "5", "[limits] head_timeout: \"5\" can't be read; expected a time with its unit"; "no unit")]
#[test_case("5s", "5 fortnights", "[limits] head_timeout"; "bad unit")]
#[test_case("4MiB", "4MB", "[limits] body: \"4MB\" can't be read; expected a size with its unit"; "bad size")]
#[test_case("name = host-1", "name = host-2", "[host] name: there is no [peer host-2]"; "no such peer")]
#[test_case("127.0.0.1:11801", "localhost:11801", "[peer host-1] http: \"localhost:11801\" can't be read"; "a name for an address")]
#[test_case("127.0.0.1:11802", "127.0.0.1:11801", "[peer host-1] link: is used twice"; "one address twice")]
#[test_case("id = 1", "id = 0", "[peer host-1] id"; "number zero")]
#[test_case("zone = zone-a", "", "[peer host-1] zone: is missing"; "no zone")]
#[test_case("disk = no", "disk = yes", "[host] data: does not agree with disk"; "a disk without a folder")]
#[test_case("disk = no", "disk = maybe", "expected yes or no"; "neither yes nor no")]
#[test_case("[log]", "[logs]", "[logs] -: no such section"; "unknown section")]
fn bad_settings_are_reported_and_exit_with_code_2(good: &str, bad: &str, message: &str) {
    let text = GOOD.replacen(good, bad, 1);
    assert_ne!(text, GOOD);
    for flags in [&["--check"][..], &[]] {
        let output = check(&text, flags);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(error.contains("host.ini"), "{error}");
        assert!(error.contains(message), "{error}");
        assert_eq!(output.status.code(), Some(2), "{error}");
    }
}

#[test]
fn an_address_in_use_is_reported_and_exits_with_code_2() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let output = check(&GOOD.replace("127.0.0.1:11801", &address), &[]);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains(&format!("[peer host-1] http: {address} can't be bound")), "{error}");
    assert_eq!(output.status.code(), Some(2));
}

#[test_case("250ms", Some(250); "milliseconds")]
#[test_case("10s", Some(10_000); "seconds")]
#[test_case("5min", Some(300_000); "minutes")]
#[test_case("5", None; "no unit")]
#[test_case("-5s", None; "negative")]
#[test_case("99999999999999999999s", None; "too large")]
#[test_case("", None; "empty")]
fn durations_need_a_unit(text: &str, millis: Option<u64>) {
    assert_eq!(parse_duration(text), millis.map(Duration::from_millis));
}

#[test_case("4MiB", Some(4 << 20); "mebibytes")]
#[test_case("7B", Some(7); "bytes")]
#[test_case("18446744073709551615GiB", None; "too large")]
fn sizes_need_a_unit(text: &str, bytes: Option<u64>) {
    assert_eq!(parse_bytes(text), bytes);
}
