//! Choice among the servers that may get a request.
//!
//! docs/design/0007-selection.md compares the selector used here with alternatives.

use rand::{Rng, RngCore};
use smallvec::SmallVec;
use std::time::Duration;

/// The load of one server as known to an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateLoad {
    /// This entry's requests in flight at the server.
    pub in_flight: u32,
    /// Maximum number of requests that this entry may have in flight at the server.
    pub limit: u32,
    /// Mean latency measured by this entry, or zero if unknown.
    pub latency: Duration,
    /// Requests in flight by the server's latest load report, and the age of the report.
    pub report: Option<(u32, Duration)>,
}

impl CandidateLoad {
    /// Returns whether this entry may send the server another request.
    pub fn has_capacity(&self) -> bool {
        self.in_flight < self.limit
    }
}

/// Policy that picks a server for a request.
pub trait ServerSelector: Send + Sync {
    /// Returns the index of a candidate below its limit, or `None` if there is none.
    fn pick(&self, candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize>;
}

/// Age from which a load report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_millis(100);
/// Latency assumed of a server whose latency is unknown.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(1);

/// Picks the better of two random servers: the one with the lower expected latency.
///
/// The expected latency is the mean latency times the number of requests in flight plus one. A load
/// report raises the number of requests in flight with a weight that falls linearly with its age.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencySelector;

impl ServerSelector for LatencySelector {
    fn pick(&self, candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize> {
        better_of_two(candidates, rng, expected_latency)
    }
}

/// Returns the expected latency of another request, in seconds.
fn expected_latency(candidate: &CandidateLoad) -> f64 {
    let latency = if candidate.latency.is_zero() { UNKNOWN_LATENCY } else { candidate.latency };
    let own = f64::from(candidate.in_flight);
    let in_flight = match candidate.report {
        Some((load, age)) if age < REPORT_MAX_AGE => {
            let weight = 1.0 - age.as_secs_f64() / REPORT_MAX_AGE.as_secs_f64();
            own + weight * (f64::from(load) - own).max(0.0)
        }
        _ => own,
    };
    latency.as_secs_f64() * (in_flight + 1.0)
}

/// Returns the index of a random candidate below its limit.
fn pick_below_limit(candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize> {
    let count = candidates.iter().filter(|candidate| candidate.has_capacity()).count();
    if count == 0 {
        return None;
    }
    let chosen = rng.random_range(0..count);
    let mut below_limit = candidates.iter().enumerate().filter(|(_, c)| c.has_capacity());
    below_limit.nth(chosen).map(|(index, _)| index)
}

/// Returns the index of the cheaper of two random candidates below their limits.
fn better_of_two(
    candidates: &[CandidateLoad],
    rng: &mut dyn RngCore,
    cost: impl Fn(&CandidateLoad) -> f64,
) -> Option<usize> {
    let first = pick_below_limit(candidates, rng)?;
    let mut others: SmallVec<[CandidateLoad; 16]> = candidates.into();
    others[first].limit = 0;
    let Some(second) = pick_below_limit(&others, rng) else {
        return Some(first);
    };
    let is_better = cost(&candidates[second]) < cost(&candidates[first]);
    Some(if is_better { second } else { first })
}
