//! Measures ways of detecting slow servers: false ejections an hour on healthy noise, and the time
//! to eject a server that becomes three times slower. Simulated latencies, 100 a second a server.
//!
//! Run: `cargo run --release -p hawthornhill-policy --example bench_slow`

use hawthornhill_policy::MedianBound;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Answers of a server, a second.
const RATE: u32 = 100;
/// Simulated hours of a healthy server.
const HOURS: u32 = 20;
/// Simulated servers that become slow.
const SLOW_RUNS: u32 = 500;

/// Says when a server has become slow.
trait SlowDetector {
    /// Notes one latency of the server, given the service's typical one.
    fn note(&mut self, latency: Duration, typical: Duration) -> bool;
}

impl SlowDetector for MedianBound {
    fn note(&mut self, latency: Duration, typical: Duration) -> bool {
        Self::note(self, latency, typical)
    }
}

/// A server is slow when the mean of a number of latencies exceeds a multiple of the typical one.
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
    fn note(&mut self, latency: Duration, typical: Duration) -> bool {
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

/// Shapes of healthy latencies with a median of about 1 ms.
#[derive(Debug, Clone, Copy)]
enum Noise {
    Exponential,
    /// One answer in fifty takes 30 times as long.
    HeavyTail,
    /// A noisy neighbour: five times slower for 200 ms in every 4 s.
    Bursts,
}

fn draw(noise: Noise, number: u32, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let exponential = 0.3 - uniform.ln();
    let ms = match noise {
        Noise::Exponential => exponential,
        Noise::HeavyTail if rng.random_bool(0.02) => 30.0 * exponential,
        Noise::HeavyTail => exponential,
        Noise::Bursts if number % (4 * RATE) < RATE / 5 => 5.0 * exponential,
        Noise::Bursts => exponential,
    };
    Duration::from_secs_f64(ms / 1_000.0)
}

fn main() {
    let typical = Duration::from_millis(1);
    println!(
        "{:<24} {:<12} {:>16} {:>12} {:>12}",
        "way", "noise", "false an hour", "eject p50 ms", "eject p99 ms"
    );
    type Maker = fn() -> Box<dyn SlowDetector>;
    let ways: [(&str, Maker); 7] = [
        ("mean of 16 over 2", || Box::new(MeanThreshold::new(16, 2.0))),
        ("mean of 64 over 2", || Box::new(MeanThreshold::new(64, 2.0))),
        ("bound 1e-6 of 1000", || Box::new(MedianBound::new(1.5, 1e-6, 1_000))),
        ("bound 1e-6 of 256", || Box::new(MedianBound::new(1.5, 1e-6, 256))),
        ("bound 1e-6 of 128", || Box::new(MedianBound::new(1.5, 1e-6, 128))),
        ("bound 1e-4 of 256", || Box::new(MedianBound::new(1.5, 1e-4, 256))),
        ("bound 1e-4 of 128", || Box::new(MedianBound::new(1.5, 1e-4, 128))),
    ];
    for noise in [Noise::Exponential, Noise::HeavyTail, Noise::Bursts] {
        for (name, make) in &ways {
            let mut rng = SmallRng::seed_from_u64(1);
            let mut detector = make();
            let mut false_ejections = 0;
            for number in 0..HOURS * 3_600 * RATE {
                let latency = draw(noise, number, &mut rng);
                false_ejections += u32::from(detector.note(latency, typical));
            }
            let mut times: Vec<u32> = Vec::new();
            for run in 0..SLOW_RUNS {
                let mut detector = make();
                // The change comes at any moment of the detector's period.
                for number in 0..300 + run {
                    detector.note(draw(noise, number, &mut rng), typical);
                }
                let slow = (1..).find(|number| {
                    let latency = 3 * draw(noise, 300 + run + number, &mut rng);
                    detector.note(latency, typical)
                });
                times.push(slow.unwrap_or(u32::MAX) * 1_000 / RATE);
            }
            times.sort_unstable();
            println!(
                "{name:<24} {:<12} {:>16.2} {:>12} {:>12}",
                format!("{noise:?}"),
                f64::from(false_ejections) / f64::from(HOURS),
                times[times.len() / 2],
                times[times.len() * 99 / 100]
            );
        }
    }
}
