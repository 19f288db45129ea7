//! Tests of the files in which fake servers count requests while a script reads them.

use hawthornhill_testkit::write_atomically;
use std::{
    fs,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

/// Guards against readers that see a truncated file. The quick start failed in half of its runs
/// because it read a count file between truncation and write, found no count in it, and then took
/// the next count as new requests.
#[test]
fn reader_never_finds_the_file_empty() {
    let folder = tempfile::tempdir().expect("temporary folder is created");
    let path = folder.path().join("server.count");
    write_atomically(&path, "0\n").expect("written");
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for count in 0..5_000 {
                write_atomically(&path, &format!("{count}\n")).expect("written");
            }
            is_over.store(true, Ordering::SeqCst);
        });
        while !is_over.load(Ordering::SeqCst) {
            let text = fs::read_to_string(&path).expect("file exists");
            assert!(text.ends_with('\n'), "read {text:?}");
        }
    });
}
