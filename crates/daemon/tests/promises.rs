//! Each check of the soak fails when its promise is broken: histories with one planted fault.

mod history;

use history::{CallRecord, Departure, SeenHistory, broken_read};
use stand_in::{CallKind, CallOutcome};
use std::time::{Duration, Instant};

const DRAIN_BOUND: Duration = Duration::from_secs(2);

fn answered(status: u16, id: &str) -> CallOutcome {
    let body = format!("server-1 ran {id}");
    CallOutcome::Answered { status, is_signed: true, id: Some(id.to_owned()), body }
}

/// An order that ran once, a lookup that ran twice, and an order that was refused.
fn sound(now: Instant) -> SeenHistory {
    let mut history = SeenHistory::default();
    let mut add = |id: &str, kind, end, runs: usize| {
        history.calls.insert(id.to_owned(), CallRecord { kind, end });
        history.runs.insert(id.to_owned(), vec![(1, now); runs]);
    };
    add("order", CallKind::Order, answered(200, "order"), 1);
    add("lookup", CallKind::Lookup, answered(200, "lookup"), 2);
    add("refused", CallKind::Order, answered(503, "refused"), 0);
    add("broken", CallKind::Order, CallOutcome::NoResponse, 1);
    history.departures.push(Departure { server: 2, acknowledged: now });
    history
}

#[test]
fn sound_history_breaks_nothing() {
    assert_eq!(sound(Instant::now()).broken_promises(DRAIN_BOUND), Vec::<String>::new());
}

#[test]
fn each_planted_fault_is_found() {
    type Plant = fn(&mut SeenHistory, Instant);
    let plants: [(&str, Plant); 6] = [
        ("ran 2 times", |history, now| {
            history.runs.get_mut("order").expect("there").push((0, now));
        }),
        ("ran 2 times", |history, now| {
            history.runs.get_mut("broken").expect("there").push((0, now));
        }),
        ("was refused with 503 and ran", |history, now| {
            history.runs.get_mut("refused").expect("there").push((0, now));
        }),
        ("a success of no server", |history, _| {
            if let CallOutcome::Answered { is_signed, .. } =
                &mut history.calls.get_mut("lookup").expect("there").end
            {
                *is_signed = false;
            }
        }),
        ("the answer to", |history, _| {
            history.calls.get_mut("lookup").expect("there").end = answered(200, "order");
        }),
        ("after it had left", |history, now| {
            let late = now + DRAIN_BOUND + Duration::from_millis(1);
            history.runs.get_mut("lookup").expect("there").push((2, late));
        }),
    ];
    for (text, plant) in plants {
        let now = Instant::now();
        let mut history = sound(now);
        plant(&mut history, now);
        let broken = history.broken_promises(DRAIN_BOUND);
        assert_eq!(broken.len(), 1, "{broken:?}");
        assert!(broken[0].contains(text), "{broken:?}");
    }
}

#[test]
fn work_of_a_leaving_server_within_the_bound_is_allowed() {
    let now = Instant::now();
    let mut history = sound(now);
    history.runs.get_mut("lookup").expect("there").push((2, now + DRAIN_BOUND));
    assert_eq!(history.broken_promises(DRAIN_BOUND), Vec::<String>::new());
}

#[test]
fn read_older_than_what_was_acknowledged_is_found() {
    assert_eq!((broken_read(7, 7), broken_read(8, 7)), (None, None));
    assert!(broken_read(6, 7).is_some_and(|text| text.contains("read 6 after 7")));
}
