//! The ramp by which a server that has just started is given more and more work.

/// Successes at the current limit that widen it by half, at least by one.
const SUCCESSES_PER_STEP: u32 = 8;

/// Bounds the concurrent requests of one cold server. Kept by its owner only.
///
/// Invariant: the limit stays between 1 and the server's slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdRamp {
    limit: u32,
    start: u32,
    slots: u32,
    successes: u32,
}

impl ColdRamp {
    /// Returns a ramp from what a cold server bears to its slots.
    pub fn new(cold_concurrency: u16, slots: u16) -> Self {
        let slots = u32::from(slots).max(1);
        let start = u32::from(cold_concurrency).clamp(1, slots);
        Self { limit: start, start, slots, successes: 0 }
    }

    /// Returns the greatest number of concurrent requests at present.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Notes a good answer. Returns true once the server has proved itself at all its slots.
    pub fn note_success(&mut self) -> bool {
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

    /// Notes a shed, failed or overlong answer: the ramp starts over.
    pub fn note_failure(&mut self) {
        self.limit = self.start;
        self.successes = 0;
    }
}
