//! One entry's share of the budget of repeated sends that all entries have together.
//!
//! Each entry keeps to a share of the slack, and to a part of its own requests. The sum then holds
//! without any message between entries.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the budget that entries use; the rest covers entries that the view does not show yet.
const USED_SHARE: f64 = 0.75;

/// The budget that all entries have together, for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends beyond those, within a window.
    pub slack: u32,
    /// Length of the window.
    pub window: Duration,
}

impl Default for BudgetTerms {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 20, window: Duration::from_secs(10) }
    }
}

/// This entry's share for one service.
#[derive(Debug, Clone, Default)]
pub struct SharedBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl SharedBudget {
    /// Notes a request.
    pub fn note_request(&mut self, now: Instant, terms: &BudgetTerms) {
        self.forget(now, terms);
        self.requests.push_back(now);
    }

    /// Takes one repeated send, if the share of one of `entries` entries has one.
    pub fn take(&mut self, now: Instant, terms: &BudgetTerms, entries: usize) -> bool {
        self.forget(now, terms);
        let slack = f64::from(terms.slack) / entries.max(1) as f64;
        let allowed = USED_SHARE * (terms.ratio * self.requests.len() as f64 + slack);
        let is_granted = (self.repeats.len() + 1) as f64 <= allowed;
        if is_granted {
            self.repeats.push_back(now);
        }
        is_granted
    }

    fn forget(&mut self, now: Instant, terms: &BudgetTerms) {
        let is_old = |time: &Instant| now.saturating_duration_since(*time) > terms.window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}
