//! The gate that an entry passes directly before it starts new work.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};
use types::FRESHNESS_LIMIT;

/// Knows until when the view of this entry may be acted on.
///
/// Time is kept in microseconds since the gate was made, so that checks need no lock. The value 0
/// means that the view was never confirmed.
#[derive(Debug)]
pub struct FreshnessGate {
    origin: Instant,
    fresh_as_of_us: AtomicU64,
}

impl FreshnessGate {
    /// Returns a closed gate.
    pub fn new(origin: Instant) -> Self {
        Self { origin, fresh_as_of_us: AtomicU64::new(0) }
    }

    /// Notes that the view was confirmed by a request sent at `sent`. Older news changes nothing.
    pub fn confirm(&self, sent: Instant) {
        let since = sent.saturating_duration_since(self.origin).as_micros() as u64;
        self.fresh_as_of_us.fetch_max(since.max(1), Ordering::AcqRel);
    }

    /// Says whether new work may start.
    pub fn is_open(&self, now: Instant) -> bool {
        let fresh_as_of = self.fresh_as_of_us.load(Ordering::Acquire);
        let elapsed = now.saturating_duration_since(self.origin).as_micros() as u64;
        fresh_as_of > 0 && elapsed < fresh_as_of + FRESHNESS_LIMIT.as_micros() as u64
    }
}
