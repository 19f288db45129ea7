//! The daemon's command line and settings file.

use hawthornhill::SETTINGS_PAGE;
use runtime::ProcessSettings;
use std::process::Command;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_hawthornhill");

/// Runs the program. Returns its exit code and its standard output and error.
fn run(arguments: &[&str]) -> (i32, String) {
    let output = Command::new(PROGRAM).args(arguments).output().expect("runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn the_printed_settings_are_the_defaults() {
    assert_eq!(ProcessSettings::parse(SETTINGS_PAGE), Ok(ProcessSettings::default()));
    assert_eq!(run(&["settings"]), (0, SETTINGS_PAGE.to_owned()));
}

#[test]
fn check_validates_settings_without_starting_a_process() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("host.toml");
    let path_text = path.to_str().expect("text");
    std::fs::write(&path, SETTINGS_PAGE).expect("written");
    let (code, text) = run(&["--settings", path_text, "--check"]);
    assert_eq!((code, text.contains("valid")), (0, true), "{text}");
    std::fs::write(&path, SETTINGS_PAGE.replace("threads = 4", "threads = 400")).expect("written");
    let (code, text) = run(&["--settings", path_text, "--check"]);
    assert_eq!((code, text.contains("field threads")), (2, true), "{text}");
    let (code, text) = run(&["--settings", "/nowhere.toml", "--check"]);
    assert_eq!((code, text.contains("/nowhere.toml")), (2, true), "{text}");
    let (code, text) = run(&[]);
    assert_eq!((code, text.contains("--settings")), (2, true), "{text}");
}

#[test]
fn a_process_without_keys_fails_to_start_and_names_the_setting_and_the_file() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("host.toml");
    std::fs::write(&path, SETTINGS_PAGE).expect("written");
    let (code, text) = run(&["--settings", path.to_str().expect("text")]);
    assert_eq!(code, 2);
    assert!(text.contains("key_folder") && text.contains("host-authority.pem"), "{text}");
}
