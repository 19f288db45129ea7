//! Decisions: pure functions and small state machines without I/O.
//!
//! Time is an argument everywhere, so that tests and measurements run at any speed.

mod admission;
mod book;
mod cold_start;
mod directory;
mod freshness;
mod guide;
mod health;
mod latency;
mod probe_budget;
mod retry_budget;
mod selection;
mod service_load;
mod slow;

pub use admission::{AdmissionGate, AdmissionSettings, retry_after};
pub use book::{ANNOUNCEMENT_LEASE, AnnounceOutcome, ServerBook};
pub use cold_start::ColdRamp;
pub use directory::{BEAT_LIMIT, DirectoryServer, ServerDirectory};
pub use freshness::FreshnessGate;
pub use guide::rank_entries;
pub use health::{ServerHealth, TryOutcome};
pub use latency::LatencyTracker;
pub use probe_budget::ProbeBudget;
pub use retry_budget::RetryBudget;
pub use selection::{CandidateLoad, LatencySelector, ServerSelector};
pub use service_load::{
    LoadSettings, PickResult, PickedServer, ReleaseNotes, ServerView, ServiceLoad, StatedLoad,
    expected_wait,
};
pub use slow::MedianBound;
