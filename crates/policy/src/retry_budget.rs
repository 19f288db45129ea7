//! Budgets that bound the load added by retries and hedges to a share of the requests.

/// Tokens a budget may save up, in requests' worth of one percent.
const MAX_SAVED: u64 = 10 * 100;

/// Grants one extra try for each 100 / `percent` requests.
///
/// Invariant: grants never exceed `percent` of the requests noted, plus the saved-up ten.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    hundredths: u64,
}

impl RetryBudget {
    /// Returns a budget of `percent` of requests, with one try saved up.
    pub fn new(percent: u8) -> Self {
        let percent = u64::from(percent);
        Self { percent, hundredths: if percent == 0 { 0 } else { 100 } }
    }

    /// Changes the share.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = u64::from(percent);
    }

    /// Notes a first try.
    pub fn note_request(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(MAX_SAVED);
    }

    /// Takes one extra try, if the budget has one.
    pub fn take(&mut self) -> bool {
        let is_granted = self.percent > 0 && self.hundredths >= 100;
        if is_granted {
            self.hundredths -= 100;
        }
        is_granted
    }
}
