//! Logs how many servers of each service the entry has a path to.

use parking_lot::Mutex;
use policy::{ReachLevel, ServerReach};
use runtime::Logger;
use slog::info;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};
use types::ServiceName;

/// Minimum time between two lines about one service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The reach that was logged last for a service.
struct LoggedReach {
    level: ReachLevel,
    logged_at: Instant,
}

/// Logs changes of the entry's reach.
pub(crate) struct ReachMonitor {
    logger: Logger,
    services: Mutex<HashMap<ServiceName, LoggedReach>>,
}

impl ReachMonitor {
    /// Returns a monitor for which every service's reach is whole.
    pub(crate) fn new(logger: Logger) -> Self {
        Self { logger, services: Mutex::default() }
    }

    /// Logs a reach whose level differs from the one logged last for the service, at most once per
    /// [`LOG_INTERVAL`].
    pub(crate) fn record(&self, service: &ServiceName, reach: ServerReach) {
        let (level, now) = (reach.level(), Instant::now());
        let mut services = self.services.lock();
        let last = services.get(service);
        let last_level = last.map(|last| last.level).unwrap_or_default();
        let is_due =
            last.is_none_or(|last| now.saturating_duration_since(last.logged_at) >= LOG_INTERVAL);
        if level == last_level || !is_due {
            return;
        }
        info!(self.logger, "paths to servers"; "service" => %service, "level" => level.name(),
            "before" => last_level.name(), "reachable" => reach.reachable,
            "listed" => reach.listed);
        services.insert(service.clone(), LoggedReach { level, logged_at: now });
    }
}
