//! Running estimates of a latency: an exponentially weighted mean, the median, and a high quantile.

use std::time::Duration;

/// Weight of a new sample in the mean, as a divisor.
const MEAN_DIVISOR: f64 = 16.0;
/// The high quantile that is tracked.
const QUANTILE: f64 = 0.95;
/// Step of the quantile estimates, as a share of the mean.
const QUANTILE_STEP: f64 = 0.02;

/// Tracks mean, median and 95th percentile in constant space.
///
/// Each quantile moves by a small step up or down at each sample, in the ratio that balances at the
/// tracked quantile (stochastic approximation).
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyTracker {
    mean_us: f64,
    median_us: f64,
    quantile_us: f64,
    samples: u64,
}

impl LatencyTracker {
    /// Notes one sample.
    pub fn note(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        self.samples += 1;
        if self.samples == 1 {
            self.mean_us = sample;
            self.median_us = sample;
            self.quantile_us = sample;
            return;
        }
        self.mean_us += (sample - self.mean_us) / MEAN_DIVISOR;
        let step = self.mean_us * QUANTILE_STEP;
        self.median_us += quantile_step(sample > self.median_us, 0.5) * step;
        self.quantile_us += quantile_step(sample > self.quantile_us, QUANTILE) * step;
    }

    /// Returns the mean, zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_us.max(0.0) / 1e6)
    }

    /// Returns the median, zero before the first sample.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median_us.max(0.0) / 1e6)
    }

    /// Returns the 95th percentile, zero before the first sample.
    pub fn quantile(&self) -> Duration {
        Duration::from_secs_f64(self.quantile_us.max(0.0) / 1e6)
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u64 {
        self.samples
    }
}

/// Returns the step towards a sample, in units that balance at the quantile.
fn quantile_step(is_above: bool, quantile: f64) -> f64 {
    if is_above { quantile } else { quantile - 1.0 }
}
