//! Requests that servers have answered lately, which therefore do not crash servers.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};
use types::RequestFingerprint;

/// Time for which an answer is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of requests that are kept. Beyond it, those that were answered longest ago go.
const MAX_REQUESTS: usize = 4_096;

/// The requests that one entry has seen answered lately.
///
/// A request that many callers send is in progress at most servers that crash. Its other copies are
/// answered, and that tells it from a request that crashes servers.
#[derive(Debug, Clone, Default)]
pub struct RecentAnswers {
    last_answers: HashMap<RequestFingerprint, RecordedAnswer>,
    /// Answers in the order in which they arrived, also earlier ones to the same requests.
    order: VecDeque<(RecordedAnswer, RequestFingerprint)>,
    next_number: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RecordedAnswer {
    number: u64,
    time: Instant,
}

impl RecentAnswers {
    /// Records an answer.
    pub fn record(&mut self, now: Instant, request: RequestFingerprint) {
        let answer = RecordedAnswer { number: self.next_number, time: now };
        self.next_number += 1;
        self.last_answers.insert(request, answer);
        self.order.push_back((answer, request));
        while let Some((answered, oldest)) = self.order.front()
            && (self.order.len() > MAX_REQUESTS || answered.is_over(now))
        {
            if self.last_answers.get(oldest) == Some(answered) {
                self.last_answers.remove(oldest);
            }
            self.order.pop_front();
        }
    }

    /// Returns whether a server has answered the request lately.
    pub fn contains(&self, now: Instant, request: &RequestFingerprint) -> bool {
        self.last_answers.get(request).is_some_and(|answered| !answered.is_over(now))
    }
}

impl RecordedAnswer {
    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.time) >= RETENTION
    }
}
