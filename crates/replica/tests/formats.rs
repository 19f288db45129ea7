//! Bytes on disk and between processes, as build 6d1922d writes and reads them.
//!
//! While hosts are replaced one after the other, processes of two builds read each other's bytes, and
//! a replica starts from the disk that its predecessor left. `formats/6d1922d.txt` holds these bytes,
//! one value on each line: its name, and the bytes in hexadecimal. The file was written by this test
//! on that build, with `UPDATE_EXPECT=1`.

mod samples;

use consensus::RestoredState;
use expect_test::expect_file;
use hawthornhill_replica::{FileStore, ReplicaStore};
use peer::{
    PackedChanges, PackedView, PeerAnswer, PeerRequest, ViewTransfer, decode_frame, encode_frame,
};
use samples::{TIME, answers, batch, commands, image, requests, state};
use std::{collections::BTreeMap, fmt::Write, fs, path::Path};
use tempfile::tempdir;
use types::{ClusterState, Command, ViewUpdate, ViewVersion};

const IDENTITY: consensus::ReplicaId = consensus::ReplicaId(7);

/// Returns all values with their bytes, as this build writes them.
fn written() -> Vec<(String, Vec<u8>)> {
    let mut values = Vec::new();
    for (name, command) in commands() {
        let bytes = postcard::to_stdvec(&command).expect("encodes");
        values.push((format!("command/{name}"), bytes));
    }
    values.push(("state".to_owned(), postcard::to_stdvec(&state()).expect("encodes")));
    for (name, request) in requests() {
        let frame = encode_frame(TIME, &request).expect("encodes");
        values.push((format!("request/{name}"), frame));
    }
    for (name, answer) in answers() {
        let frame = encode_frame(TIME, &answer).expect("encodes");
        values.push((format!("answer/{name}"), frame));
    }
    let folder = tempdir().expect("folder");
    let (mut store, _) = FileStore::open(folder.path(), IDENTITY).expect("opens");
    store.append(&batch()).expect("appends");
    values.push(("log".to_owned(), fs::read(folder.path().join("log")).expect("log")));
    store.install_snapshot(&image(), &batch()).expect("installs");
    for name in ["log", "snapshot"] {
        let bytes = fs::read(folder.path().join(name)).expect("file");
        values.push((format!("{name}-after-snapshot"), bytes));
    }
    values
}

fn stored() -> BTreeMap<String, Vec<u8>> {
    let text = include_str!("formats/6d1922d.txt");
    let decode = |hex: &str| -> Vec<u8> {
        let digits = hex.as_bytes().chunks(2);
        let byte = |pair: &[u8]| {
            let pair = std::str::from_utf8(pair).expect("hexadecimal digits");
            u8::from_str_radix(pair, 16).expect("hexadecimal digits")
        };
        digits.map(byte).collect()
    };
    let pairs = text.lines().filter_map(|line| line.split_once(' '));
    pairs.map(|(name, hex)| (name.to_owned(), decode(hex))).collect()
}

/// Writes the files of a replica and opens them as its successor does.
fn open_files(files: &[(&str, &[u8])]) -> RestoredState {
    let folder = tempdir().expect("folder");
    for (name, bytes) in files {
        fs::write(folder.path().join(name), bytes).expect("written");
    }
    let (store, restored) = FileStore::open(Path::new(folder.path()), IDENTITY).expect("opens");
    assert_eq!(store.identity(), IDENTITY);
    restored
}

/// Guards against a build whose bytes older processes cannot read: they would drop its messages, or
/// end at their next start.
#[test]
fn bytes_are_written_as_by_6d1922d() {
    let mut text = String::new();
    for (name, bytes) in written() {
        let hex = bytes.iter().fold(String::new(), |mut hex, byte| {
            write!(hex, "{byte:02x}").expect("a string accepts all text");
            hex
        });
        writeln!(text, "{name} {hex}").expect("a string accepts all text");
    }
    expect_file!["formats/6d1922d.txt"].assert_eq(&text);
}

/// Guards against a replica that ends at its start on the disk that an older build left, so that no
/// order is acknowledged once all are replaced.
#[test]
fn files_of_6d1922d_are_read() {
    let stored = stored();
    let restored = open_files(&[("log", &stored["log"])]);
    assert_eq!(restored.entries, batch().entries);
    assert_eq!(Some(restored.hard_state), batch().hard_state);
    let files = [
        ("log", &*stored["log-after-snapshot"]),
        ("snapshot", &*stored["snapshot-after-snapshot"]),
    ];
    let restored = open_files(&files);
    assert_eq!(restored.image, Some(image()));
    assert_eq!(restored.entries, batch().entries);
    let decoded: ClusterState = postcard::from_bytes(&stored["state"]).expect("decodes");
    assert_eq!(decoded, state());
    decoded.verify().expect("the invariants hold");
    for (name, command) in commands() {
        let bytes = &stored[&format!("command/{name}")];
        let decoded: Command = postcard::from_bytes(bytes).expect("decodes");
        assert_eq!(decoded, command, "{name}");
    }
}

/// Guards against an entry or a replica that refuses the messages of an older build: beside such
/// entries, nothing is served any more.
#[test]
fn frames_of_6d1922d_are_read() {
    let stored = stored();
    for (name, request) in requests() {
        let frame = &stored[&format!("request/{name}")];
        let (time, decoded) = decode_frame::<PeerRequest>(frame).expect("decodes");
        assert_eq!((time, format!("{decoded:?}")), (TIME, format!("{request:?}")), "{name}");
    }
    for (name, answer) in answers() {
        let frame = &stored[&format!("answer/{name}")];
        let (_, decoded) = decode_frame::<PeerAnswer>(frame).expect("decodes");
        assert_eq!(format!("{decoded:?}"), format!("{answer:?}"), "{name}");
    }
}

/// Packed parts hold LZ4 data, whose bytes may differ between versions of the library; only what they
/// decode to must stay.
#[test]
fn packed_views_decode_to_what_was_packed() {
    let state = state();
    let base = PackedView::pack(state.view()).expect("packs");
    assert_eq!(base.unpack().expect("unpacks"), *state.view());
    let ViewUpdate::Changes(changes) = state.update_since(ViewVersion(1)) else {
        panic!("the changes are stored");
    };
    let segments = vec![PackedChanges::pack(ViewVersion(1), &changes).expect("packs")];
    let transfer = ViewTransfer::Packed { base: None, segments, tail: Vec::new() };
    let mut first = types::ClusterView::default();
    first.version = ViewVersion(1);
    let view = transfer.apply_to(&first).expect("applies");
    assert_eq!(view.version, state.view().version);
}
