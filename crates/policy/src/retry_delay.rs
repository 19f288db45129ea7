//! Delay after which a refused caller is told to retry.

use std::time::Duration;

/// Shortest delay, before jitter is added.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Longest delay, including jitter.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Time at which servers are expected to have capacity for a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityForecast {
    /// Now: the server that refused the request had free slots, so that another server is expected
    /// to run it.
    Now,
    /// After this time.
    After(Duration),
}

/// Returns the time after which a caller refused by the `gateway` crate should retry. The `entry`
/// crate uses [`retry_after`](crate::retry_after) instead.
///
/// The result is the time until there is capacity, 50 ms to 1 s, plus `jitter` times as long, so
/// that callers refused together do not retry together. `jitter` is a uniform random number from 0
/// to 1.
pub fn retry_delay(forecast: CapacityForecast, jitter: f64) -> Duration {
    let until_capacity = match forecast {
        CapacityForecast::Now => MIN_DELAY,
        CapacityForecast::After(wait) => wait,
    };
    let earliest = until_capacity.clamp(MIN_DELAY, MAX_DELAY / 2);
    earliest.mul_f64(1.0 + jitter.clamp(0.0, 1.0))
}
