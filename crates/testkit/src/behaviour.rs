//! How a fake server behaves, and what it has seen.

use std::{collections::HashMap, time::Duration};

/// What the fake states about its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReport {
    /// Nothing.
    Silent,
    /// Its requests in flight.
    True,
    /// This number, whatever the truth.
    Lie(u32),
}

/// The way in which requests are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeMode {
    /// Run and answered whole.
    Normal,
    /// Not run; answered at once with status 500.
    FailFast,
    /// Not run; answered with 503 and the header that says so.
    ShedNotRun,
    /// Run, then the answer is cut in the middle.
    Truncate,
    /// Run, then the connection is closed without an answer.
    DropAfterRun,
    /// Not run; the connection is closed without an answer.
    DropBeforeRun,
    /// Run, but never answered.
    Hang,
}

/// How a fake server behaves at present.
#[derive(Debug, Clone)]
pub struct FakeBehaviour {
    /// Way of answering.
    pub mode: FakeMode,
    /// Requests that run at the same time; more wait.
    pub slots: u32,
    /// Requests that may wait; more are shed with "not run".
    pub queue_limit: u32,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Spread of the service time: exponential with this share of the mean, 0 for none.
    pub jitter: f64,
    /// Factor on the service time.
    pub slowness: f64,
    /// Requests that the server bears at the same time while it is cold.
    pub cold_bears: u32,
    /// Requests after which it is warm; 0 if it starts warm.
    pub cold_requests: u32,
    /// Stated load.
    pub report: LoadReport,
    /// Bytes of padding in an answer.
    pub padding: usize,
    /// States on answers that it is leaving.
    pub says_leaving: bool,
}

impl Default for FakeBehaviour {
    fn default() -> Self {
        Self {
            mode: FakeMode::Normal,
            slots: 3,
            queue_limit: 64,
            service_time: Duration::from_millis(1),
            jitter: 0.0,
            slowness: 1.0,
            cold_bears: 1,
            cold_requests: 0,
            report: LoadReport::True,
            padding: 64,
            says_leaving: false,
        }
    }
}

/// What a fake server has seen.
#[derive(Debug, Clone, Default)]
pub struct FakeStats {
    /// Requests that ran.
    pub executions: u64,
    /// Runs of each idempotency key.
    pub by_key: HashMap<String, u32>,
    /// Requests received, run or not.
    pub received: u64,
    /// Probes received.
    pub probes: u64,
    /// The most requests that were there at the same time.
    pub most_in_flight: u32,
    /// Requests that came while the cold server already had all that it bears.
    pub cold_overloads: u64,
    /// Requests whose connection was closed before they ended.
    pub cancelled: u64,
    /// Deadline stated by the last request, in milliseconds.
    pub last_deadline_ms: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests run since the last start.
    pub since_start: u32,
}
