//! One entry's share of the retry budget of all entries.
//!
//! Each entry limits its retries to a fraction of its own requests and a share of the slack, so
//! that the total stays within the budget without messages between entries.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the budget that entries use. The rest covers entries that are not in the view yet.
const USED_SHARE: f64 = 0.75;

/// The retry budget of one service, for all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Additional retries within a window.
    pub slack: u32,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 20, window: Duration::from_secs(10) }
    }
}

/// Requests and retries of this entry within the window, for one service.
#[derive(Debug, Clone, Default)]
pub struct SharedBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl SharedBudget {
    /// Records a request.
    pub fn record_request(&mut self, now: Instant, limits: &BudgetLimits) {
        self.drop_expired(now, limits);
        self.requests.push_back(now);
    }

    /// Removes the latest request, so that another entry may record it in place of this one. Returns
    /// false and removes none if the retries taken here depend on it.
    pub fn hand_over_request(
        &mut self,
        now: Instant,
        limits: &BudgetLimits,
        entries: usize,
    ) -> bool {
        self.drop_expired(now, limits);
        let left = self.requests.len().saturating_sub(1);
        let may_leave = left < self.requests.len()
            && self.retries.len() as f64 <= Self::allowance(left, limits, entries);
        if may_leave {
            self.requests.pop_back();
        }
        may_leave
    }

    /// Returns the number of retries that a number of requests allows this entry within a window.
    fn allowance(requests: usize, limits: &BudgetLimits, entries: usize) -> f64 {
        let slack = f64::from(limits.slack) / entries.max(1) as f64;
        USED_SHARE * (limits.ratio * requests as f64 + slack)
    }

    /// Takes one retry, given the number of entries. Returns whether this entry's share allowed it.
    pub fn take(&mut self, now: Instant, limits: &BudgetLimits, entries: usize) -> bool {
        self.drop_expired(now, limits);
        let allowed = Self::allowance(self.requests.len(), limits, entries);
        let is_granted = (self.retries.len() + 1) as f64 <= allowed;
        if is_granted {
            self.retries.push_back(now);
        }
        is_granted
    }

    fn drop_expired(&mut self, now: Instant, limits: &BudgetLimits) {
        let is_expired = |time: &Instant| now.saturating_duration_since(*time) > limits.window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}
