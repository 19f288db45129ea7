//! Requests that crash the servers which run them, and those that only were in progress beside
//! them.

use hawthornhill_types::{
    BLOCKING_CRASHES, ClusterState, Command, CrashLedger, CrashReport, HeadHash, LogTime,
    QUARANTINE_MS, QuarantineStage, RequestFingerprint, RequestReport, ServerIncarnation,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::collections::{BTreeMap, BTreeSet};

fn request(number: u64) -> RequestFingerprint {
    let target = format!("/x/{number}");
    RequestFingerprint::new(HeadHash::new("GET", "a.example", &target, 0), b"")
}

fn crash(request: RequestFingerprint, server: u64, incarnation: u64) -> CrashReport {
    let server = format!("s{server}").parse().expect("name");
    CrashReport { request, server, incarnation: ServerIncarnation(incarnation) }
}

/// Guards against a request that is blocked for one server's end which several entries report, or
/// which one entry reports again, and against one that is never blocked.
#[test]
fn request_is_blocked_once_three_servers_have_ended_under_it() {
    let mut ledger = CrashLedger::default();
    let suspect = request(1);
    for _ in 0..5 {
        ledger.record_crash(LogTime(1), &crash(suspect, 1, 1));
        ledger.record_crash(LogTime(1), &crash(suspect, 2, 1));
    }
    assert_eq!(ledger.stage(&suspect), Some(QuarantineStage::Suspected));
    let changes = ledger.record_crash(LogTime(2), &crash(suspect, 2, 2));
    assert_eq!(changes, [(suspect, Some(QuarantineStage::Blocked))]);
    assert!(ledger.record_crash(LogTime(3), &crash(suspect, 3, 1)).is_empty());
    assert_eq!(ledger.record_answer(&suspect), None, "a blocked request stays blocked");
    assert!(ledger.expire(LogTime(2 + QUARANTINE_MS)).is_empty());
    assert_eq!(ledger.expire(LogTime(3 + QUARANTINE_MS)), [(suspect, None)]);
    assert_eq!(ledger.stage(&suspect), None);
}

/// Pattern: the same request comes from many callers all the time, while servers crash by
/// themselves. Guards against blocking a request that servers answer.
#[test]
fn answered_request_is_no_suspect() {
    let mut ledger = CrashLedger::default();
    let popular = request(1);
    for number in 0..20 {
        ledger.record_crash(LogTime(number), &crash(popular, number, 1));
        ledger.record_crash(LogTime(number), &crash(popular, number, 2));
        assert_eq!(ledger.stage(&popular), Some(QuarantineStage::Suspected));
        assert_eq!(ledger.record_answer(&popular), Some((popular, None)));
    }
}

/// Pattern: a request crashes one server after the other, each with others in progress, which are
/// lost and come back. Guards against blocking those in place of the culprit, or before it.
#[test]
fn bystanders_of_a_fatal_request_are_not_blocked() {
    let fatal = request(0);
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut ledger = CrashLedger::default();
        let mut losses: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        let mut next_request = 1;
        // In the second half, the culprit is blocked; copies of it that were on their way still
        // run.
        for server in 1..=2 * BLOCKING_CRASHES as u64 {
            let mut reports = vec![crash(fatal, server, 1)];
            for _ in 0..2 {
                let is_sent = |number: &u64| {
                    ledger.stage(&request(*number)) != Some(QuarantineStage::Blocked)
                };
                let lost: Vec<u64> = losses.keys().copied().filter(is_sent).collect();
                let number = match lost.choose(&mut random) {
                    Some(number) if random.random_bool(0.5) => *number,
                    _ => next_request,
                };
                next_request += 1;
                losses.entry(number).or_default().insert(server);
                reports.push(crash(request(number), server, 1));
            }
            // Reports of one crash come from different entries, in any order.
            reports.rotate_left(random.random_range(0..3));
            for report in &reports {
                ledger.record_crash(LogTime(server), report);
            }
            // One that was lost at the same servers and is reported first delays it by one server.
            let is_blocked = ledger.stage(&fatal) == Some(QuarantineStage::Blocked);
            assert!(is_blocked || server <= BLOCKING_CRASHES as u64, "seed {seed}");
            assert!(!is_blocked || server >= BLOCKING_CRASHES as u64, "seed {seed}");
        }
        for (number, servers) in losses {
            // Nothing tells a request from the culprit that was lost at the same servers as it.
            let is_alike = servers.is_superset(&(1..=BLOCKING_CRASHES as u64).collect());
            let is_blocked = ledger.stage(&request(number)) == Some(QuarantineStage::Blocked);
            assert!(!is_blocked || is_alike, "seed {seed}: lost at {servers:?}");
        }
    }
}

/// Guards against a quarantine that grows without bound while a failure domain crashes.
#[test]
fn quarantine_is_bounded_and_keeps_what_is_blocked() {
    let mut state = ClusterState::default();
    let fatal = request(0);
    let blocked = (1..=3).map(|server| crash(fatal, server, 1)).collect();
    let report =
        |crashes| Command::ReportRequests(RequestReport { crashes, ..RequestReport::default() });
    state.apply(LogTime(1), &report(blocked));
    for number in 1..2_000 {
        state.apply(LogTime(1 + number), &report(vec![crash(request(number), 10 + number, 1)]));
    }
    let quarantine = state.view().quarantine();
    assert!(quarantine.len() <= 256, "{} requests", quarantine.len());
    assert_eq!(quarantine.get(&fatal), Some(&QuarantineStage::Blocked));
}

/// Guards against entries that miss a change of the quarantine, or keep a request in it for good.
#[test]
fn changes_of_the_quarantine_reach_the_views_of_entries() {
    let mut state = ClusterState::default();
    let mut view = state.view().clone();
    let (first, second) = (request(1), request(2));
    let crashes =
        vec![crash(first, 1, 1), crash(first, 2, 1), crash(first, 3, 1), crash(second, 4, 1)];
    let reports = [
        RequestReport { crashes, ..RequestReport::default() },
        RequestReport { answered: vec![second], ..RequestReport::default() },
    ];
    let stages: Vec<BTreeSet<_>> = reports
        .map(|report| {
            let since = view.version;
            state.apply(LogTime(1), &Command::ReportRequests(report));
            view.update(state.update_since(since));
            assert_eq!(&view, state.view());
            view.quarantine().keys().copied().collect()
        })
        .into();
    assert_eq!(stages, [BTreeSet::from([first, second]), BTreeSet::from([first])]);
    state.apply(LogTime(2 + QUARANTINE_MS), &Command::BalanceRanges);
    assert!(state.view().quarantine().is_empty());
}
