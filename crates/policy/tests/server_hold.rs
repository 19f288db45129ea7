//! Servers that leave or shed load: what their answers forbid, and for how long.

use hawthornhill_policy::{HoldEnd, ServerHold, ServerSignals, first_hold_end};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn leaving() -> ServerSignals {
    ServerSignals { is_leaving: true, ..ServerSignals::default() }
}

fn shedding(hold: Duration) -> ServerSignals {
    ServerSignals { hold: Some(hold), ..ServerSignals::default() }
}

/// Pattern: a release drains servers under load, and some report to the registry late or never.
#[test]
fn leaving_server_gets_nothing_whatever_later_answers_say() {
    let now = Instant::now();
    let cases: [&[ServerSignals]; 4] = [
        &[leaving()],
        &[leaving(), ServerSignals::default()],
        &[leaving(), shedding(SECOND)],
        &[shedding(SECOND), leaving(), ServerSignals::default()],
    ];
    for signals in cases {
        let mut hold = ServerHold::default();
        signals.iter().for_each(|signals| hold.record(now, *signals));
        let much_later = now + Duration::from_secs(86_400);
        assert_eq!(hold.end_after(much_later), Some(HoldEnd::Never), "{signals:?}");
    }
    let both = ServerSignals { is_leaving: true, ..shedding(SECOND) };
    let mut hold = ServerHold::default();
    hold.record(now, both);
    assert_eq!(hold.end_after(now + 2 * SECOND), Some(HoldEnd::Never), "mark and hold together");
}

/// Pattern: noisy neighbours make servers shed load for a stated time.
#[test]
fn shedding_server_gets_nothing_until_the_stated_time_has_passed() {
    let now = Instant::now();
    let mut hold = ServerHold::default();
    assert_eq!(hold.end_after(now), None);
    hold.record(now, shedding(2 * SECOND));
    assert_eq!(hold.end_after(now), Some(HoldEnd::At(now + 2 * SECOND)));
    assert!(hold.end_after(now + Duration::from_millis(1_999)).is_some());
    assert_eq!(hold.end_after(now + 2 * SECOND), None);
    // Answers to requests that were on their way: a success and a shorter hold change nothing.
    hold.record(now, ServerSignals::default());
    hold.record(now, shedding(SECOND / 2));
    assert_eq!(hold.end_after(now), Some(HoldEnd::At(now + 2 * SECOND)));
    hold.record(now + SECOND, shedding(2 * SECOND));
    assert_eq!(hold.end_after(now + SECOND), Some(HoldEnd::At(now + 3 * SECOND)));
    hold.record(now, shedding(Duration::ZERO));
    assert_eq!(ServerHold::default().end_after(now), None);
}

/// Guards against an overflow of the clock: a faulty server may state any number.
#[test]
fn hold_of_any_length_is_representable() {
    let now = Instant::now();
    for hold_s in [1_u64 << 40, u64::MAX] {
        let mut hold = ServerHold::default();
        hold.record(now, shedding(Duration::from_secs(hold_s)));
        assert!(hold.end_after(now + 1_000 * SECOND).is_some(), "{hold_s} s");
    }
}

/// Pattern: all servers of a service shed load. Callers are told when the first takes requests.
#[test]
fn callers_may_return_when_the_first_hold_ends() {
    let now = Instant::now();
    let ends = [HoldEnd::Never, HoldEnd::At(now + 3 * SECOND), HoldEnd::At(now + SECOND)];
    assert_eq!(first_hold_end(ends.into_iter(), now), Some(SECOND));
    assert_eq!(first_hold_end([HoldEnd::Never].into_iter(), now), None);
    assert_eq!(first_hold_end(std::iter::empty(), now), None);
}
