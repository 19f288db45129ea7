//! The replicated state machine: configuration, drains, entries, ranges and claims.

use hawthornhill_types::{
    AttemptId, CLAIM_RETENTION_MS, CLOCK_SKEW_LIMIT_MS, ChangeAction, ChangeAnswer, ChangeId,
    ChangeRequest, ClaimAnswer, ClaimKey, ClaimRelease, ClaimRequest, ClaimResult, ClusterState,
    Command, CommandAnswer, DocumentVersion, EntryIncarnation, EntryInfo, LogTime, RefusalKind,
    ServiceSpec, TeamDocument, ViewUpdate,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use uuid::Uuid;

const NOW_MS: u64 = 1_800_000_000_000;

fn document(team: &str, services: &[&str], timeout_ms: u32) -> TeamDocument {
    let service = |name: &&str| ServiceSpec {
        timeout_ms,
        ..ServiceSpec::new(name.parse().expect("valid"), 0)
    };
    TeamDocument {
        team: team.parse().expect("valid"),
        services: services.iter().map(service).collect(),
    }
}

fn change(id: u128, expected: u64, action: ChangeAction) -> ChangeRequest {
    let expected_version = DocumentVersion(expected);
    ChangeRequest { id: ChangeId(Uuid::from_u128(id)), expected_version, action }
}

fn decide(state: &mut ClusterState, change: &ChangeRequest) -> ChangeAnswer {
    match state.apply(LogTime(NOW_MS), &Command::Change(change.clone())) {
        CommandAnswer::Change(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn accepted(version: u64) -> ChangeAnswer {
    ChangeAnswer::Accepted { version: DocumentVersion(version) }
}

/// Two operators change the same version. Accepting both would silently overwrite the first change.
#[test]
fn second_change_with_the_same_expected_version_is_refused() {
    let mut state = ClusterState::default();
    let first = change(1, 0, ChangeAction::Document(document("a", &["s"], 10)));
    let second = change(2, 0, ChangeAction::Document(document("a", &["s"], 20)));
    assert_eq!(decide(&mut state, &first), accepted(1));
    let answer = decide(&mut state, &second);
    assert!(
        matches!(&answer, ChangeAnswer::Refused { kind: RefusalKind::Conflict, current, .. }
            if *current == DocumentVersion(1)),
        "{answer:?}"
    );
}

/// A change resent after a lost answer must not revert one that was accepted in between.
#[test]
fn resent_change_gets_its_first_answer() {
    let mut state = ClusterState::default();
    let first = change(1, 0, ChangeAction::Document(document("a", &["s"], 10)));
    let next = change(2, 1, ChangeAction::Document(document("a", &["s"], 20)));
    let conflicting = change(3, 0, ChangeAction::Document(document("a", &["s"], 30)));
    assert_eq!(decide(&mut state, &first), accepted(1));
    assert_eq!(decide(&mut state, &next), accepted(2));
    let refused = decide(&mut state, &conflicting);
    assert_eq!(decide(&mut state, &first), accepted(1), "the resend is not applied again");
    assert_eq!(decide(&mut state, &conflicting), refused);
    let spec = state.view().service(&"s".parse().expect("valid")).expect("declared");
    assert_eq!(spec.timeout_ms, 20, "the resend did not revert the later change");
}

#[test]
fn change_id_reused_for_another_change_is_refused() {
    let mut state = ClusterState::default();
    decide(&mut state, &change(1, 0, ChangeAction::Document(document("a", &["s"], 10))));
    let answer =
        decide(&mut state, &change(1, 1, ChangeAction::Drain("d".parse().expect("valid"))));
    assert!(matches!(answer, ChangeAnswer::Refused { kind: RefusalKind::IdReused, .. }));
}

#[test]
fn service_held_by_another_team_is_refused_and_its_holder_named() {
    let mut state = ClusterState::default();
    decide(&mut state, &change(1, 0, ChangeAction::Document(document("a", &["s", "t"], 10))));
    let conflicting = change(2, 0, ChangeAction::Document(document("b", &["s"], 10)));
    let answer = decide(&mut state, &conflicting);
    let team = "a".parse().expect("valid");
    assert!(
        matches!(&answer, ChangeAnswer::Refused { kind, .. } if *kind == RefusalKind::ServiceHeld { team })
    );
    // After its holder drops the service, the other team may declare it.
    decide(&mut state, &change(3, 1, ChangeAction::Document(document("a", &["t"], 10))));
    let again = change(4, 0, ChangeAction::Document(document("b", &["s"], 10)));
    assert_eq!(decide(&mut state, &again), accepted(1));
    assert_eq!(state.verify(), Ok(()));
}

fn entry(name: &str, incarnation: u64) -> EntryInfo {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    EntryInfo {
        name: name.parse().expect("valid"),
        domain: "d".parse().expect("valid"),
        incarnation: EntryIncarnation(incarnation),
        caller_address: address,
        server_address: address,
        peer_address: address,
        operator_address: address,
        serving: true,
        owns_shards: true,
    }
}

#[test]
fn ranges_are_balanced_with_as_few_moves_as_possible() {
    let mut state = ClusterState::default();
    for name in ["a", "b", "c", "d"] {
        state.apply(LogTime(NOW_MS), &Command::PutEntry(entry(name, 1)));
        state.apply(LogTime(NOW_MS), &Command::BalanceRanges);
    }
    let count = |state: &ClusterState, name: &str| {
        state.view().ranges_of(&name.parse().expect("valid")).count()
    };
    for name in ["a", "b", "c", "d"] {
        assert_eq!(count(&state, name), 64, "{name}");
    }
    let remove = Command::RemoveEntry("d".parse().expect("valid"), EntryIncarnation(1));
    state.apply(LogTime(NOW_MS), &remove);
    let kept: Vec<_> = state.view().ranges_of(&"a".parse().expect("valid")).map(|r| r.0).collect();
    state.apply(LogTime(NOW_MS), &Command::BalanceRanges);
    let after: Vec<_> = state.view().ranges_of(&"a".parse().expect("valid")).map(|r| r.0).collect();
    assert!(
        kept.iter().all(|range| after.contains(range)),
        "a range moved although its owner remained"
    );
    assert_eq!(count(&state, "a") + count(&state, "b") + count(&state, "c"), 256);
    assert_eq!(state.verify(), Ok(()));
}

/// The removal of an entry may be decided after the entry has restarted.
#[test]
fn removal_of_a_previous_incarnation_keeps_the_restarted_entry() {
    let mut state = ClusterState::default();
    state.apply(LogTime(NOW_MS), &Command::PutEntry(entry("a", 1)));
    state.apply(LogTime(NOW_MS), &Command::PutEntry(entry("a", 2)));
    let stale = Command::RemoveEntry("a".parse().expect("valid"), EntryIncarnation(1));
    state.apply(LogTime(NOW_MS), &stale);
    assert!(state.view().entry(&"a".parse().expect("valid")).is_some());
}

fn key_at(time_ms: u64, number: u64) -> ClaimKey {
    let high = (time_ms as u128) << 80;
    let version = 0x7_u128 << 76;
    let variant = 0x2_u128 << 62;
    ClaimKey {
        service: "s".parse().expect("valid"),
        key: Uuid::from_u128(high | version | variant | u128::from(number)),
    }
}

fn claim_of(key: &ClaimKey, attempt: u128, digest: u32) -> ClaimRequest {
    ClaimRequest {
        key: key.clone(),
        digest,
        attempt: AttemptId(Uuid::from_u128(attempt)),
        entry: "e".parse().expect("valid"),
    }
}

fn claim(state: &mut ClusterState, time_ms: u64, request: ClaimRequest) -> ClaimAnswer {
    match state.apply(LogTime(time_ms), &Command::Claim(request)) {
        CommandAnswer::Claim(answer) => answer,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_claim_is_granted_to_one_attempt() {
    let mut state = ClusterState::default();
    let key = key_at(NOW_MS, 1);
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&key, 1, 7)), ClaimAnswer::Granted);
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&key, 1, 7)), ClaimAnswer::Granted, "repeated");
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&key, 2, 7)), ClaimAnswer::Held);
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&key, 2, 8)), ClaimAnswer::OtherRequest);
    let attempt = AttemptId(Uuid::from_u128(1));
    let result = ClaimResult { key: key.clone(), attempt, status: 201 };
    state.apply(LogTime(NOW_MS), &Command::Finish(result));
    let ran = ClaimAnswer::Ran { status: 201 };
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&key, 3, 7)), ran);
    let other = ClaimKey { service: "t".parse().expect("valid"), ..key };
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&other, 4, 7)), ClaimAnswer::Granted);
}

/// A claim that arrives after its release must not be granted to an attempt that has already ended.
#[test]
fn released_attempt_is_never_granted_even_if_the_release_arrives_first() {
    for release_first in [false, true] {
        let mut state = ClusterState::default();
        let key = key_at(NOW_MS, 1);
        let attempt = AttemptId(Uuid::from_u128(1));
        let release = Command::Release(ClaimRelease { key: key.clone(), attempt });
        if release_first {
            state.apply(LogTime(NOW_MS), &release);
        } else {
            claim(&mut state, NOW_MS, claim_of(&key, 1, 7));
            state.apply(LogTime(NOW_MS), &release);
        }
        assert_eq!(claim(&mut state, NOW_MS, claim_of(&key, 1, 7)), ClaimAnswer::Released);
        assert_eq!(claim(&mut state, NOW_MS, claim_of(&key, 2, 7)), ClaimAnswer::Granted);
        assert_eq!(claim(&mut state, NOW_MS, claim_of(&key, 1, 7)), ClaimAnswer::Released);
        assert_eq!(state.verify(), Ok(()));
    }
}

#[test]
fn claim_keys_too_old_too_new_or_not_uuidv7_are_refused() {
    let mut state = ClusterState::default();
    let old = key_at(NOW_MS - CLAIM_RETENTION_MS - 1, 1);
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&old, 1, 7)), ClaimAnswer::TooOld);
    let new = key_at(NOW_MS + CLOCK_SKEW_LIMIT_MS + 1, 1);
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&new, 1, 7)), ClaimAnswer::TooNew);
    let bad = ClaimKey { key: Uuid::from_u128(5), ..new };
    assert_eq!(claim(&mut state, NOW_MS, claim_of(&bad, 1, 7)), ClaimAnswer::BadKey);
    assert_eq!(state.claim_count(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(2), failure_persistence: None, ..ProptestConfig::default() })]

    /// Attempts claim, release and finish in any order, also after their claims have expired; up to
    /// 100 s pass between two commands. At most one attempt that is not released may be granted: a
    /// second one would run the request again.
    #[test]
    fn key_is_never_granted_to_two_attempts_that_both_send(
        steps in proptest::collection::vec((0..3_u64, 0..4_u128, 0..4_u8, 0..200_000_u64), 1..80)
    ) {
        let mut state = ClusterState::default();
        let mut time = NOW_MS;
        let mut sent: std::collections::BTreeMap<u64, u128> = Default::default();
        let mut released: std::collections::BTreeSet<(u64, u128)> = Default::default();
        for (number, attempt, action, pause) in steps {
            time += pause.saturating_sub(100_000);
            let key = key_at(NOW_MS, number);
            let id = AttemptId(Uuid::from_u128(attempt + 10 * u128::from(number)));
            match action {
                // An attempt claims the key and sends the request at once if granted.
                0 | 1 if !released.contains(&(number, attempt)) => {
                    let request = ClaimRequest { attempt: id, ..claim_of(&key, 0, 7) };
                    if claim(&mut state, time, request) == ClaimAnswer::Granted {
                        let first = *sent.entry(number).or_insert(attempt);
                        prop_assert_eq!(first, attempt, "two attempts sent");
                    }
                }
                // An attempt that has not sent the request releases its claim.
                2 if sent.get(&number) != Some(&attempt) => {
                    released.insert((number, attempt));
                    state.apply(LogTime(time), &Command::Release(ClaimRelease { key, attempt: id }));
                }
                3 if sent.get(&number) == Some(&attempt) => {
                    let result = ClaimResult { key, attempt: id, status: 200 };
                    state.apply(LogTime(time), &Command::Finish(result));
                }
                _ => {}
            }
            prop_assert_eq!(state.verify(), Ok(()));
        }
    }

    /// An entry that pulls updates at any time and from any version reaches the replicated view.
    #[test]
    fn updates_from_any_version_reach_the_same_view(
        steps in proptest::collection::vec((0..4_u8, 0..5_u64, any::<bool>()), 1..120)
    ) {
        let mut state = ClusterState::default();
        let mut view = state.view().clone();
        for (number, (action, which, pulls)) in steps.into_iter().enumerate() {
            let command = match action {
                0 => Command::PutEntry(entry(&format!("e{which}"), number as u64)),
                1 => Command::BalanceRanges,
                2 => {
                    let domain = format!("d{which}").parse().expect("valid");
                    let expected = state.view().drain_version(&domain).0;
                    Command::Change(change(number as u128, expected, ChangeAction::Drain(domain)))
                }
                _ => {
                    let team = format!("t{which}");
                    let team_document = document(&team, &[&format!("s{which}")], 5);
                    let expected = state.view().document_version(&team_document.team).0;
                    let action = ChangeAction::Document(team_document);
                    Command::Change(change(number as u128, expected, action))
                }
            };
            state.apply(LogTime(NOW_MS), &command);
            prop_assert_eq!(state.verify(), Ok(()));
            if pulls {
                let update = state.update_since(view.version);
                // Only an entry with an empty view is sent the whole view.
                let is_empty_view = view.version == hawthornhill_types::ViewVersion::default()
                    && state.view().version > view.version;
                let is_whole = matches!(update, ViewUpdate::Whole(_));
                prop_assert_eq!(is_whole, is_empty_view);
                view.update(update);
                prop_assert_eq!(&view, state.view());
            }
        }
        let mut fresh = hawthornhill_types::ClusterView::default();
        fresh.update(state.update_since(hawthornhill_types::ViewVersion(u64::MAX)));
        prop_assert_eq!(&fresh, state.view());
    }
}
