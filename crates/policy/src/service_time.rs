//! Estimate of the usual service time at an idle server.
//!
//! The estimate moves towards the median of the observed times by small steps, so that a short
//! series of slow answers changes it little. An entry sees few requests of each service, and with
//! an estimate that is too long it would count every request as late.

use std::time::Duration;

/// Maximum factor by which one observation moves the estimate.
const MAX_STEP_FACTOR: f64 = 1.04;

/// A running estimate of the median.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTime {
    estimate: Duration,
}

impl ServiceTime {
    /// Returns an estimate with this initial value.
    pub fn new(initial: Duration) -> Self {
        Self { estimate: initial }
    }

    /// Returns the estimate.
    pub fn get(&self) -> Duration {
        self.estimate
    }

    /// Records one service time, normalized to the usual speed of the server.
    pub fn record(&mut self, observed: Duration) {
        self.estimate = if observed > self.estimate {
            self.estimate.mul_f64(MAX_STEP_FACTOR).min(observed)
        } else {
            self.estimate.div_f64(MAX_STEP_FACTOR).max(observed)
        };
    }
}
