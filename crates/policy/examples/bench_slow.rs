//! Compares detectors of slow servers by the false ejections per hour of a healthy server, and by
//! the time to eject a server that becomes three times slower. Latencies are simulated, 100 per
//! second for each server.
//!
//! Run: `cargo run --release -p hawthornhill-policy --example bench_slow`

use hawthornhill_policy::MedianTest;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Answers of one server per second.
const ANSWERS_PER_S: u32 = 100;
/// Simulated time of a healthy server, in hours.
const HEALTHY_HOURS: u32 = 20;
/// Number of simulated servers that become slow.
const SLOW_RUNS: u32 = 500;

/// Detects whether a server has become slow.
trait SlowDetector {
    /// Records one latency of the server, given the service's typical latency. Returns whether the
    /// server counts as slow.
    fn record(&mut self, latency: Duration, typical: Duration) -> bool;
}

impl SlowDetector for MedianTest {
    fn record(&mut self, latency: Duration, typical: Duration) -> bool {
        Self::record(self, latency, typical)
    }
}

/// Reports a server as slow when the mean of `window` latencies exceeds `factor` times the typical
/// latency.
#[derive(Debug, Clone)]
struct MeanThreshold {
    window: u32,
    factor: f64,
    count: u32,
    sum: f64,
}

impl MeanThreshold {
    fn new(window: u32, factor: f64) -> Self {
        Self { window, factor, count: 0, sum: 0.0 }
    }
}

impl SlowDetector for MeanThreshold {
    fn record(&mut self, latency: Duration, typical: Duration) -> bool {
        self.count += 1;
        self.sum += latency.as_secs_f64() / typical.as_secs_f64().max(f64::EPSILON);
        if self.count < self.window {
            return false;
        }
        let mean = self.sum / f64::from(self.count);
        (self.count, self.sum) = (0, 0.0);
        mean > self.factor
    }
}

/// Distributions of healthy latencies with a median of about 1 ms.
#[derive(Debug, Clone, Copy)]
enum LatencyNoise {
    Exponential,
    /// One answer in fifty takes 30 times as long.
    HeavyTail,
    /// A noisy neighbour: five times slower for 200 ms in every 4 s.
    Bursts,
}

fn sample_latency(noise: LatencyNoise, number: u32, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let exponential = 0.3 - uniform.ln();
    let ms = match noise {
        LatencyNoise::Exponential => exponential,
        LatencyNoise::HeavyTail if rng.random_bool(0.02) => 30.0 * exponential,
        LatencyNoise::HeavyTail => exponential,
        LatencyNoise::Bursts if number % (4 * ANSWERS_PER_S) < ANSWERS_PER_S / 5 => {
            5.0 * exponential
        }
        LatencyNoise::Bursts => exponential,
    };
    Duration::from_secs_f64(ms / 1_000.0)
}

fn main() {
    let typical = Duration::from_millis(1);
    println!(
        "{:<24} {:<12} {:>16} {:>12} {:>12}",
        "detector", "noise", "false per hour", "eject p50 ms", "eject p99 ms"
    );
    // Labels of the median tests give their false-positive probability and their horizon in
    // samples.
    type DetectorFactory = fn() -> Box<dyn SlowDetector>;
    let detectors: [(&str, DetectorFactory); 7] = [
        ("mean > 2, 16 samples", || Box::new(MeanThreshold::new(16, 2.0))),
        ("mean > 2, 64 samples", || Box::new(MeanThreshold::new(64, 2.0))),
        ("median, 1e-6, 1000", || Box::new(MedianTest::new(1.5, 1e-6, 1_000))),
        ("median, 1e-6, 256", || Box::new(MedianTest::new(1.5, 1e-6, 256))),
        ("median, 1e-6, 128", || Box::new(MedianTest::new(1.5, 1e-6, 128))),
        ("median, 1e-4, 256", || Box::new(MedianTest::new(1.5, 1e-4, 256))),
        ("median, 1e-4, 128", || Box::new(MedianTest::new(1.5, 1e-4, 128))),
    ];
    for noise in [LatencyNoise::Exponential, LatencyNoise::HeavyTail, LatencyNoise::Bursts] {
        for (name, make) in &detectors {
            let mut rng = SmallRng::seed_from_u64(1);
            let mut detector = make();
            let mut false_ejections = 0;
            for number in 0..HEALTHY_HOURS * 3_600 * ANSWERS_PER_S {
                let latency = sample_latency(noise, number, &mut rng);
                false_ejections += u32::from(detector.record(latency, typical));
            }
            let mut times_ms: Vec<u32> = Vec::new();
            for run in 0..SLOW_RUNS {
                let mut detector = make();
                // Varies the point in the detector's window at which the server becomes slow.
                for number in 0..300 + run {
                    detector.record(sample_latency(noise, number, &mut rng), typical);
                }
                let slow = (1..).find(|number| {
                    let latency = 3 * sample_latency(noise, 300 + run + number, &mut rng);
                    detector.record(latency, typical)
                });
                times_ms.push(slow.unwrap_or(u32::MAX) * 1_000 / ANSWERS_PER_S);
            }
            times_ms.sort_unstable();
            println!(
                "{name:<24} {:<12} {:>16.2} {:>12} {:>12}",
                format!("{noise:?}"),
                f64::from(false_ejections) / f64::from(HEALTHY_HOURS),
                times_ms[times_ms.len() / 2],
                times_ms[times_ms.len() * 99 / 100]
            );
        }
    }
}
