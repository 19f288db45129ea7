//! The Rust and the Python declaration library print the same documents and reject the same mistakes.
//! A difference would let a team's document change with the language in which it is declared.

#[path = "../examples/flakonwerk.rs"]
mod flakonwerk;
#[path = "../examples/plinoterm.rs"]
mod plinoterm;

use hawthornhill_operator::{Declaration, ServiceDeclaration};
use std::{
    path::{Path, PathBuf},
    process::Command,
};
use types::TeamDocument;

fn library_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../declarations")
}

fn golden_document(name: &str) -> String {
    std::fs::read_to_string(library_folder().join("golden").join(name)).expect("golden file")
}

/// Runs Python in the folder of the Python library. Returns its output, or the last line of its error
/// output if it fails.
fn python(arguments: &[&str]) -> Result<String, String> {
    let output = Command::new("python3")
        .arg("-B")
        .args(arguments)
        .current_dir(library_folder())
        .output()
        .expect("python3 runs");
    if output.status.success() {
        return Ok(String::from_utf8(output.stdout).expect("text"));
    }
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(text.lines().last().unwrap_or_default().to_owned())
}

#[test]
fn both_libraries_print_the_golden_documents() {
    let cases = [
        ("flakonwerk", flakonwerk::declare().expect("valid")),
        ("plinoterm", plinoterm::declare().expect("valid")),
    ];
    for (name, document) in cases {
        let text = golden_document(&format!("{name}.json"));
        assert_eq!(document.to_json(), text, "{name} in Rust");
        assert_eq!(python(&[&format!("{name}.py")]).expect("runs"), text, "{name} in Python");
        assert_eq!(TeamDocument::parse(text.as_bytes()), Ok(document), "{name} parsed");
    }
}

#[test]
fn both_libraries_reject_the_same_mistakes_and_name_the_field() {
    let service =
        |name, priority| Declaration::new("a").service(ServiceDeclaration::new(name, priority));
    let with = |change: fn(ServiceDeclaration) -> ServiceDeclaration| {
        Declaration::new("a").service(change(ServiceDeclaration::new("s", 0)))
    };
    let cases = [
        (Declaration::new("A"), "Declaration('A')", "team"),
        (service("S", 0), "Declaration('a').service(Service('S', 0))", "services[0].name"),
        (service("s", 10), "Declaration('a').service(Service('s', 10))", "services[0].priority"),
        (
            service("s", 0).service(ServiceDeclaration::new("s", 0)),
            "Declaration('a').service(Service('s', 0)).service(Service('s', 0))",
            "services[1].name",
        ),
        (
            with(|s| s.timeout_ms(0)),
            "Declaration('a').service(Service('s', 0, timeout_ms=0))",
            "services[0].timeout_ms",
        ),
        (
            with(|s| s.hedge_percent(21)),
            "Declaration('a').service(Service('s', 0, hedge_percent=21))",
            "services[0].hedge_percent",
        ),
        (
            with(|s| s.never_repeat("post", "/")),
            "Declaration('a').service(Service('s', 0).never_repeat('post', '/'))",
            "services[0].non_repeatable[0].method",
        ),
        (
            with(|s| s.never_repeat("POST", "x")),
            "Declaration('a').service(Service('s', 0).never_repeat('POST', 'x'))",
            "services[0].non_repeatable[0].path",
        ),
    ];
    for (declaration, code, field) in cases {
        let error = declaration.build().expect_err("must be refused").to_string();
        assert!(error.starts_with(&format!("field {field}:")), "Rust: {error}");
        let program = format!("from hawthornhill import *\n{code}.to_json()");
        let error = python(&["-c", &program]).expect_err("must be refused");
        assert!(error.contains(&format!("field {field}:")), "Python: {error}");
    }
    let unknown = "from hawthornhill import *\n\
                   Declaration('a').service(Service('s', 0, timout_ms=1)).to_json()";
    let error = python(&["-c", unknown]).expect_err("must be refused");
    assert!(error.contains("services[0].timout_ms"), "{error}");
}
