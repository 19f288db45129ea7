//! A caller's request, and what an entry knows of it on its way.

use crate::{attempt::PreparedRequest, body::MemoryReservation};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use parking_lot::Mutex;
use policy::{PlacementNeed, WaitRank};
use smallvec::SmallVec;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use types::{ClusterView, PoolSpec, RouteSpec, ServerName};

/// A whole request of a caller.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory of the body.
    pub(crate) reservation: MemoryReservation,
    pub(crate) arrived: Instant,
}

/// A request on its way, with what its log line will say.
pub(crate) struct ForwardedCall {
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) pool: PoolSpec,
    pub(crate) request: PreparedRequest,
    pub(crate) arrived: Instant,
    /// How long the caller has waited before this attempt.
    pub(crate) waited: Duration,
    pub(crate) view: Arc<ClusterView>,
    pub(crate) attempt_log: Mutex<AttemptLog>,
}

impl ForwardedCall {
    /// Returns when the target latency passes, counted from the caller's first attempt.
    pub(crate) fn target_deadline(&self) -> Instant {
        self.arrived + self.route.target().saturating_sub(self.waited)
    }

    /// Returns when the work must have started to meet the target.
    pub(crate) fn latest_start(&self, usual_work: Duration) -> Instant {
        let reachable = PlacementNeed::reachable_target(usual_work, self.route.target());
        self.arrived + reachable.saturating_sub(self.waited) - usual_work
    }

    /// Returns the place in line of a request whose work usually takes so long.
    pub(crate) fn rank(&self, now: Instant, usual_work: Duration) -> WaitRank {
        let is_late = now >= self.latest_start(usual_work);
        WaitRank { is_late, priority: self.route.priority, arrived: self.arrived }
    }

    /// Returns when the rank changes, or `end` if that is earlier.
    pub(crate) fn next_rank_change(
        &self,
        now: Instant,
        usual_work: Duration,
        end: Instant,
    ) -> Instant {
        let latest_start = self.latest_start(usual_work);
        if latest_start > now { latest_start.min(end) } else { end }
    }

    /// Says whether the route allows one more server, counting second attempts beside the first.
    pub(crate) fn may_add_attempt(&self) -> bool {
        self.attempt_log.lock().tried.len() < usize::from(self.route.max_attempts)
    }
}

/// Servers that were tried.
#[derive(Default)]
pub(crate) struct AttemptLog {
    pub(crate) tried: SmallVec<[ServerName; 2]>,
    pub(crate) summary: String,
    pub(crate) probe_count: usize,
    pub(crate) may_have_run: bool,
    /// The server that was tried last had a free slot when it was asked.
    pub(crate) had_free_slot: bool,
}
