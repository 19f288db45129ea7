//! How long the caller of a request has waited before this attempt.
//!
//! Callers state how long they still wait. The callers of one route usually start with the same
//! time, so that one that states less has spent the difference on attempts before.

use std::time::{Duration, Instant};

/// Time after which a longer wait that was stated once is forgotten.
const MEMORY: Duration = Duration::from_secs(60);

/// The waits that callers of one route state.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerPatience {
    longest: Duration,
    noted: Option<Instant>,
}

impl CallerPatience {
    /// Notes the wait that a caller states, and returns how long it has waited before.
    pub fn note(&mut self, now: Instant, stated: Duration) -> Duration {
        let is_forgotten =
            self.noted.is_none_or(|noted| now.saturating_duration_since(noted) > MEMORY);
        if is_forgotten || stated >= self.longest {
            (self.longest, self.noted) = (stated, Some(now));
        }
        self.longest.saturating_sub(stated)
    }
}
