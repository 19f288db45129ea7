//! Warm-up of a server that has just started: its concurrency limit grows with its successes.

/// Successes after which the limit grows by half of its value, rounded down but at least one.
const SUCCESSES_PER_STEP: u32 = 8;

/// Limits the concurrent requests at one cold server. Only the server's shard owner has one.
///
/// Invariant: the limit stays between 1 and the server's slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WarmUpRamp {
    limit: u32,
    start: u32,
    slots: u32,
    successes: u32,
}

impl WarmUpRamp {
    /// Returns a ramp that starts at `cold_concurrency` requests and ends at the server's slots.
    pub fn new(cold_concurrency: u16, slots: u16) -> Self {
        let slots = u32::from(slots).max(1);
        let start = u32::from(cold_concurrency).clamp(1, slots);
        Self { limit: start, start, slots, successes: 0 }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Records a success. Returns true once the server is warm, which takes a full step of
    /// successes at a limit of all its slots.
    pub fn record_success(&mut self) -> bool {
        self.successes += 1;
        if self.successes < SUCCESSES_PER_STEP {
            return false;
        }
        self.successes = 0;
        if self.limit >= self.slots {
            return true;
        }
        self.limit = (self.limit + (self.limit / 2).max(1)).min(self.slots);
        false
    }

    /// Records a shed, failed or late answer: the ramp starts over.
    pub fn record_failure(&mut self) {
        self.limit = self.start;
        self.successes = 0;
    }
}
