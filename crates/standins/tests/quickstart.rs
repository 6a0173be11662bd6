//! The quick start of the README, once through.

use std::process::Command;

#[test]
fn the_quick_start_runs_the_whole_frame() {
    let folder = std::env::temp_dir().join(format!("chestnutdrift-quick-{}", std::process::id()));
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutdrift-standins"))
        .arg("quickstart")
        .arg("--folder")
        .arg(&folder)
        .output()
        .expect("the quick start runs");
    let _ = std::fs::remove_dir_all(&folder);
    let (told, wrong) = (output.stdout, String::from_utf8_lossy(&output.stderr).into_owned());
    assert!(output.status.success(), "{}{wrong}", String::from_utf8_lossy(&told));
    let told = String::from_utf8_lossy(&told);
    assert!(told.contains("settings version 1 in force on 9 of 9 hosts"), "{told}");
    assert!(told.trim_end().ends_with("all is as it should be"), "{told}");
}
