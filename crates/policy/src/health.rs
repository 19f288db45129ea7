//! Passive health check of one server: ejects it for a backoff time after failed requests.

use std::time::{Duration, Instant};

/// First ejection after a refused or broken connection, a late answer or a high failure rate;
/// doubles each time until a success resets it.
const MIN_EJECTION: Duration = Duration::from_millis(100);
/// Longest ejection after such failures.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// First ejection after a shed request; doubles each time until a success resets it.
const MIN_SHED_EJECTION: Duration = Duration::from_millis(5);
/// Longest ejection after a shed request.
const MAX_SHED_EJECTION: Duration = Duration::from_millis(500);
/// First ejection of a slow server; doubles each time and is not reset by a success.
const MIN_SLOW_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection of a slow server.
const MAX_SLOW_EJECTION: Duration = Duration::from_secs(16);
/// Weight of one answer in the moving average of failures.
const FAILURE_RATE_WEIGHT: f64 = 1.0 / 8.0;
/// Failure rate, 0 to 1, above which a server error ejects the server.
const MAX_FAILURE_RATE: f64 = 0.5;

/// How one attempt at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer other than a server error, with its latency.
    Success(Duration),
    /// A complete answer with a server error.
    ServerError,
    /// The server was overloaded and stated that it did not run the request.
    Shed,
    /// The connection was refused or could not be opened.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer by the deadline, or well past the usual latency.
    Late,
    /// The attempt was cancelled for a reason unrelated to the server.
    Cancelled,
}

/// The health of one server as seen by one entry.
///
/// Selection by latency favors a server that fails fast, so the server is ejected once its failure
/// rate is too high.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    ejected_until: Option<Instant>,
    ejection: Duration,
    shed_ejection: Duration,
    slow_ejection: Duration,
    failure_rate: f64,
    is_half_open: bool,
}

impl ServerHealth {
    /// Records the end of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome, now: Instant) {
        match outcome {
            AttemptOutcome::Success(_) => {
                self.update_failure_rate(0.0);
                self.is_half_open = false;
                self.ejection = Duration::ZERO;
                self.shed_ejection = Duration::ZERO;
            }
            AttemptOutcome::ServerError => {
                self.update_failure_rate(1.0);
                if self.failure_rate > MAX_FAILURE_RATE {
                    self.lengthen_ejection(now);
                }
            }
            AttemptOutcome::Shed => {
                let doubled = self.shed_ejection * 2;
                self.shed_ejection = doubled.clamp(MIN_SHED_EJECTION, MAX_SHED_EJECTION);
                self.eject_for(self.shed_ejection, now);
            }
            AttemptOutcome::Unreachable => self.lengthen_ejection(now),
            AttemptOutcome::Broken | AttemptOutcome::Late => {
                self.update_failure_rate(1.0);
                self.lengthen_ejection(now);
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Ejects a server that has become slow, each time for twice as long, up to the maximum.
    pub fn eject_slow(&mut self, now: Instant) {
        self.slow_ejection = (self.slow_ejection * 2).clamp(MIN_SLOW_EJECTION, MAX_SLOW_EJECTION);
        self.eject_for(self.slow_ejection, now);
    }

    /// Returns whether the server is ejected and should get no requests.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server gets at most one request at a time. This holds from an ejection
    /// for a refused or broken connection, a late answer or a high failure rate until the next
    /// success. Ejections for shed requests or slowness do not cause it.
    pub fn is_half_open(&self) -> bool {
        self.is_half_open
    }

    fn update_failure_rate(&mut self, failure: f64) {
        self.failure_rate += (failure - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    /// Ejects the server for twice as long as the last time, up to the maximum, and makes it
    /// half-open.
    fn lengthen_ejection(&mut self, now: Instant) {
        self.ejection = (self.ejection * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        self.is_half_open = true;
        self.eject_for(self.ejection, now);
    }

    fn eject_for(&mut self, ejection: Duration, now: Instant) {
        let until = now + ejection;
        self.ejected_until = Some(self.ejected_until.map_or(until, |known| known.max(until)));
    }
}
