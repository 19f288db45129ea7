//! How long the caller of a request has waited before this attempt.
//!
//! Callers state how long they still wait. The callers of one route start with similar times, so
//! that one that states much less has spent the difference on attempts before.

use std::time::{Duration, Instant};

/// Time after which a longer wait that was stated once is forgotten.
const MEMORY: Duration = Duration::from_secs(60);

/// Part of the longest wait above which a caller may be at its first attempt: callers' own limits
/// differ by about a sixth.
const FIRST_ATTEMPT_SHARE: f64 = 0.8;
/// Part of the longest wait with which callers start on average.
const USUAL_SHARE: f64 = 0.92;

/// The waits that callers of one route state.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerPatience {
    longest: Duration,
    noted: Option<Instant>,
}

impl CallerPatience {
    /// Notes the wait that a caller states, and returns how long it has probably waited before.
    pub fn note(&mut self, now: Instant, stated: Duration) -> Duration {
        let is_forgotten =
            self.noted.is_none_or(|noted| now.saturating_duration_since(noted) > MEMORY);
        if is_forgotten || stated >= self.longest {
            (self.longest, self.noted) = (stated, Some(now));
        }
        if stated >= self.longest.mul_f64(FIRST_ATTEMPT_SHARE) {
            return Duration::ZERO;
        }
        self.longest.mul_f64(USUAL_SHARE).saturating_sub(stated)
    }
}
