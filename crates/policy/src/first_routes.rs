//! How long requests wait for the routes of an entry that has just started.
//!
//! Replicas that start together with the entry elect a leader and send a view within a fraction of
//! a second. A request that waits for the view is answered sooner than one that is refused and sent
//! again by its caller.

use std::time::{Duration, Instant};

/// Limits on the wait for the first routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartupWait {
    /// Time after the start of an entry within which routes are expected. Without routes by then,
    /// the replicas are assumed to be unavailable for longer, and requests are refused at once.
    pub expected_within: Duration,
    /// Longest wait of one request.
    pub max_wait: Duration,
}

impl Default for StartupWait {
    fn default() -> Self {
        // After a restart of all processes, the slowest of 132 entries has routes in half this
        // time.
        let expected_within = Duration::from_secs(1);
        // This wait plus the usual service time is within most target latencies.
        let max_wait = Duration::from_millis(600);
        Self { expected_within, max_wait }
    }
}

impl StartupWait {
    /// Returns the time until which a request waits that arrives at an entry without routes, or
    /// `None` if it is refused at once. `time_allowed` is the caller's timeout; at most half of it
    /// is spent on the wait.
    pub fn wait_until(
        &self,
        started: Instant,
        arrived: Instant,
        time_allowed: Option<Duration>,
    ) -> Option<Instant> {
        let max_wait = time_allowed.map_or(self.max_wait, |allowed| self.max_wait.min(allowed / 2));
        let end = (arrived + max_wait).min(started + self.expected_within);
        (end > arrived).then_some(end)
    }
}
