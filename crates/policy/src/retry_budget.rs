//! Token bucket that limits retries or hedges to a percentage of the requests.

/// Capacity of the bucket in hundredths of an attempt: ten attempts.
const MAX_HUNDREDTHS: u64 = 10 * 100;

/// Grants one additional attempt for every 100 / `percent` requests.
///
/// Invariant: while the percentage stays the same, the grants within any period exceed `percent`
/// percent of the requests recorded in it by at most ten, the capacity of the bucket. Counted from
/// the creation of the budget they exceed it by at most one, the attempt that a new budget holds.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    hundredths: u64,
}

impl RetryBudget {
    /// Returns a budget of `percent` percent of the requests that holds one attempt, or none if
    /// `percent` is 0.
    pub fn new(percent: u8) -> Self {
        let percent = u64::from(percent);
        Self { percent, hundredths: if percent == 0 { 0 } else { 100 } }
    }

    /// Changes the percentage. The attempts in the bucket are kept.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = u64::from(percent);
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(MAX_HUNDREDTHS);
    }

    /// Takes one additional attempt. Returns whether the budget had one.
    pub fn take(&mut self) -> bool {
        let is_granted = self.percent > 0 && self.hundredths >= 100;
        if is_granted {
            self.hundredths -= 100;
        }
        is_granted
    }
}
