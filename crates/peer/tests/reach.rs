//! Connection attempts to hosts that are unresponsive, refuse connections, or are still starting.

use hawthornhill_peer::{ATTEMPT_PERIOD, connect_repeatedly};
use std::{cell::Cell, future::pending, io, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_millis(500);

/// Guards against slow recovery after a power loss on all hosts: the first processes to restart
/// tried to connect to replicas that were still down, and noticed only half a second later that
/// these had started.
#[tokio::test(start_paused = true)]
async fn host_that_starts_during_the_attempts_is_reached_by_the_next_one() {
    let (begin, startup) = (Instant::now(), Duration::from_millis(230));
    let attempt = || async move {
        if begin.elapsed() < startup {
            return pending().await;
        }
        Ok::<_, io::Error>(begin.elapsed())
    };
    let reached = connect_repeatedly(LIMIT, attempt).await.expect("reached");
    assert!(reached <= startup + ATTEMPT_PERIOD, "reached after {reached:?}");
}

/// Guards against attempts that cancel each other: a host that answers more slowly than the attempt
/// period would never be reached.
#[tokio::test(start_paused = true)]
async fn slow_host_is_reached_by_the_first_attempt_that_completes() {
    let started = Cell::new(0);
    let attempt = || {
        started.set(started.get() + 1);
        let number = started.get();
        async move {
            sleep(Duration::from_millis(250)).await;
            Ok::<_, io::Error>(number)
        }
    };
    assert_eq!(connect_repeatedly(LIMIT, attempt).await, Ok(1));
    assert_eq!(started.get(), 3);
}

#[tokio::test(start_paused = true)]
async fn refused_connection_fails_at_once_and_unresponsive_host_at_the_limit() {
    let begin = Instant::now();
    let refused = connect_repeatedly(LIMIT, || async { Err::<(), _>("refused") }).await;
    assert_eq!((refused, begin.elapsed()), (Err("refused".to_owned()), Duration::ZERO));
    let silent = connect_repeatedly(LIMIT, pending::<Result<(), io::Error>>).await;
    assert_eq!((silent, begin.elapsed()), (Err("connect timed out".to_owned()), LIMIT));
}
