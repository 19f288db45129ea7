//! Placing under load: which server, who waits, who is refused, when to come back. Each test names
//! the pattern that it answers.

use hawthornhill_policy::{
    BudgetTerms, COLD_OWNERS, CallerPatience, ColdAllowance, PlacementCandidate, PlacementNeed,
    RoomNeed, RoomOutlook, ServerLoad, SharedBudget, UsualWork, WaitRank, WaitingLine,
    cheapest_candidate, owns_cold_server, plan_return,
};
use std::time::{Duration, Instant};
use types::EntryName;

const NEED: PlacementNeed = PlacementNeed {
    usual_work: Duration::from_millis(120),
    target: Duration::from_millis(300),
    room: RoomNeed::Within(Duration::from_millis(300)),
};

fn load(running: u32, waiting: u32, slowness_percent: u32) -> ServerLoad {
    ServerLoad { running, waiting, slots: 3, slowness_percent }
}

fn local(load: ServerLoad) -> PlacementCandidate {
    PlacementCandidate { load, is_local: true, is_cold: false, is_ill: false, failure_share: 0.0 }
}

fn remote(load: ServerLoad) -> PlacementCandidate {
    PlacementCandidate { is_local: false, ..local(load) }
}

#[test]
fn noisy_neighbour_makes_a_server_lose_to_a_remote_one_that_is_usual() {
    let candidates = [local(load(0, 0, 400)), remote(load(1, 0, 100))];
    assert!(!candidates[0].is_good_enough(&NEED));
    assert_eq!(cheapest_candidate(&candidates, &NEED), Some(1));
}

#[test]
fn equal_servers_are_chosen_in_the_own_domain() {
    let candidates = [remote(load(0, 0, 100)), local(load(1, 0, 100))];
    assert_eq!(cheapest_candidate(&candidates, &NEED), Some(1));
    assert!(candidates[1].is_good_enough(&NEED));
}

#[test]
fn one_slow_server_is_left_to_requests_that_have_missed_their_target() {
    let candidates = [local(load(3, 3, 100)), local(load(0, 0, 400)), remote(load(3, 4, 100))];
    assert_eq!(cheapest_candidate(&candidates, &NEED), None);
    let late = PlacementNeed { room: RoomNeed::SpareSlot, ..NEED };
    assert_eq!(cheapest_candidate(&candidates, &late), Some(1));
}

#[test]
fn burst_that_fills_all_servers_gets_none() {
    let candidates = [local(load(3, 3, 100)), remote(load(3, 6, 100))];
    assert_eq!(cheapest_candidate(&candidates, &NEED), None);
}

#[test]
fn burst_does_not_queue_at_servers_beyond_the_target() {
    // From the queue the answer would take 120 ms * 1.7 * 4/3 = 272 ms, or with two ahead 340 ms.
    assert_eq!(cheapest_candidate(&[local(load(3, 0, 100))], &NEED), Some(0));
    assert_eq!(cheapest_candidate(&[local(load(3, 1, 100))], &NEED), None);
    let half_used = PlacementNeed::within(NEED.usual_work, NEED.target, NEED.target / 2);
    assert_eq!(cheapest_candidate(&[local(load(3, 0, 100))], &half_used), None);
    assert_eq!(cheapest_candidate(&[local(load(0, 0, 100))], &half_used), Some(0));
}

#[test]
fn work_that_never_meets_its_target_is_placed_all_the_same() {
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
fn ill_server_is_used_when_nothing_else_is_left() {
    let ill = PlacementCandidate { is_ill: true, ..local(load(0, 0, 100)) };
    assert!(!ill.is_good_enough(&NEED));
    assert_eq!(cheapest_candidate(&[ill, local(load(0, 0, 100))], &NEED), Some(1));
    assert_eq!(cheapest_candidate(&[ill], &NEED), Some(0));
}

#[test]
fn recovery_flood_leaves_a_slot_for_requests_that_can_still_meet_their_target() {
    let late = PlacementNeed { room: RoomNeed::SpareSlot, ..NEED };
    assert_eq!(cheapest_candidate(&[local(load(1, 0, 100))], &late), Some(0));
    assert_eq!(cheapest_candidate(&[local(load(2, 0, 100))], &late), None);
    assert_eq!(cheapest_candidate(&[local(load(2, 0, 100))], &NEED), Some(0));
    let two_slots = ServerLoad { slots: 2, ..load(0, 0, 100) };
    assert_eq!(cheapest_candidate(&[local(two_slots)], &late), Some(0));
}

#[test]
fn recovery_flood_is_served_freshest_first() {
    let now = Instant::now();
    let rank = |is_late, priority, ms| WaitRank {
        is_late,
        priority,
        arrived: now + Duration::from_millis(ms),
    };
    let mut line = WaitingLine::default();
    let late = line.join(rank(true, 1, 0), "late");
    let second = line.join(rank(false, 2, 5), "second");
    let first = line.join(rank(false, 2, 3), "first");
    let urgent = line.join(rank(false, 1, 9), "urgent");
    for (ticket, name) in [(urgent, "urgent"), (first, "first"), (second, "second"), (late, "late")]
    {
        assert!(line.is_first(ticket), "{name}");
        assert_eq!(line.first(), Some(&name));
        assert_eq!(line.leave(ticket), Some(name));
    }
    assert!(line.is_empty());
    assert_eq!(line.leave(late), None);
}

#[test]
fn retrying_caller_is_recognised_by_the_wait_that_it_has_left() {
    let now = Instant::now();
    let mut patience = CallerPatience::default();
    assert_eq!(patience.note(now, Duration::from_millis(2_500)), Duration::ZERO);
    let left = Duration::from_millis(1_900);
    assert_eq!(patience.note(now, left), Duration::from_millis(400));
    // Callers that start with a little less patience have not waited before.
    assert_eq!(patience.note(now, Duration::from_millis(2_100)), Duration::ZERO);
    // A wait that is stated no longer is forgotten.
    assert_eq!(patience.note(now + Duration::from_secs(61), left), Duration::ZERO);
}

#[test]
fn retry_storm_stays_within_the_budget_of_all_entries() {
    let terms = BudgetTerms { ratio: 0.2, slack: 62, window: Duration::from_secs(10) };
    let start = Instant::now();
    let (entries, requests_a_second) = (18, 6);
    let mut budget = SharedBudget::default();
    let mut granted = Vec::new();
    for millis in 0..60_000_u64 {
        let now = start + Duration::from_millis(millis);
        if millis % (1_000 / requests_a_second) == 0 {
            budget.note_request(now, &terms);
        }
        // Every request would be repeated ten times.
        if millis % 16 == 0 && budget.take(now, &terms, entries) {
            granted.push(now);
        }
    }
    for (index, first) in granted.iter().enumerate() {
        let within = granted[index..].iter().filter(|time| **time - *first <= terms.window);
        let allowed = 0.2 * 60.0 + 62.0 / entries as f64;
        assert!(within.count() as f64 <= allowed);
    }
    assert!(granted.len() > 30, "the budget is used");
}

#[test]
fn zone_returning_cold_is_owned_by_few_entries_and_kept_to_its_rate() {
    let entries: Vec<EntryName> =
        (0..18).map(|n| format!("entry-{n}").parse().expect("a name")).collect();
    let start = Instant::now();
    for number in 0..20 {
        let server = format!("server-{number}").parse().expect("a name");
        let owners: Vec<_> =
            entries.iter().filter(|e| owns_cold_server(e, entries.iter(), &server)).collect();
        assert_eq!(owners.len(), COLD_OWNERS);
        let mut allowances = vec![ColdAllowance::default(); owners.len()];
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
            let second =
                sent.iter().filter(|t| *t >= first && **t - *first < Duration::from_secs(1));
            // Stated bound: rate * 1.5 + 5 in any second.
            assert!(second.count() <= 12);
        }
        assert!(sent.len() >= 10, "the rate is used: {}", sent.len());
    }
}

#[test]
fn callers_refused_together_do_not_return_together() {
    let until_room = Duration::from_millis(120);
    assert_eq!(plan_return(RoomOutlook::After(until_room), 0.0), until_room);
    assert_eq!(plan_return(RoomOutlook::After(until_room), 1.0), 2 * until_room);
    assert!(plan_return(RoomOutlook::After(Duration::ZERO), 0.0) > Duration::ZERO);
    assert!(
        plan_return(RoomOutlook::After(Duration::from_secs(60)), 1.0) <= Duration::from_secs(2)
    );
}

/// An entry that sees one request a second must not take a slow spell for the usual time.
#[test]
fn noisy_neighbour_does_not_move_the_usual_time_of_work() {
    let mut usual = UsualWork::new(Duration::from_millis(120));
    for round in 0..200_u32 {
        // One answer in four takes four times as long.
        let millis = if round % 4 == 0 { 480 } else { 100 + u64::from(round % 7) * 5 };
        usual.note(Duration::from_millis(millis));
        let estimate = usual.get().as_millis();
        assert!((95..=150).contains(&estimate), "{estimate} ms after {round}");
    }
    // A lasting change is followed.
    (0..60).for_each(|_| usual.note(Duration::from_millis(300)));
    assert_eq!(usual.get(), Duration::from_millis(300));
}

/// Servers that shed a share of what they get at random, with free slots: a caller that comes back at
/// once finds room within its target; one that waits for a slot to become free is late.
#[test]
fn caller_shed_by_a_server_with_room_comes_back_at_once() {
    for draw in [0.0, 0.5, 1.0] {
        let wait = plan_return(RoomOutlook::Now, draw);
        assert!(wait > Duration::ZERO && wait <= Duration::from_millis(100), "{wait:?}");
    }
}
