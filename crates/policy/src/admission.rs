//! Admission by priority: as an entry fills up, the least important requests are refused first.

use std::time::Duration;

/// The least important priority.
const LOWEST_PRIORITY: u8 = 9;
/// The shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// Limits of an entry.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// Requests in flight and waiting, over all services.
    pub max_in_flight: usize,
    /// Share of the limit from which the least important are refused, in percent.
    pub lowest_share_percent: usize,
    /// Share of the limit that one service may hold, in percent.
    pub service_share_percent: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_in_flight: 4_096, lowest_share_percent: 60, service_share_percent: 50 }
    }
}

/// Decides whether an entry takes a request in.
#[derive(Debug, Clone)]
pub struct AdmissionGate {
    settings: AdmissionSettings,
}

impl AdmissionGate {
    /// Returns a gate with these limits.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings }
    }

    /// Says whether a request of this priority is admitted, given the requests held by the whole
    /// entry and by its service.
    pub fn admits(&self, priority: u8, held: usize, held_by_service: usize) -> bool {
        let limit = self.settings.max_in_flight;
        let service_limit = (limit * self.settings.service_share_percent / 100).max(1);
        held < self.limit(priority) && held_by_service < service_limit
    }

    /// Returns the number of held requests from which a priority is refused.
    fn limit(&self, priority: u8) -> usize {
        let low = self.settings.lowest_share_percent;
        let step = (100 - low) * usize::from(priority.min(LOWEST_PRIORITY));
        let percent = 100 - step / usize::from(LOWEST_PRIORITY);
        (self.settings.max_in_flight * percent / 100).max(1)
    }
}

/// Returns the time after which a refused caller should come back: the time to work off what
/// waits, spread by `spread` in `0.0..1.0` so that the refused do not return together.
pub fn retry_after(backlog: Duration, spread: f64) -> Duration {
    let base = backlog.max(RETRY_AFTER_MIN);
    base + base.mul_f64(spread.clamp(0.0, 1.0))
}
