//! Admission control by priority: as an entry fills up, the least important requests are refused
//! first.

use std::time::Duration;

/// Least important priority; 0 is the most important.
const LOWEST_PRIORITY: u8 = 9;
/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Limits on the requests that an entry holds.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// Maximum number of requests in flight and waiting, over all services.
    pub max_in_flight: usize,
    /// Share of the limit from which the least important requests are refused, in percent.
    pub lowest_share_percent: usize,
    /// Share of the limit that the requests of one service may use, in percent.
    pub service_share_percent: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_in_flight: 4_096, lowest_share_percent: 60, service_share_percent: 50 }
    }
}

/// Decides whether an entry admits a request.
#[derive(Debug, Clone)]
pub struct AdmissionGate {
    settings: AdmissionSettings,
}

impl AdmissionGate {
    /// Returns a gate with these limits.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings }
    }

    /// Returns whether a request of this priority is admitted, given the number of requests that
    /// the entry holds in total (`held`) and for the request's service.
    pub fn admits(&self, priority: u8, held: usize, held_by_service: usize) -> bool {
        let limit = self.settings.max_in_flight;
        let service_limit = (limit * self.settings.service_share_percent / 100).max(1);
        held < self.limit(priority) && held_by_service < service_limit
    }

    /// Returns the number of held requests from which a priority is refused. It falls linearly from
    /// priority 0 to the least important one.
    fn limit(&self, priority: u8) -> usize {
        let low = self.settings.lowest_share_percent;
        let step = (100 - low) * usize::from(priority.min(LOWEST_PRIORITY));
        let percent = 100 - step / usize::from(LOWEST_PRIORITY);
        (self.settings.max_in_flight * percent / 100).max(1)
    }
}

/// Returns the time after which a caller refused by the `entry` crate should retry. The `gateway`
/// crate uses [`retry_delay`](crate::retry_delay) instead.
///
/// The result is the time in which the backlog clears, at least 200 ms, plus `jitter` times as
/// long, so that callers refused together do not retry together. `jitter` is a uniform random
/// number from 0 to 1.
pub fn retry_after(backlog: Duration, jitter: f64) -> Duration {
    let base = backlog.max(MIN_RETRY_AFTER);
    base + base.mul_f64(jitter.clamp(0.0, 1.0))
}
