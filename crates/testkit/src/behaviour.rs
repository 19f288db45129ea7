//! Configurable behaviour and statistics of a fake server.

use std::{collections::HashMap, time::Duration};

/// The load that a fake server reports in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReport {
    /// No load is reported.
    Omitted,
    /// The number of requests in flight.
    Actual,
    /// A fixed number, independent of the requests in flight.
    Fixed(u32),
}

/// How a fake server handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeMode {
    /// Runs the request and sends the complete answer.
    Normal,
    /// Answers with status 500 at once, without running the request.
    FailFast,
    /// Answers with status 503 and the header that marks the request as not run.
    ShedNotRun,
    /// Runs the request, then breaks the answer off in the middle of the body.
    Truncate,
    /// Runs the request, then closes the connection without an answer.
    DropAfterRun,
    /// Closes the connection without an answer and without running the request.
    DropBeforeRun,
    /// Runs the request, but never answers.
    Hang,
}

/// Current behaviour of a fake server.
#[derive(Debug, Clone)]
pub struct FakeBehaviour {
    /// How requests are handled.
    pub mode: FakeMode,
    /// Maximum number of concurrent requests; further requests are queued.
    pub slots: u32,
    /// Maximum number of queued requests; further requests are shed as not run.
    pub queue_limit: u32,
    /// Mean time that a request takes, before `slowdown` is applied.
    pub service_time: Duration,
    /// Share of the mean service time that is exponentially distributed, from 0 (none) to 1 (all).
    pub jitter: f64,
    /// Factor by which the service time is multiplied.
    pub slowdown: f64,
    /// Maximum number of concurrent requests while the server is cold; further requests get status
    /// 500.
    pub cold_concurrency: u32,
    /// Number of requests after which the server is warm; 0 if it starts warm.
    pub warm_up_requests: u32,
    /// The load that answers report.
    pub load_report: LoadReport,
    /// Length of the padding in an answer's body, in bytes.
    pub padding_bytes: usize,
    /// Whether answers report that the server is leaving.
    pub is_leaving: bool,
}

impl Default for FakeBehaviour {
    fn default() -> Self {
        Self {
            mode: FakeMode::Normal,
            slots: 3,
            queue_limit: 64,
            service_time: Duration::from_millis(1),
            jitter: 0.0,
            slowdown: 1.0,
            cold_concurrency: 1,
            warm_up_requests: 0,
            load_report: LoadReport::Actual,
            padding_bytes: 64,
            is_leaving: false,
        }
    }
}

/// Counters of a fake server.
#[derive(Debug, Clone, Default)]
pub struct FakeStats {
    /// Requests that have run.
    pub executions: u64,
    /// Number of executions for each idempotency key.
    pub executions_by_key: HashMap<String, u32>,
    /// Requests received, whether or not they ran. Probes are not included.
    pub received: u64,
    /// Probes received.
    pub probes: u64,
    /// Highest number of requests in flight at the same time.
    pub max_in_flight: u32,
    /// Requests received by the cold server beyond its `cold_concurrency`.
    pub cold_overloads: u64,
    /// Requests whose connection was closed before they completed.
    pub cancelled: u64,
    /// Deadline header of the last request that ran, in milliseconds; 0 if absent or invalid.
    pub last_deadline_ms: u64,
    /// Requests in flight, including queued ones.
    pub in_flight: u32,
    /// Requests that have run since the last start.
    pub executions_since_start: u32,
}
