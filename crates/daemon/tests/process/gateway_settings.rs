//! The settings of a gateway are checked before it starts.

use chestnutdrift_core::Millis;
use chestnutdrift_core::gateway::WorkspaceSettings;
use chestnutdrift_daemon::gateway::GatewaySettingsFile;
use chestnutdrift_daemon::settings::SettingsError;
use test_case::test_case;

use crate::fixture::TestFolder;

const TEMPLATE: &str = "[host]
name = store-1
role = store
ip = 127.0.0.1
zone = zone-a
data = /tmp/data

[listen]
links = 127.0.0.1:11811

[limits]
tolerated = 1
";

fn read(limit: &str) -> Result<GatewaySettingsFile, SettingsError> {
    let folder = TestFolder::new();
    let path = folder.0.join("host.ini");
    std::fs::write(&path, format!("{TEMPLATE}{limit}\n")).expect("the file is written");
    GatewaySettingsFile::read(&path)
}

#[test_case("memory = 46000000B", Some(46_000_000); "bytes")]
#[test_case("memory = 32MiB", Some(32 << 20); "the minimum")]
#[test_case("memory =", None; "empty")]
#[test_case("", None; "not set")]
fn the_memory_limit_is_read(limit: &str, bytes: Option<u64>) {
    let file = read(limit).expect("the settings are valid");
    assert_eq!(file.gateway.memory_limit, bytes);
}

#[test_case("memory = 130", "[limits] memory: \"130\" can't be read; expected a size of at least 32MiB"; "no unit")]
#[test_case("memory = 000000B", "[limits] memory: \"000000B\" is too small; expected a size of at least 32MiB"; "zero")]
#[test_case("memory = 31MiB", "[limits] memory: \"31MiB\" is too small"; "below the minimum")]
fn a_memory_limit_that_can_not_be_used_is_refused(limit: &str, expected: &str) {
    let error = read(limit).expect_err("the settings are invalid").to_string();
    assert!(error.contains(expected), "{error}");
}

#[test_case("", false, 5_000; "not set")]
#[test_case("fail_closed =", false, 5_000; "as the template leaves it")]
#[test_case("fail_closed = true\nrevocation = 4000ms", true, 4_000; "set")]
fn the_settings_of_workspaces_are_read(text: &str, fail_closed: bool, revocation: u64) {
    let file = read(&format!("[workspaces]\n{text}")).expect("the settings are valid");
    let expected = WorkspaceSettings { fail_closed, revocation: Millis(revocation) };
    assert_eq!(file.gateway.workspaces, expected);
}

/// Guards against a host that starts with another meaning of these settings than the operator's.
#[test_case("fail_closed = yes", "fail_closed: \"yes\" can't be read"; "not true or false")]
#[test_case("revocation = 0s", "revocation: \"0s\" can't be read"; "no time")]
#[test_case("revocation = 5", "revocation: \"5\" can't be read"; "no unit")]
fn settings_of_workspaces_that_can_not_be_used_are_refused(text: &str, expected: &str) {
    let error = read(&format!("[workspaces]\n{text}")).expect_err("invalid settings").to_string();
    assert!(error.contains(expected), "{error}");
}

const PROVIDER: &str = "[provider]
address = 10.0.0.9:7400
usage_duty = reports
scaling_duty = counts
";

fn provider(keys: &str) -> Option<(u32, Option<u64>, u64, bool)> {
    let file = read(&format!("\n{PROVIDER}{keys}")).expect("the settings are valid");
    assert_eq!(file.provider_address.as_deref(), Some("10.0.0.9:7400"));
    let settings = file.gateway.provider?;
    let (window, due) = (settings.usage_window.map(|window| window.0), settings.usage_due.0);
    Some((settings.calls_per_second, window, due, settings.scaling))
}

/// Guards against a host that does not start, or takes duties that it does not have, because the
/// platform leaves fields out.
#[test_case("calls_per_second = 20\nduties = reports,counts\nusage_window = 5s\nusage_due = 9s",
    (20, Some(5_000), 9_000, true); "all")]
#[test_case("calls_per_second = 50.0\nduties =", (50, None, 10_000, false); "a rate with a fraction")]
#[test_case("calls_per_second =\nduties = reports\nusage_window = s\nusage_due = s",
    (50, None, 10_000, false); "no window")]
#[test_case("duties =\nusage_window = 5s", (50, None, 10_000, false); "no duties")]
fn the_provider_is_read(keys: &str, expected: (u32, Option<u64>, u64, bool)) {
    assert_eq!(provider(keys), Some(expected));
}

#[test]
fn a_provider_without_an_address_is_none() {
    let file = read("\n[provider]\naddress =\nduties = usage\n").expect("valid settings");
    assert_eq!((file.provider_address, file.gateway.provider), (None, None));
}

#[test_case("", false; "not set")]
#[test_case("[capacity]\nlearned = true", true; "on")]
#[test_case("[capacity]\nlearned = false", false; "off")]
fn capacity_is_learned_only_where_the_settings_say_so(section: &str, learned: bool) {
    let file = read(section).expect("the settings are valid");
    assert_eq!(file.gateway.learned_capacity, learned);
}
