//! Load that meets an entry right after its start: everything lost power, and all callers are back
//! before the first view.

use hawthornhill_policy::FirstRoutesTerms;
use std::time::{Duration, Instant};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn requests_after_a_loss_of_power_wait_while_routes_are_expected() {
    let (terms, started) = (FirstRoutesTerms::default(), Instant::now());
    let early = terms.wait_until(started, started + ms(100), None);
    assert_eq!(early, Some(started + ms(100) + terms.max_wait));
    let last = started + terms.expected_within - ms(50);
    assert_eq!(terms.wait_until(started, last, None), Some(last + ms(50)));
}

#[test]
fn requests_are_refused_at_once_when_the_replicas_stay_away() {
    let (terms, started) = (FirstRoutesTerms::default(), Instant::now());
    assert_eq!(terms.wait_until(started, started + terms.expected_within, None), None);
    assert_eq!(terms.wait_until(started, started + ms(60_000), None), None);
}

#[test]
fn impatient_caller_keeps_half_of_its_time_for_another_entry() {
    let (terms, started) = (FirstRoutesTerms::default(), Instant::now());
    let until = terms.wait_until(started, started, Some(ms(200)));
    assert_eq!(until, Some(started + ms(100)));
    assert_eq!(terms.wait_until(started, started, Some(Duration::ZERO)), None);
}
