//! Checks of what servers may demand from all entries together, at real processes without faults.

use stand_in::SimulatedServer;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time that entries have to adapt to what a server demands.
const ADAPT_TIME: Duration = Duration::from_secs(3);
/// Limit of the limited server, in requests per second.
const LIMIT: f64 = 3.0;
/// Window in which the requests to the limited server are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests within a window that the users allow at [`LIMIT`]: 1.5 times as many as the limit allows,
/// and 5 more.
const MAX_IN_WINDOW: usize = 23;

/// Lets a server limit its requests, and checks how many it gets from all entries.
pub async fn check_limit(server: &SimulatedServer) {
    server.set_limit(Some(LIMIT));
    sleep(ADAPT_TIME).await;
    let adapted = Instant::now();
    sleep(LIMIT_WINDOW + LIMIT_WINDOW / 2).await;
    let mut times: Vec<Instant> = server.runs().into_values().flatten().collect();
    times.retain(|time| *time >= adapted);
    server.set_limit(None);
    for start in &times {
        let count =
            times.iter().filter(|time| *time >= start && **time < *start + LIMIT_WINDOW).count();
        assert!(count <= MAX_IN_WINDOW, "a server with a limit of {LIMIT}/s got {count} in 4 s");
    }
    assert!(!times.is_empty(), "the limited server got no request");
}
