//! Streaming estimates of latency: an exponentially weighted mean, the median and the 95th
//! percentile.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// Quantile that is tracked besides the median.
const HIGH_QUANTILE: f64 = 0.95;
/// Step of the quantile estimates, as a fraction of the mean.
const QUANTILE_STEP: f64 = 0.02;

/// Tracks mean, median and 95th percentile in constant space.
///
/// Each sample moves the quantile estimates up or down by steps whose ratio balances at the tracked
/// quantile (stochastic approximation).
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyTracker {
    mean_us: f64,
    median_us: f64,
    p95_us: f64,
    samples: u64,
}

impl LatencyTracker {
    /// Records one sample.
    pub fn record(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        self.samples += 1;
        if self.samples == 1 {
            self.mean_us = sample;
            self.median_us = sample;
            self.p95_us = sample;
            return;
        }
        self.mean_us += (sample - self.mean_us) * MEAN_WEIGHT;
        let step = self.mean_us * QUANTILE_STEP;
        self.median_us += quantile_step(sample > self.median_us, 0.5) * step;
        self.p95_us += quantile_step(sample > self.p95_us, HIGH_QUANTILE) * step;
    }

    /// Returns the mean, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_us.max(0.0) / 1e6)
    }

    /// Returns the median, or zero before the first sample.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median_us.max(0.0) / 1e6)
    }

    /// Returns the 95th percentile, or zero before the first sample.
    pub fn p95(&self) -> Duration {
        Duration::from_secs_f64(self.p95_us.max(0.0) / 1e6)
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u64 {
        self.samples
    }
}

/// Returns the signed step of a quantile estimate, as a multiple of the step size. Up and down
/// steps balance when the sample is above the estimate with probability `1 - quantile`.
fn quantile_step(is_above: bool, quantile: f64) -> f64 {
    if is_above { quantile } else { quantile - 1.0 }
}
