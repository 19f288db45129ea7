//! Detection of servers that have become slow, against the other servers of the service.
//!
//! docs/design/0006-slow-servers.md compares it with a threshold on the mean.

use std::time::Duration;

/// Factor on the service's typical latency above which a median counts as slow.
const SLOW_FACTOR: f64 = 1.5;
/// Error probability of one run of the test.
const SLOW_ALPHA: f64 = 1e-4;
/// Latencies of one run, after which the test starts over.
const SLOW_HORIZON: u32 = 256;

/// Finds a server slow when its median latency exceeds a multiple of the typical one with
/// confidence, at whatever time one looks.
///
/// Uses the confidence sequence for a median of Howard and Ramdas, "Sequential estimation of
/// quantiles with applications to A/B testing and best-arm identification" (equation 1): at all
/// times t together, with probability `1 - alpha`, the median lies between the sample quantiles
/// `1/2 - u(t)` and `1/2 + u(t)`. The sample quantile `1/2 - u(t)` exceeds a limit just when fewer
/// than that share of the samples are within it, so a count is all that is kept.
#[derive(Debug, Clone)]
pub struct MedianBound {
    factor: f64,
    alpha: f64,
    horizon: u32,
    count: u32,
    within: u32,
}

impl MedianBound {
    /// Compares the median with `factor` times the typical latency, with error probability `alpha`
    /// in each run of `horizon` latencies, after which it starts over.
    pub fn new(factor: f64, alpha: f64, horizon: u32) -> Self {
        Self { factor, alpha, horizon, count: 0, within: 0 }
    }

    /// Returns the half-width u(t) of the confidence sequence.
    fn half_width(&self) -> f64 {
        let t = f64::from(self.count);
        let iterated = (2.04 * t).ln().ln().max(0.0);
        0.72 * ((1.4 * iterated + (9.97 / self.alpha).ln()) / t).sqrt()
    }
}

impl Default for MedianBound {
    fn default() -> Self {
        Self::new(SLOW_FACTOR, SLOW_ALPHA, SLOW_HORIZON)
    }
}

impl MedianBound {
    /// Notes one latency of the server, given the service's typical one. Returns whether the
    /// server counts as slow; if so, the test starts over.
    pub fn note(&mut self, latency: Duration, typical: Duration) -> bool {
        if typical.is_zero() {
            return false;
        }
        self.count += 1;
        self.within += u32::from(latency.as_secs_f64() <= self.factor * typical.as_secs_f64());
        let share = f64::from(self.within) / f64::from(self.count);
        let is_slow = share < 0.5 - self.half_width();
        if is_slow || self.count >= self.horizon {
            (self.count, self.within) = (0, 0);
        }
        is_slow
    }
}
