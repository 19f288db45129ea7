//! Entries whose links to servers are cut: when they relay requests, to whom, and what they may
//! conclude about servers.

use hawthornhill_policy::{
    BudgetLimits, CrashObservation, ReachLevel, RelayPause, RelayRecord, ServerReach, SharedBudget,
    is_better_placed, is_crash_proved,
};
use std::time::{Duration, Instant};

fn reach(reachable: usize, listed: usize) -> ServerReach {
    ServerReach { reachable, listed }
}

/// Pattern: links to some, most or all servers of a service are cut.
#[test]
fn reach_has_levels() {
    let cases = [
        (reach(12, 12), ReachLevel::Whole),
        (reach(9, 12), ReachLevel::Whole),
        (reach(8, 12), ReachLevel::Impaired),
        (reach(1, 12), ReachLevel::Impaired),
        (reach(0, 12), ReachLevel::Lost),
        (reach(0, 1), ReachLevel::Lost),
        (reach(0, 0), ReachLevel::Whole),
    ];
    for (reach, level) in cases {
        assert_eq!(reach.level(), level, "{reach:?}");
    }
}

/// Pattern: servers have crashed, so that all entries reach equally few. Guards against entries that
/// pass requests to each other though none has more servers.
#[test]
fn request_is_relayed_only_to_an_entry_that_reaches_clearly_more() {
    let cases = [
        (reach(0, 12), reach(12, 12), true),
        (reach(0, 12), reach(3, 12), true),
        (reach(0, 12), reach(0, 12), false),
        (reach(0, 12), reach(0, 0), false),
        (reach(4, 12), reach(4, 12), false),
        (reach(4, 12), reach(6, 12), false),
        (reach(4, 12), reach(8, 12), true),
        (reach(8, 12), reach(4, 12), false),
    ];
    for (own, theirs, expected) in cases {
        assert_eq!(is_better_placed(own, theirs), expected, "{own:?}, {theirs:?}");
    }
}

/// Pattern: a whole failure domain is cut off. Entries outside of it are asked first once those
/// inside were of no use, until the cut may have ended.
#[test]
fn entry_that_was_of_no_use_is_asked_last_for_a_while() {
    let start = Instant::now();
    let (mut local, remote) = (RelayRecord::default(), RelayRecord::default());
    assert!(local.rank(start, false) < remote.rank(start, true));
    local.record(start, false);
    assert!(local.rank(start, false) > remote.rank(start, true));
    let later = start + Duration::from_secs(3);
    assert!(local.rank(later, false) < remote.rank(later, true));
    local.record(later, false);
    local.record(later, true);
    assert!(local.rank(later, false) < remote.rank(later, true));
}

/// Pattern: all servers of a service are gone. Guards against asking other entries at each request.
#[test]
fn fruitless_search_is_not_repeated_at_once() {
    let start = Instant::now();
    let mut pause = RelayPause::default();
    assert!(!pause.is_active(start));
    pause.record_fruitless(start);
    assert!(pause.is_active(start + Duration::from_millis(100)));
    assert!(!pause.is_active(start + Duration::from_millis(400)));
}

/// Returns the observation of an entry that did not reach the server; `sample` has `1` for each
/// other server that it reached.
fn not_reached(sample: &str) -> CrashObservation {
    let reached_sample = sample.chars().map(|reached| reached == '1').collect();
    CrashObservation { reached_server: false, reached_sample }
}

/// Pattern: requests are lost with links of entries, or with servers that crash. Guards against a
/// finding that only a lost link supports, and against none while most servers have crashed.
#[test]
fn crash_needs_entries_that_have_paths_and_none_that_reaches_the_server() {
    let cases: [(&str, &[&str], bool, &str); 11] = [
        ("1111", &["1111", "1101"], true, "one server has crashed"),
        ("1000", &["1000", "1000", "1000"], true, "most servers have crashed"),
        ("0000", &["0000", "0000"], true, "all servers have crashed"),
        ("0000", &["0000"], false, "two entries may share a cut"),
        ("0000", &["1111", "1111"], true, "the entry is cut off, others see the crash"),
        ("0000", &["1111", "0000", "0000"], false, "all entries but one are cut off"),
        (
            "1111",
            &["1111", "1111", "0000", "0000", "0000"],
            true,
            "half of the entries are cut off",
        ),
        ("1000", &["0100", "0000", "0000"], false, "few links are left"),
        ("1000", &["0100", "0010", "0001"], false, "each entry has lost most links"),
        ("1100", &[], true, "no other entry answers"),
        ("0000", &[], false, "no other entry answers, and no server"),
    ];
    for (own, others, expected, case) in cases {
        let mut others: Vec<CrashObservation> = others.iter().map(|o| not_reached(o)).collect();
        assert_eq!(is_crash_proved(&not_reached(own), &others), expected, "{case}");
        others.push(CrashObservation { reached_server: true, ..not_reached("1111") });
        assert!(!is_crash_proved(&not_reached(own), &others), "{case}, but one reaches the server");
    }
}

/// Pattern: many entries are cut off and relay all their requests. Guards against a retry budget
/// that counts relayed requests twice.
#[test]
fn relayed_request_counts_in_one_share_of_the_retry_budget() {
    let (now, limits) = (Instant::now(), BudgetLimits { slack: 0, ..BudgetLimits::default() });
    let (mut sender, mut receiver) = (SharedBudget::default(), SharedBudget::default());
    for _ in 0..100 {
        sender.record_request(now, &limits);
        if sender.hand_over_request(now, &limits, 2) {
            receiver.record_request(now, &limits);
        }
    }
    assert!(!sender.hand_over_request(now, &limits, 2), "no request is left");
    let granted = |budget: &mut SharedBudget| {
        (0..100).filter(|_| budget.take(now, &limits, 2)).count() as f64
    };
    let total = granted(&mut sender) + granted(&mut receiver);
    assert!(total > 0.0 && total <= limits.ratio * 100.0, "{total} retries");
}

/// Guards against an entry that hands over requests on which its own retries rest.
#[test]
fn request_that_allowed_a_retry_stays_in_its_share() {
    let (now, limits) = (Instant::now(), BudgetLimits { slack: 0, ..BudgetLimits::default() });
    let mut budget = SharedBudget::default();
    (0..10).for_each(|_| budget.record_request(now, &limits));
    assert!(budget.take(now, &limits, 1));
    let handed_over = (0..10).filter(|_| budget.hand_over_request(now, &limits, 1)).count();
    assert_eq!(handed_over, 3, "7 of 10 requests allow one retry");
}
