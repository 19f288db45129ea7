//! What an entry has seen of one server lately, and whether it therefore leaves the server alone.

use std::time::{Duration, Instant};

/// The first pause after a refused or broken connection or a late answer; doubled at each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// The first pause after a shed request; doubled at each further one.
const FIRST_SHED_PAUSE: Duration = Duration::from_millis(5);
/// The longest pause after a shed request.
const LONGEST_SHED_PAUSE: Duration = Duration::from_millis(500);
/// The first pause of a slow server; doubled at each further one.
const FIRST_SLOW_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause of a slow server.
const LONGEST_SLOW_PAUSE: Duration = Duration::from_secs(16);
/// Weight of one answer in the share of failures, as a divisor.
const FAILURE_DIVISOR: f64 = 8.0;
/// Share of failures above which a server is paused.
const FAILURE_LIMIT: f64 = 0.5;

/// How one try at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer that is no server error.
    Success(Duration),
    /// A whole answer with a server error.
    ServerError,
    /// The server declared that it did not run the request, being overloaded.
    Shed,
    /// The connection was refused or could not be opened.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer by the deadline, or long after answers commonly come.
    Late,
    /// The try was given up for reasons that do not concern the server.
    Cancelled,
}

/// The health of one server as seen by one entry.
///
/// A fail-fast server answers quickly and so would attract load; the share of its failures keeps it
/// out instead.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    paused_until: Option<Instant>,
    pause: Duration,
    shed_pause: Duration,
    slow_pause: Duration,
    failure_share: f64,
    is_on_trial: bool,
}

impl ServerHealth {
    /// Notes the end of a try.
    pub fn note(&mut self, outcome: AttemptOutcome, now: Instant) {
        match outcome {
            AttemptOutcome::Success(_) => {
                self.note_share(0.0);
                self.is_on_trial = false;
                self.pause = Duration::ZERO;
                self.shed_pause = Duration::ZERO;
            }
            AttemptOutcome::ServerError => {
                self.note_share(1.0);
                if self.failure_share > FAILURE_LIMIT {
                    self.lengthen_pause(now);
                }
            }
            AttemptOutcome::Shed => {
                let doubled = self.shed_pause * 2;
                self.shed_pause = doubled.clamp(FIRST_SHED_PAUSE, LONGEST_SHED_PAUSE);
                self.pause_for(self.shed_pause, now);
            }
            AttemptOutcome::Unreachable => self.lengthen_pause(now),
            AttemptOutcome::Broken | AttemptOutcome::Late => {
                self.note_share(1.0);
                self.lengthen_pause(now);
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Notes that the server has become slow.
    pub fn note_slow(&mut self, now: Instant) {
        self.slow_pause = (self.slow_pause * 2).clamp(FIRST_SLOW_PAUSE, LONGEST_SLOW_PAUSE);
        self.pause_for(self.slow_pause, now);
    }

    /// Says whether the server is left alone for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Says whether the server gets one request at a time until it answers well.
    pub fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    fn note_share(&mut self, failure: f64) {
        self.failure_share += (failure - self.failure_share) / FAILURE_DIVISOR;
    }

    fn lengthen_pause(&mut self, now: Instant) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.is_on_trial = true;
        self.pause_for(self.pause, now);
    }

    fn pause_for(&mut self, pause: Duration, now: Instant) {
        let until = now + pause;
        self.paused_until = Some(self.paused_until.map_or(until, |known| known.max(until)));
    }
}
