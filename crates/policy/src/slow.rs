//! Detection of servers that have become slow compared with the other servers of the service.
//!
//! docs/design/0006-slow-servers.md compares this test with a threshold on the mean.

use std::time::Duration;

/// Factor on the service's typical latency above which a server's median counts as slow.
const SLOW_FACTOR: f64 = 1.5;
/// Probability of a false positive in one run of the test.
const SLOW_ALPHA: f64 = 1e-4;
/// Number of latencies in one run, after which the test starts over.
const SLOW_HORIZON: u32 = 256;

/// Sequential test of whether a server's median latency exceeds a multiple of the typical latency.
/// It is valid at every sample, not only at a fixed sample size.
///
/// Uses the confidence sequence for a median of Howard and Ramdas, "Sequential estimation of
/// quantiles with applications to A/B testing and best-arm identification" (equation 1): with
/// probability `1 - alpha`, the median lies between the sample quantiles `1/2 - u(t)` and
/// `1/2 + u(t)` at all times t simultaneously. The sample quantile `1/2 - u(t)` exceeds a limit
/// exactly when less than that fraction of the samples is within the limit, so that counting is
/// enough.
#[derive(Debug, Clone)]
pub struct MedianTest {
    factor: f64,
    alpha: f64,
    horizon: u32,
    count: u32,
    within_limit: u32,
}

impl MedianTest {
    /// Returns a test of the median against `factor` times the typical latency, with probability
    /// `alpha` of a false positive in each run of `horizon` latencies.
    pub fn new(factor: f64, alpha: f64, horizon: u32) -> Self {
        Self { factor, alpha, horizon, count: 0, within_limit: 0 }
    }

    /// Returns the half-width u(t) of the confidence sequence.
    fn half_width(&self) -> f64 {
        let t = f64::from(self.count);
        let iterated_log = (2.04 * t).ln().ln().max(0.0);
        0.72 * ((1.4 * iterated_log + (9.97 / self.alpha).ln()) / t).sqrt()
    }
}

impl Default for MedianTest {
    fn default() -> Self {
        Self::new(SLOW_FACTOR, SLOW_ALPHA, SLOW_HORIZON)
    }
}

impl MedianTest {
    /// Records one latency of the server, given the service's typical latency. Returns whether the
    /// server counts as slow; if so, the test starts over. A typical latency of zero means unknown,
    /// and the sample is ignored.
    pub fn record(&mut self, latency: Duration, typical: Duration) -> bool {
        if typical.is_zero() {
            return false;
        }
        self.count += 1;
        self.within_limit +=
            u32::from(latency.as_secs_f64() <= self.factor * typical.as_secs_f64());
        let share = f64::from(self.within_limit) / f64::from(self.count);
        let is_slow = share < 0.5 - self.half_width();
        if is_slow || self.count >= self.horizon {
            (self.count, self.within_limit) = (0, 0);
        }
        is_slow
    }
}
