//! Rate limit on the probes of one server.

use std::time::{Duration, Instant};

/// Grants evenly spaced probes; unused probes do not accumulate.
///
/// Only the shard owner of a server probes it. A new shard owner starts with an empty budget and
/// waits a full interval, so that the rate holds across changes of owner without coordination.
#[derive(Debug, Clone)]
pub struct ProbeBudget {
    interval: Option<Duration>,
    next_due: Option<Instant>,
}

impl ProbeBudget {
    /// Returns a budget that grants its first probe one interval after `now`, and none at a rate of
    /// 0.
    pub fn new(probes_per_minute: u16, now: Instant) -> Self {
        let interval = match probes_per_minute {
            0 => None,
            rate => Some(Duration::from_secs(60) / u32::from(rate)),
        };
        Self { interval, next_due: interval.map(|interval| now + interval) }
    }

    /// Takes one probe. Returns whether one was due.
    pub fn take(&mut self, now: Instant) -> bool {
        match (self.interval, self.next_due) {
            (Some(interval), Some(next_due)) if now >= next_due => {
                self.next_due = Some(now + interval);
                true
            }
            _ => false,
        }
    }
}
