//! The usual time of a service's work at an idle server.
//!
//! Follows the median of what is observed by small steps, so that a spell of slow answers does not
//! move it far: an entry sees few requests of each service, and an estimate that is too long makes
//! it take every request for late.

use std::time::Duration;

/// Factor by which one observation moves the estimate.
const STEP: f64 = 1.04;

/// An estimate of the median.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsualWork {
    estimate: Duration,
}

impl UsualWork {
    /// Starts from a first guess.
    pub fn new(guess: Duration) -> Self {
        Self { estimate: guess }
    }

    /// Returns the estimate.
    pub fn get(&self) -> Duration {
        self.estimate
    }

    /// Notes how long work took, as it would have at the usual speed of the server.
    pub fn note(&mut self, observed: Duration) {
        self.estimate = if observed > self.estimate {
            self.estimate.mul_f64(STEP).min(observed)
        } else {
            self.estimate.div_f64(STEP).max(observed)
        };
    }
}
