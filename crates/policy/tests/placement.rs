//! Placement under load: choice of server, order of waiting requests, refusals and backoff. The
//! name of each test says which load pattern or fault it covers.

use hawthornhill_policy::{
    BudgetLimits, CallerTimeouts, CapacityForecast, CapacityNeed, ColdAllowance,
    PlacementCandidate, PlacementNeed, ServerLoad, ServiceTime, SharedBudget, WARM_UP_ENTRIES,
    WaitQueue, WaitRank, cheapest_candidate, is_warm_up_entry, retry_delay,
};
use std::time::{Duration, Instant};
use types::EntryName;

const NEED: PlacementNeed = PlacementNeed {
    service_time: Duration::from_millis(120),
    target: Duration::from_millis(300),
    capacity: CapacityNeed::Within(Duration::from_millis(300)),
};

fn load(running: u32, waiting: u32, slowness_percent: u32) -> ServerLoad {
    ServerLoad { running, waiting, slots: 3, slowness_percent }
}

fn local(load: ServerLoad) -> PlacementCandidate {
    PlacementCandidate {
        load,
        is_local: true,
        is_cold: false,
        is_unhealthy: false,
        failure_share: 0.0,
    }
}

fn remote(load: ServerLoad) -> PlacementCandidate {
    PlacementCandidate { is_local: false, ..local(load) }
}

#[test]
fn server_with_a_noisy_neighbour_loses_to_a_remote_one_at_usual_speed() {
    let candidates = [local(load(0, 0, 400)), remote(load(1, 0, 100))];
    assert!(!candidates[0].is_good_enough(&NEED));
    assert_eq!(cheapest_candidate(&candidates, &NEED), Some(1));
}

#[test]
fn local_server_is_preferred_over_a_similar_remote_one() {
    let candidates = [remote(load(0, 0, 100)), local(load(1, 0, 100))];
    assert_eq!(cheapest_candidate(&candidates, &NEED), Some(1));
    assert!(candidates[1].is_good_enough(&NEED));
}

#[test]
fn slow_server_gets_only_requests_that_have_missed_their_target() {
    let candidates = [local(load(3, 3, 100)), local(load(0, 0, 400)), remote(load(3, 4, 100))];
    assert_eq!(cheapest_candidate(&candidates, &NEED), None);
    let late = PlacementNeed { capacity: CapacityNeed::SpareSlot, ..NEED };
    assert_eq!(cheapest_candidate(&candidates, &late), Some(1));
}

#[test]
fn burst_that_fills_all_servers_is_not_placed() {
    let candidates = [local(load(3, 3, 100)), remote(load(3, 6, 100))];
    assert_eq!(cheapest_candidate(&candidates, &NEED), None);
}

#[test]
fn burst_does_not_queue_at_a_server_beyond_the_target() {
    // Expected completion: 120 ms * 1.7 * 4/3 = 272 ms with an empty queue, 340 ms behind one
    // waiting request.
    assert_eq!(cheapest_candidate(&[local(load(3, 0, 100))], &NEED), Some(0));
    assert_eq!(cheapest_candidate(&[local(load(3, 1, 100))], &NEED), None);
    let half_used = PlacementNeed::within(NEED.service_time, NEED.target, NEED.target / 2);
    assert_eq!(cheapest_candidate(&[local(load(3, 0, 100))], &half_used), None);
    assert_eq!(cheapest_candidate(&[local(load(0, 0, 100))], &half_used), Some(0));
}

#[test]
fn work_longer_than_its_target_is_still_placed() {
    let work = Duration::from_millis(500);
    let need = PlacementNeed::within(work, NEED.target, NEED.target);
    assert_eq!(cheapest_candidate(&[local(load(2, 0, 100))], &need), Some(0));
}

#[test]
fn failing_server_with_a_good_health_report_is_avoided() {
    let failing = PlacementCandidate { failure_share: 0.6, ..local(load(0, 0, 100)) };
    assert!(!failing.is_good_enough(&NEED));
    assert_eq!(cheapest_candidate(&[failing, remote(load(1, 0, 100))], &NEED), Some(1));
}

#[test]
fn server_with_a_bad_health_report_is_used_as_a_last_resort() {
    let unhealthy = PlacementCandidate { is_unhealthy: true, ..local(load(0, 0, 100)) };
    assert!(!unhealthy.is_good_enough(&NEED));
    assert_eq!(cheapest_candidate(&[unhealthy, local(load(0, 0, 100))], &NEED), Some(1));
    assert_eq!(cheapest_candidate(&[unhealthy], &NEED), Some(0));
}

#[test]
fn late_requests_after_an_outage_leave_a_slot_for_those_within_their_target() {
    let late = PlacementNeed { capacity: CapacityNeed::SpareSlot, ..NEED };
    assert_eq!(cheapest_candidate(&[local(load(1, 0, 100))], &late), Some(0));
    assert_eq!(cheapest_candidate(&[local(load(2, 0, 100))], &late), None);
    assert_eq!(cheapest_candidate(&[local(load(2, 0, 100))], &NEED), Some(0));
    let two_slots = ServerLoad { slots: 2, ..load(0, 0, 100) };
    assert_eq!(cheapest_candidate(&[local(two_slots)], &late), Some(0));
}

#[test]
fn backlog_after_an_outage_serves_late_requests_last() {
    let now = Instant::now();
    let rank = |is_late, priority, ms| WaitRank {
        is_late,
        priority,
        arrived: now + Duration::from_millis(ms),
    };
    let mut queue = WaitQueue::default();
    let late = queue.push(rank(true, 1, 0), "late");
    let second = queue.push(rank(false, 2, 5), "second");
    let first = queue.push(rank(false, 2, 3), "first");
    let urgent = queue.push(rank(false, 1, 9), "urgent");
    for (ticket, name) in [(urgent, "urgent"), (first, "first"), (second, "second"), (late, "late")]
    {
        assert!(queue.is_first(ticket), "{name}");
        assert_eq!(queue.first(), Some(&name));
        assert_eq!(queue.remove(ticket), Some(name));
    }
    assert!(queue.is_empty());
    assert_eq!(queue.remove(late), None);
}

#[test]
fn retrying_caller_is_recognized_by_its_shorter_timeout() {
    let now = Instant::now();
    let mut timeouts = CallerTimeouts::default();
    assert_eq!(timeouts.record(now, Duration::from_millis(2_500)), Duration::ZERO);
    let left = Duration::from_millis(1_900);
    assert_eq!(timeouts.record(now, left), Duration::from_millis(400));
    // A slightly shorter timeout is within the spread of initial timeouts: a first attempt.
    assert_eq!(timeouts.record(now, Duration::from_millis(2_100)), Duration::ZERO);
    // The longest timeout expires if no caller states it for more than 60 s.
    assert_eq!(timeouts.record(now + Duration::from_secs(61), left), Duration::ZERO);
}

#[test]
fn retry_storm_stays_within_the_budget_of_all_entries() {
    let limits = BudgetLimits { ratio: 0.2, slack: 62, window: Duration::from_secs(10) };
    let start = Instant::now();
    let (entries, requests_a_second) = (18, 6);
    let mut budget = SharedBudget::default();
    let mut granted = Vec::new();
    for millis in 0..60_000_u64 {
        let now = start + Duration::from_millis(millis);
        if millis % (1_000 / requests_a_second) == 0 {
            budget.record_request(now, &limits);
        }
        // Tries to retry each request about ten times: 62.5 retries to 6 requests per second.
        if millis % 16 == 0 && budget.take(now, &limits, entries) {
            granted.push(now);
        }
    }
    for (index, first) in granted.iter().enumerate() {
        let within = granted[index..].iter().filter(|time| **time - *first <= limits.window);
        let allowed = 0.2 * 60.0 + 62.0 / entries as f64;
        assert!(within.count() as f64 <= allowed);
    }
    assert!(granted.len() > 30, "the budget is used");
}

#[test]
fn cold_servers_of_a_restarted_domain_have_few_warm_up_entries_and_keep_their_rate() {
    let entries: Vec<EntryName> =
        (0..18).map(|n| format!("entry-{n}").parse().expect("a name")).collect();
    let start = Instant::now();
    for number in 0..20 {
        let server = format!("server-{number}").parse().expect("a name");
        let chosen: Vec<_> =
            entries.iter().filter(|e| is_warm_up_entry(e, entries.iter(), &server)).collect();
        assert_eq!(chosen.len(), WARM_UP_ENTRIES);
        let mut allowances = vec![ColdAllowance::default(); chosen.len()];
        let mut sent = Vec::new();
        for millis in 0..3_000 {
            let now = start + Duration::from_millis(millis);
            for allowance in &mut allowances {
                if allowance.take(now, 5_200) {
                    sent.push(now);
                }
            }
        }
        for first in &sent {
            let within_a_second =
                sent.iter().filter(|t| *t >= first && **t - *first < Duration::from_secs(1));
            // Required bound: rate * 1.5 + 5 in any second, which is 12.8 at 5.2 requests per
            // second.
            assert!(within_a_second.count() <= 12);
        }
        assert!(sent.len() >= 10, "the rate is used: {}", sent.len());
    }
}

#[test]
fn callers_refused_together_do_not_retry_together() {
    let until_capacity = Duration::from_millis(120);
    assert_eq!(retry_delay(CapacityForecast::After(until_capacity), 0.0), until_capacity);
    assert_eq!(retry_delay(CapacityForecast::After(until_capacity), 1.0), 2 * until_capacity);
    assert!(retry_delay(CapacityForecast::After(Duration::ZERO), 0.0) > Duration::ZERO);
    assert!(
        retry_delay(CapacityForecast::After(Duration::from_secs(60)), 1.0)
            <= Duration::from_secs(2)
    );
}

/// Guards against an entry that takes a short series of slow answers for the usual service time, as
/// it may with about one request a second.
#[test]
fn noisy_neighbour_does_not_move_the_usual_service_time() {
    let mut usual = ServiceTime::new(Duration::from_millis(120));
    for round in 0..200_u32 {
        // One answer in four takes four times as long.
        let millis = if round % 4 == 0 { 480 } else { 100 + u64::from(round % 7) * 5 };
        usual.record(Duration::from_millis(millis));
        let estimate = usual.get().as_millis();
        assert!((95..=150).contains(&estimate), "{estimate} ms after {round}");
    }
    // The estimate follows a lasting change.
    (0..60).for_each(|_| usual.record(Duration::from_millis(300)));
    assert_eq!(usual.get(), Duration::from_millis(300));
}

/// Guards against servers that shed some requests at random while they have free slots: a caller
/// that retries immediately still meets its target; one that waits for a slot to become free is
/// late.
#[test]
fn caller_shed_by_a_server_with_free_slots_retries_immediately() {
    for jitter in [0.0, 0.5, 1.0] {
        let wait = retry_delay(CapacityForecast::Now, jitter);
        assert!(wait > Duration::ZERO && wait <= Duration::from_millis(100), "{wait:?}");
    }
}
