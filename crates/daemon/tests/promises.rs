//! Each invariant check of the soak test detects its violation, in histories with one injected
//! violation each. A check that detects nothing would let the soak test pass without effect.

mod history;

use history::{CallRecord, ObservedHistory, ServerDeparture, stale_read};
use stand_in::{CallKind, CallOutcome};
use std::time::{Duration, Instant};

/// Time after which a server whose departure was acknowledged must get no request.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

fn answered(status: u16, id: &str) -> CallOutcome {
    let body = format!("server-1 ran {id}");
    CallOutcome::Answered { status, is_signed: true, id: Some(id.to_owned()), body }
}

/// Returns a history without violations: an order that ran once, a lookup that ran twice, an order
/// that was refused, and one that ran but whose connection broke.
fn valid_history(now: Instant) -> ObservedHistory {
    let mut history = ObservedHistory::default();
    let mut add = |id: &str, kind, outcome, runs: usize| {
        history.calls.insert(id.to_owned(), CallRecord { kind, outcome });
        history.runs.insert(id.to_owned(), vec![(1, now); runs]);
    };
    add("order", CallKind::Order, answered(200, "order"), 1);
    add("lookup", CallKind::Lookup, answered(200, "lookup"), 2);
    add("refused", CallKind::Order, answered(503, "refused"), 0);
    add("broken", CallKind::Order, CallOutcome::NoResponse, 1);
    history.departures.push(ServerDeparture { server: 2, acknowledged_at: now });
    history
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(valid_history(Instant::now()).violations(DRAIN_BOUND), Vec::<String>::new());
}

#[test]
fn each_injected_violation_is_detected() {
    type Injection = fn(&mut ObservedHistory, Instant);
    let cases: [(&str, Injection); 6] = [
        ("ran 2 times", |history, now| {
            history.runs.get_mut("order").expect("present").push((0, now));
        }),
        ("ran 2 times", |history, now| {
            history.runs.get_mut("broken").expect("present").push((0, now));
        }),
        ("was refused with 503 and ran", |history, now| {
            history.runs.get_mut("refused").expect("present").push((0, now));
        }),
        ("a success without a server's signature", |history, _| {
            if let CallOutcome::Answered { is_signed, .. } =
                &mut history.calls.get_mut("lookup").expect("present").outcome
            {
                *is_signed = false;
            }
        }),
        ("the answer to", |history, _| {
            history.calls.get_mut("lookup").expect("present").outcome = answered(200, "order");
        }),
        ("after it had left", |history, now| {
            let late = now + DRAIN_BOUND + Duration::from_millis(1);
            history.runs.get_mut("lookup").expect("present").push((2, late));
        }),
    ];
    for (text, inject) in cases {
        let now = Instant::now();
        let mut history = valid_history(now);
        inject(&mut history, now);
        let violations = history.violations(DRAIN_BOUND);
        assert_eq!(violations.len(), 1, "{violations:?}");
        assert!(violations[0].contains(text), "{violations:?}");
    }
}

#[test]
fn a_run_at_a_leaving_server_within_the_bound_is_allowed() {
    let now = Instant::now();
    let mut history = valid_history(now);
    history.runs.get_mut("lookup").expect("present").push((2, now + DRAIN_BOUND));
    assert_eq!(history.violations(DRAIN_BOUND), Vec::<String>::new());
}

#[test]
fn a_read_of_an_older_version_than_acknowledged_is_detected() {
    assert_eq!((stale_read(7, 7), stale_read(8, 7)), (None, None));
    assert!(stale_read(6, 7).is_some_and(|text| text.contains("read 6 after 7")));
}
