//! Check whether an entry's view is recent enough, made directly before new work starts.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};
use types::FRESHNESS_LIMIT;

/// Allows new work while the entry's view was confirmed within [`FRESHNESS_LIMIT`].
#[derive(Debug)]
pub struct FreshnessGate {
    origin: Instant,
    /// Time of the latest confirmation, in microseconds since `origin`, or 0 if there was none. An
    /// atomic integer, so that checks need no lock.
    fresh_as_of_us: AtomicU64,
}

impl FreshnessGate {
    /// Returns a gate that stays closed until the first confirmation. `origin` is the time from
    /// which it counts.
    pub fn new(origin: Instant) -> Self {
        Self { origin, fresh_as_of_us: AtomicU64::new(0) }
    }

    /// Records that the view was confirmed by a request sent at `sent`. Has no effect if a later
    /// request has confirmed it already.
    pub fn confirm(&self, sent: Instant) {
        let since = sent.saturating_duration_since(self.origin).as_micros() as u64;
        self.fresh_as_of_us.fetch_max(since.max(1), Ordering::AcqRel);
    }

    /// Returns whether new work may start.
    pub fn is_open(&self, now: Instant) -> bool {
        let fresh_as_of = self.fresh_as_of_us.load(Ordering::Acquire);
        let elapsed = now.saturating_duration_since(self.origin).as_micros() as u64;
        fresh_as_of > 0 && elapsed < fresh_as_of + FRESHNESS_LIMIT.as_micros() as u64
    }
}
