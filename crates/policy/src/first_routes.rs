//! How long requests wait for the first routes of an entry that has just started.
//!
//! Replicas that start together with the entry elect a leader and send a view within a fraction of
//! a second. A caller that was sent away would come back later than its answer could be there.

use std::time::{Duration, Instant};

/// Bounds on the wait for first routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstRoutesTerms {
    /// Time after the start of an entry within which routes are expected. After that the replicas
    /// are away for longer, and requests are refused at once.
    pub expected_within: Duration,
    /// The longest wait of one request.
    pub max_wait: Duration,
}

impl Default for FirstRoutesTerms {
    fn default() -> Self {
        // Twice the time that the slowest entry of 132 needed when everything started again.
        let expected_within = Duration::from_secs(1);
        // With the usual work after it, still within most target latencies.
        let max_wait = Duration::from_millis(600);
        Self { expected_within, max_wait }
    }
}

impl FirstRoutesTerms {
    /// Returns until when a request waits that arrives at an entry without routes, `None` if it is
    /// refused at once. `time_allowed` is what the caller gave.
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
