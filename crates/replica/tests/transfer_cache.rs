//! View updates while hundreds of servers and entries register and all entries poll.

use hawthornhill_replica::TransferCache;
use peer::ViewTransfer;
use std::{net::SocketAddr, sync::Arc};
use types::{
    Announcement, ClusterState, ClusterView, Command, LogTime, ServerIncarnation, ServerState,
    ViewVersion,
};

fn announce(state: &mut ClusterState, number: u16) {
    let announcement = Announcement {
        server: format!("server-{number:05}").parse().expect("valid"),
        service: "desk".parse().expect("valid"),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        domain: "north".parse().expect("valid"),
        slots: 3,
        incarnation: ServerIncarnation(1_700_000_000_000 + u64::from(number)),
        sequence: 1,
        state: ServerState::Ready,
    };
    state.apply(LogTime(0), &Command::Announce(Arc::new(announcement)));
}

/// Returns the states after 0 to `count` servers have registered.
fn registrations(count: u16) -> Vec<ClusterState> {
    let mut states = vec![ClusterState::default()];
    for number in 1..=count {
        let mut state = states.last().expect("the initial state").clone();
        announce(&mut state, number);
        states.push(state);
    }
    states
}

fn packed_bytes(transfer: &ViewTransfer) -> usize {
    postcard::to_stdvec(transfer).expect("encodes").len()
}

/// Guards against an update that skips or repeats a change, whatever part of it is packed.
#[test]
fn every_update_leads_to_the_current_view() {
    let states = registrations(400);
    let mut cache = TransferCache::default();
    for (current, state) in states.iter().enumerate().step_by(7) {
        for base in states[..=current].iter().step_by(13) {
            let transfer = cache.update_since(state, base.view().version).expect("packs");
            let view = transfer.apply_to(base.view()).expect("applies");
            assert_eq!(&view, state.view(), "from {:?}", base.view().version);
        }
        let whole = cache.update_since(state, ViewVersion(u64::MAX)).expect("packs");
        assert_eq!(&whole.apply_to(&ClusterView::default()).expect("applies"), state.view());
    }
}

/// Guards against changes that are no longer stored: an entry that was away for long needs the whole
/// view.
#[test]
fn entry_far_behind_gets_the_whole_view() {
    let mut state = ClusterState::default();
    (1..=10).for_each(|number| announce(&mut state, number));
    let old_view = state.view().clone();
    (11..=2_000).for_each(|number| announce(&mut state, number));
    let mut cache = TransferCache::default();
    let transfer = cache.update_since(&state, old_view.version).expect("packs");
    assert!(matches!(transfer, ViewTransfer::Packed { base: Some(_), .. }));
    assert_eq!(&transfer.apply_to(&old_view).expect("applies"), state.view());
}

/// Pattern: 900 servers announce themselves within seconds while 451 entries poll. Guards against
/// encoding and compressing each entry's changes anew: a leader spent 0.8 of its time on that, and
/// missed its heartbeats.
#[test]
fn updates_of_entries_that_lag_differently_share_their_packed_parts() {
    let states = registrations(900);
    let mut cache = TransferCache::default();
    let current = states.last().expect("states");
    let mut segments = Vec::new();
    for lag in 1..=450_usize {
        let version = states[900 - lag].view().version;
        let transfer = cache.update_since(current, version).expect("packs");
        let ViewTransfer::Packed { segments: sent, tail, .. } = transfer else {
            assert!(lag <= 16, "a lag of {lag} is not packed");
            continue;
        };
        assert!(tail.len() < 64, "a lag of {lag} has {} unpacked changes", tail.len());
        segments.extend(sent);
    }
    let sent_count = segments.len();
    segments.sort_by_key(|segment| segment.since);
    segments.dedup();
    assert!(sent_count > 1_000, "the entries are sent many segments");
    assert!(segments.len() <= 450 / 64 + 2, "{} distinct segments", segments.len());
    // Packing also keeps the updates small for links of 2 Mbit/s.
    let transfer = cache.update_since(current, states[500].view().version).expect("packs");
    let changes = current.changes_since(states[500].view().version).expect("stored");
    let plain = postcard::to_stdvec(&changes).expect("encodes").len();
    assert!(packed_bytes(&transfer) < plain / 2, "{} of {plain}", packed_bytes(&transfer));
}
