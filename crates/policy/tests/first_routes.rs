//! Requests that reach an entry before its first view, for example after a power loss that restarts
//! all processes while callers keep sending.

use hawthornhill_policy::StartupWait;
use std::time::{Duration, Instant};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn requests_after_a_power_loss_wait_while_routes_are_expected() {
    let (wait, started) = (StartupWait::default(), Instant::now());
    let early = wait.wait_until(started, started + ms(100), None);
    assert_eq!(early, Some(started + ms(100) + wait.max_wait));
    let last = started + wait.expected_within - ms(50);
    assert_eq!(wait.wait_until(started, last, None), Some(last + ms(50)));
}

#[test]
fn requests_are_refused_at_once_when_the_replicas_stay_unavailable() {
    let (wait, started) = (StartupWait::default(), Instant::now());
    assert_eq!(wait.wait_until(started, started + wait.expected_within, None), None);
    assert_eq!(wait.wait_until(started, started + ms(60_000), None), None);
}

#[test]
fn wait_leaves_half_of_a_short_timeout_for_another_entry() {
    let (wait, started) = (StartupWait::default(), Instant::now());
    let until = wait.wait_until(started, started, Some(ms(200)));
    assert_eq!(until, Some(started + ms(100)));
    assert_eq!(wait.wait_until(started, started, Some(Duration::ZERO)), None);
}
