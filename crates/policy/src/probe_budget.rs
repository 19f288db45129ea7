//! The budget of measuring one server.

use std::time::{Duration, Instant};

/// Grants probes at an agreed rate, without any saved up.
///
/// Only a server's owner probes it. A new owner starts with an empty budget, and waits a whole
/// interval, so that the rate holds over changes of the owner without coordination.
#[derive(Debug, Clone)]
pub struct ProbeBudget {
    interval: Option<Duration>,
    next: Option<Instant>,
}

impl ProbeBudget {
    /// Returns a budget of this many probes a minute, first granted one interval from `now`.
    pub fn new(probes_per_minute: u16, now: Instant) -> Self {
        let interval = match probes_per_minute {
            0 => None,
            rate => Some(Duration::from_secs(60) / u32::from(rate)),
        };
        Self { interval, next: interval.map(|interval| now + interval) }
    }

    /// Takes one probe, if it is due.
    pub fn take(&mut self, now: Instant) -> bool {
        match (self.interval, self.next) {
            (Some(interval), Some(next)) if now >= next => {
                self.next = Some(now + interval);
                true
            }
            _ => false,
        }
    }
}
