//! Admission control by priority, and the backoff of refused callers.

use hawthornhill_policy::{AdmissionGate, AdmissionSettings, retry_after};
use std::time::Duration;

fn gate() -> AdmissionGate {
    AdmissionGate::new(AdmissionSettings { max_in_flight: 1_000, ..AdmissionSettings::default() })
}

#[test]
fn least_important_requests_are_refused_first() {
    let gate = gate();
    let limit = |priority| (0..2_000).find(|held| !gate.admits(priority, *held, 0));
    let limits: Vec<usize> = (0..=9).map(|priority| limit(priority).expect("limited")).collect();
    assert_eq!((limits[0], limits[9]), (1_000, 600));
    assert!(limits.windows(2).all(|pair| pair[0] > pair[1]), "{limits:?}");
    // A request is never refused while a less important one would be admitted.
    for held in 0..1_100 {
        for priority in 1..=9 {
            assert!(!gate.admits(priority, held, 0) || gate.admits(priority - 1, held, 0));
        }
    }
}

#[test]
fn one_service_cannot_use_the_whole_entry() {
    let gate = gate();
    assert!(gate.admits(0, 600, 499));
    assert!(!gate.admits(0, 600, 500), "the service holds half of the limit");
    assert!(gate.admits(0, 600, 0), "another service is still admitted");
}

#[test]
fn entry_of_any_size_admits_a_request_of_any_priority() {
    for max_in_flight in 1..20 {
        let settings = AdmissionSettings { max_in_flight, ..AdmissionSettings::default() };
        for priority in 0..=9 {
            assert!(AdmissionGate::new(settings.clone()).admits(priority, 0, 0));
        }
    }
}

#[test]
fn refused_callers_do_not_retry_together() {
    let backlog = Duration::from_millis(900);
    assert_eq!(retry_after(backlog, 0.0), backlog);
    assert_eq!(retry_after(backlog, 1.0), 2 * backlog);
    assert_eq!(retry_after(Duration::ZERO, 0.0), Duration::from_millis(200), "never immediately");
}
