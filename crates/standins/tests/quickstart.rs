//! Runs the quick start of the README.

use std::process::Command;

#[test]
fn the_quick_start_passes_all_checks() {
    let folder = std::env::temp_dir().join(format!("chestnutdrift-quick-{}", std::process::id()));
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutdrift-standins"))
        .arg("quickstart")
        .arg("--folder")
        .arg(&folder)
        .output()
        .expect("the quick start runs");
    let _ = std::fs::remove_dir_all(&folder);
    let (stdout, stderr) = (output.stdout, String::from_utf8_lossy(&output.stderr).into_owned());
    assert!(output.status.success(), "{}{stderr}", String::from_utf8_lossy(&stdout));
    let stdout = String::from_utf8_lossy(&stdout);
    assert!(stdout.contains("settings version 1 in force on 9 of 9 hosts"), "{stdout}");
    assert!(stdout.trim_end().ends_with("all checks passed"), "{stdout}");
}
