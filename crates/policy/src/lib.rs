//! Load-balancing policies: pure functions and small state machines without I/O.
//!
//! Functions take the current time as an argument, so that tests and benchmarks need no real clock.

mod admission;
mod caller_timeouts;
mod cold_share;
mod cold_start;
mod crash_evidence;
mod directory;
mod entry_ranking;
mod first_routes;
mod freshness;
mod health;
mod latency;
mod placement;
mod probe_budget;
mod recent_answers;
mod registry;
mod relay_choice;
mod request_limit;
mod retry_budget;
mod retry_delay;
mod selection;
mod server_hold;
mod server_reach;
mod service_load;
mod service_time;
mod shared_budget;
mod slow;
mod wait_queue;

pub use admission::{AdmissionGate, AdmissionSettings, retry_after};
pub use caller_timeouts::CallerTimeouts;
pub use cold_share::{
    ColdAllowance, WARM_UP_ENTRIES, is_warm_up_entry, rendezvous_rank, rendezvous_weight,
};
pub use cold_start::WarmUpRamp;
pub use crash_evidence::{CrashObservation, is_crash_proved};
pub use directory::{DirectoryServer, HEARTBEAT_TIMEOUT, ServerDirectory};
pub use entry_ranking::rank_entries;
pub use first_routes::StartupWait;
pub use freshness::FreshnessGate;
pub use health::{AttemptOutcome, ServerHealth};
pub use latency::LatencyTracker;
pub use placement::{
    CapacityNeed, PlacementCandidate, PlacementNeed, ServerLoad, cheapest_candidate,
};
pub use probe_budget::ProbeBudget;
pub use recent_answers::RecentAnswers;
pub use registry::{ANNOUNCEMENT_LEASE, AnnounceOutcome, ServerRegistry};
pub use relay_choice::{RelayPause, RelayRank, RelayRecord, is_better_placed};
pub use request_limit::{EntryPlace, RequestLimit};
pub use retry_budget::RetryBudget;
pub use retry_delay::{CapacityForecast, retry_delay};
pub use selection::{CandidateLoad, LatencySelector, ServerSelector};
pub use server_hold::{HoldEnd, ServerHold, ServerSignals, SignalSource, first_hold_end};
pub use server_reach::{ReachLevel, ServerReach};
pub use service_load::{
    BalancerSettings, PickResult, PickedServer, ReleaseOutcome, ServerReport, ServerStatus,
    ServiceBalancer, expected_wait,
};
pub use service_time::ServiceTime;
pub use shared_budget::{BudgetLimits, SharedBudget};
pub use slow::MedianTest;
pub use wait_queue::{WaitQueue, WaitRank, WaitTicket};
