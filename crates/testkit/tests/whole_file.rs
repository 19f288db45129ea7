//! Count files of fake servers, as a script reads them while the server runs.

use hawthornhill_testkit::write_whole;
use std::{
    fs,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

/// Found by the quick start, which failed in half of its runs: it read a count file between the
/// truncation and the write, took the count for none, and then the next count for new work.
#[test]
fn reader_never_finds_the_file_empty() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("server.count");
    write_whole(&path, "0\n").expect("written");
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for count in 0..5_000 {
                write_whole(&path, &format!("{count}\n")).expect("written");
            }
            is_over.store(true, Ordering::SeqCst);
        });
        while !is_over.load(Ordering::SeqCst) {
            let text = fs::read_to_string(&path).expect("there at any time");
            assert!(text.ends_with('\n'), "read {text:?}");
        }
    });
}
