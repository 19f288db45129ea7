//! Opening connections to hosts that are silent, absent, or just starting.

use hawthornhill_peer::{ATTEMPT_PERIOD, reach};
use std::{cell::Cell, future::pending, io, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_millis(500);

/// Found on days that end with a loss of power everywhere: processes that were back first tried to
/// reach replicas that were still down, and noticed only half a second later that these had started.
#[tokio::test(start_paused = true)]
async fn host_that_starts_while_it_is_tried_is_reached_by_the_next_attempt() {
    let (begin, power) = (Instant::now(), Duration::from_millis(230));
    let attempt = || async move {
        if begin.elapsed() < power {
            return pending().await;
        }
        Ok::<_, io::Error>(begin.elapsed())
    };
    let reached = reach(LIMIT, attempt).await.expect("reached");
    assert!(reached <= power + ATTEMPT_PERIOD, "reached after {reached:?}");
}

#[tokio::test(start_paused = true)]
async fn slow_host_is_reached_by_the_attempt_that_it_answers_first() {
    let started = Cell::new(0);
    let attempt = || {
        started.set(started.get() + 1);
        let number = started.get();
        async move {
            sleep(Duration::from_millis(250)).await;
            Ok::<_, io::Error>(number)
        }
    };
    assert_eq!(reach(LIMIT, attempt).await, Ok(1));
    assert_eq!(started.get(), 3);
}

#[tokio::test(start_paused = true)]
async fn refusal_ends_at_once_and_silence_at_the_limit() {
    let begin = Instant::now();
    let refused = reach(LIMIT, || async { Err::<(), _>("refused") }).await;
    assert_eq!((refused, begin.elapsed()), (Err("refused".to_owned()), Duration::ZERO));
    let silent = reach(LIMIT, pending::<Result<(), io::Error>>).await;
    assert_eq!((silent, begin.elapsed()), (Err("connect timed out".to_owned()), LIMIT));
}
