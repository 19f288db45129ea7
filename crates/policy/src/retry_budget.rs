//! Token bucket that limits retries or hedges to a percentage of the requests.

/// Capacity of the bucket in hundredths of an attempt: ten attempts.
const MAX_HUNDREDTHS: u64 = 10 * 100;

/// Grants one additional attempt for every 100 / `percent` requests.
///
/// Invariant: grants never exceed `percent` percent of the recorded requests by more than ten.
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

    /// Changes the percentage.
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
