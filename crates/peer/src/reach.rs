//! Opening a connection to a host that may be starting right now.

use futures_util::{StreamExt, stream::FuturesUnordered};
use std::{fmt::Display, time::Duration};
use tokio::time::{Instant, interval, sleep_until};

/// Pause between attempts that overlap. The opening packet to a host without power is lost, and the
/// kernel sends it again only after a second.
pub const ATTEMPT_PERIOD: Duration = Duration::from_millis(100);

/// Starts an attempt each [`ATTEMPT_PERIOD`], until one succeeds or is refused.
///
/// # Errors
///
/// Returns why the first attempt to end was refused, or that `limit` passed.
pub async fn reach<T, E, F>(limit: Duration, mut attempt: impl FnMut() -> F) -> Result<T, String>
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
