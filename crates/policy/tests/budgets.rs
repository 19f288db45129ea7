//! Limits over time: retry and probe budgets, the warm-up ramp and the freshness gate.

use hawthornhill_policy::{FreshnessGate, ProbeBudget, RetryBudget, WarmUpRamp};
use proptest::prelude::*;
use std::time::{Duration, Instant};

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a burst of failures that causes too many retries. Counted from the creation
    /// of a budget, retries exceed their percentage of the requests by at most the one attempt that
    /// a new budget holds.
    #[test]
    fn retries_stay_within_their_percentage(percent in 0..=100_u8, requests in 1..5_000_u32) {
        let mut budget = RetryBudget::new(percent);
        let mut granted = 0;
        for _ in 0..requests {
            budget.record_request();
            granted += u32::from(budget.take());
        }
        prop_assert!(granted * 100 <= requests * u32::from(percent) + 100);
    }

    /// Guards against too many probes after a change of shard owner, which starts a new budget: the
    /// probes of one server must not exceed the rate in any window of a minute.
    #[test]
    fn probes_stay_within_their_rate_when_the_owner_changes(
        rate in 1..600_u16, changes in proptest::collection::vec(0..60_000_u64, 0..8)
    ) {
        let start = Instant::now();
        let mut budget = ProbeBudget::new(rate, start);
        let mut probes = Vec::new();
        for ms in (0..120_000).step_by(7) {
            let now = start + Duration::from_millis(ms);
            if changes.iter().any(|change| change / 7 == ms / 7) {
                budget = ProbeBudget::new(rate, now);
            }
            if budget.take(now) {
                probes.push(ms);
            }
        }
        for window in probes.windows(usize::from(rate) + 1) {
            let span = window[window.len() - 1] - window[0];
            prop_assert!(span >= 60_000 - 60, "{} probes in {span} ms", window.len());
        }
    }
}

#[test]
fn ramp_reaches_all_slots_and_starts_over_after_a_failure() {
    let mut ramp = WarmUpRamp::new(1, 3);
    let mut successes = 0;
    while !ramp.record_success() {
        successes += 1;
        assert!(successes < 100, "the ramp never reaches all slots");
    }
    assert_eq!(ramp.limit(), 3);
    assert!(successes <= 24);
    ramp.record_failure();
    assert_eq!(ramp.limit(), 1);
    let mut large = WarmUpRamp::new(1, 256);
    let successes = (0..1_000).take_while(|_| !large.record_success()).count();
    assert!(successes < 150, "{successes} successes to reach 256 slots");
}

#[test]
fn freshness_gate_closes_two_seconds_after_the_confirming_request_was_sent() {
    let start = Instant::now();
    let gate = FreshnessGate::new(start);
    let at = |ms| start + Duration::from_millis(ms);
    assert!(!gate.is_open(at(0)), "closed before the first confirmation");
    gate.confirm(at(1_000));
    gate.confirm(at(500));
    assert!(gate.is_open(at(2_999)));
    assert!(!gate.is_open(at(3_000)));
    gate.confirm(at(4_000));
    assert!(gate.is_open(at(5_999)));
}
