//! Estimate of the time that a caller has already spent on earlier attempts of a request.
//!
//! Each attempt carries the caller's remaining timeout. The callers of one route start with similar
//! timeouts, so a caller that states a much shorter one has spent the difference on earlier
//! attempts.

use std::time::{Duration, Instant};

/// Time after which the longest stated timeout is discarded.
const LONGEST_MAX_AGE: Duration = Duration::from_secs(60);

/// Part of the longest timeout from which an attempt counts as the caller's first. The initial
/// timeouts of callers differ by about a sixth, so all of them are at least this part.
const FIRST_ATTEMPT_SHARE: f64 = 0.8;
/// Average initial timeout of callers, as a part of the longest.
const MEAN_INITIAL_SHARE: f64 = 0.92;

/// The timeouts that the callers of one route state.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTimeouts {
    /// Longest stated timeout, discarded after [`LONGEST_MAX_AGE`].
    longest: Duration,
    /// Time at which `longest` was stated.
    recorded: Option<Instant>,
}

impl CallerTimeouts {
    /// Records the remaining timeout that a caller states, and returns the time that it has
    /// probably spent on earlier attempts.
    pub fn record(&mut self, now: Instant, stated: Duration) -> Duration {
        let is_expired = self
            .recorded
            .is_none_or(|recorded| now.saturating_duration_since(recorded) > LONGEST_MAX_AGE);
        if is_expired || stated >= self.longest {
            (self.longest, self.recorded) = (stated, Some(now));
        }
        if stated >= self.longest.mul_f64(FIRST_ATTEMPT_SHARE) {
            return Duration::ZERO;
        }
        self.longest.mul_f64(MEAN_INITIAL_SHARE).saturating_sub(stated)
    }
}
