//! Frame encoding: messages survive a round trip, and malformed bytes never make the decoder panic.

use hawthornhill_peer::{
    FreshnessAnswer, FreshnessGrant, PackedView, PeerAnswer, PeerError, PeerRequest, SubmitAnswer,
    ViewTransfer, decode_frame, encode_frame,
};
use proptest::prelude::*;
use runtime::{HybridTime, ReplicaAddress};
use types::{
    Announcement, CallAnswer, CallOutcome, CallRequest, ChangeAction, ChangeAnswer, ChangeId,
    ChangeRequest, ClaimAnswer, ClusterView, Command, CommandAnswer, DocumentVersion,
    EntryIncarnation, HeaderField, OwnerHeartbeat, RefusalKind, RegistryVersion, ServerIncarnation,
    ServerState, ServiceSpec, ShardOwnerId, SuspectKind, SuspectReport, TeamDocument, ViewUpdate,
};
use uuid::Uuid;

const TIME: HybridTime = HybridTime { wall_ms: 5, counter: 6 };

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

fn requests() -> Vec<PeerRequest> {
    let document = TeamDocument { team: name("t"), services: vec![ServiceSpec::new(name("s"), 3)] };
    let change = ChangeRequest {
        id: ChangeId(Uuid::from_u128(1)),
        expected_version: DocumentVersion(4),
        action: ChangeAction::Document(document),
    };
    let owner = ShardOwnerId { entry: name("e"), incarnation: EntryIncarnation(9) };
    vec![
        PeerRequest::Submit(Command::Change(change)),
        PeerRequest::Submit(Command::BalanceRanges),
        PeerRequest::Beat(OwnerHeartbeat { owner, version: RegistryVersion(3) }),
        PeerRequest::Suspect(SuspectReport {
            server: name("x"),
            incarnation: ServerIncarnation(1),
            kind: SuspectKind::Restarted,
        }),
        PeerRequest::Announce(Announcement {
            server: name("x"),
            service: name("s"),
            address: "127.0.0.1:80".parse().expect("valid"),
            domain: name("d"),
            slots: 3,
            incarnation: ServerIncarnation(1),
            sequence: 2,
            state: ServerState::Leaving,
        }),
        PeerRequest::CallForward(CallRequest {
            id: Uuid::from_u128(7),
            service: name("s"),
            method: "POST".to_owned(),
            path: "/x?y".to_owned(),
            headers: vec![HeaderField { name: "a".to_owned(), value: vec![0xff] }],
            body: vec![1, 2, 3],
            key: Some(Uuid::from_u128(8)),
            deadline_ms: 12,
        }),
    ]
}

fn answers() -> Vec<PeerAnswer> {
    let refused = ChangeAnswer::Refused {
        kind: RefusalKind::ServiceHeld { team: name("t") },
        current: DocumentVersion(2),
        reason: "held".to_owned(),
    };
    let accepted = ChangeAnswer::Accepted { version: DocumentVersion(3) };
    let applied = |answer| PeerAnswer::Submit(SubmitAnswer::Applied(answer));
    let grant = FreshnessGrant {
        update: ViewTransfer::Plain(ViewUpdate::Whole(Box::<ClusterView>::default())),
        replicas: vec![ReplicaAddress {
            host: name("h"),
            address: "127.0.0.1:1".parse().expect("valid"),
        }],
        domain: "d".parse().expect("valid"),
    };
    let call = CallAnswer::refusal(503, CallOutcome::NotRun, "busy").with_retry_after(7);
    vec![
        PeerAnswer::Done,
        applied(CommandAnswer::Change(refused)),
        applied(CommandAnswer::Change(accepted)),
        applied(CommandAnswer::Claim(ClaimAnswer::Ran { status: 200 })),
        PeerAnswer::Submit(SubmitAnswer::Unknown),
        PeerAnswer::Freshness(Box::new(FreshnessAnswer::Granted(grant))),
        PeerAnswer::CallForward(Box::new(call)),
        PeerAnswer::Refused("no".to_owned()),
    ]
}

#[test]
fn messages_survive_an_encode_decode_round_trip() {
    for request in requests() {
        let frame = encode_frame(TIME, &request).expect("encodes");
        let (time, decoded) = decode_frame::<PeerRequest>(&frame).expect("decodes");
        assert_eq!((time, format!("{decoded:?}")), (TIME, format!("{request:?}")));
    }
    for answer in answers() {
        let frame = encode_frame(TIME, &answer).expect("encodes");
        let (_, decoded) = decode_frame::<PeerAnswer>(&frame).expect("decodes");
        assert_eq!(format!("{decoded:?}"), format!("{answer:?}"));
    }
}

#[test]
fn malformed_frames_are_rejected() {
    let frame = encode_frame(TIME, &requests()[0]).expect("encodes");
    let mut other_version = frame.clone();
    other_version[0] = 99;
    let mut trailing = frame.clone();
    trailing.push(0);
    let cases = [Vec::new(), other_version, trailing, frame[..frame.len() - 1].to_vec()];
    for bytes in cases {
        let result = decode_frame::<PeerRequest>(&bytes);
        assert!(matches!(result, Err(PeerError::Malformed(_))), "{bytes:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_do_not_panic(mut bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        // Any other first byte is rejected as an unknown protocol version.
        if let Some(first) = bytes.first_mut() {
            *first = encode_frame(TIME, &PeerAnswer::Done).expect("encodes")[0];
        }
        let _ = decode_frame::<PeerRequest>(&bytes);
        let _ = decode_frame::<PeerAnswer>(&bytes);
    }

    #[test]
    fn damaged_messages_do_not_panic(
        message in 0..6_usize,
        offset in 0..400_usize,
        mask in 1..=255_u8,
    ) {
        let mut frame = encode_frame(TIME, &requests()[message]).expect("encodes");
        let offset = offset % frame.len();
        frame[offset] ^= mask;
        let _ = decode_frame::<PeerRequest>(&frame);
    }
}

#[test]
fn packed_view_survives_a_round_trip_and_damaged_bytes_do_not_panic() {
    let view = ClusterView::default();
    let packed = PackedView::pack(&view).expect("packs");
    assert_eq!(packed.unpack().expect("unpacks"), view);
    let transfer =
        ViewTransfer::Packed { base: Some(packed.clone()), segments: Vec::new(), tail: Vec::new() };
    assert_eq!(transfer.apply_to(&ClusterView::default()).expect("unpacks"), view);
    let bytes = postcard::to_stdvec(&packed).expect("encodes");
    for offset in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[offset] ^= 0x55;
        if let Ok(packed) = postcard::from_bytes::<PackedView>(&damaged) {
            // Damaged bytes may still decode to a view, but unpacking must neither panic nor exceed
            // the frame limit.
            let _ = packed.unpack();
        }
    }
}
