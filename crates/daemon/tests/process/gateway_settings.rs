//! The settings of a gateway are checked before it starts.

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

#[test_case("", false; "not set")]
#[test_case("[capacity]\nlearned = true", true; "on")]
#[test_case("[capacity]\nlearned = false", false; "off")]
fn capacity_is_learned_only_where_the_settings_say_so(section: &str, learned: bool) {
    let file = read(section).expect("the settings are valid");
    assert_eq!(file.gateway.learned_capacity, learned);
}
