//! Connection attempts to hosts that may still be starting.

use futures_util::{StreamExt, stream::FuturesUnordered};
use std::{fmt::Display, time::Duration};
use tokio::time::{Instant, interval, sleep_until};

/// Interval between overlapping connection attempts. A packet to a host without power is lost, and
/// the kernel retransmits it only after a second.
pub const ATTEMPT_PERIOD: Duration = Duration::from_millis(100);

/// Starts a connection attempt every [`ATTEMPT_PERIOD`] until the first one ends, successfully or
/// not. Earlier attempts keep running, so that a host that answers slowly is still reached.
///
/// # Errors
///
/// Returns the error of the first attempt to end, or a timeout after `limit`.
pub async fn connect_repeatedly<T, E, F>(
    limit: Duration,
    mut attempt: impl FnMut() -> F,
) -> Result<T, String>
where
    E: Display,
    F: Future<Output = Result<T, E>>,
{
    let end = Instant::now() + limit;
    let mut period = interval(ATTEMPT_PERIOD);
    let mut attempts = FuturesUnordered::<F>::new();
    loop {
        tokio::select! {
            Some(ended) = attempts.next() => return ended.map_err(|error: E| error.to_string()),
            _ = period.tick() => attempts.push(attempt()),
            () = sleep_until(end) => return Err("connect timed out".to_owned()),
        }
    }
}
