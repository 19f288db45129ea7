//! A caller's request and its state while it is forwarded.

use crate::{
    attempt::PreparedRequest,
    body::MemoryReservation,
    crash_reporter::{QuarantineClient, RequestFinding},
    servers::BackendServer,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use parking_lot::Mutex;
use policy::{PlacementNeed, WaitRank};
use smallvec::SmallVec;
use std::{
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{ClusterView, PoolSpec, QuarantineStage, RouteSpec, RoutingVersion, ServerName};

/// Maximum size of a body that is hashed after an answer, in bytes. Requests with larger bodies are
/// not kept as answered.
const MAX_HASHED_BODY_BYTES: usize = 256 * 1024;

/// A complete request from a caller.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory that the body occupies.
    pub(crate) reservation: MemoryReservation,
    pub(crate) arrived: Instant,
    /// Address of the caller, if its connection still has one.
    pub(crate) caller: Option<IpAddr>,
}

/// A request that is being forwarded, with the data for its log line.
pub(crate) struct ForwardedCall {
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) pool: PoolSpec,
    pub(crate) request: PreparedRequest,
    pub(crate) caller: Option<IpAddr>,
    pub(crate) arrived: Instant,
    /// Estimated time that the caller has spent on earlier attempts.
    pub(crate) earlier_attempts_time: Duration,
    pub(crate) view: Arc<ClusterView>,
    /// Version of the routing document that the route is from.
    pub(crate) routing: RoutingVersion,
    /// Whether the request comes from another entry, which must not be relayed again.
    pub(crate) is_relayed: bool,
    pub(crate) attempt_log: Mutex<AttemptLog>,
    /// The request's stage in the quarantine when it arrived.
    pub(crate) stage: Option<QuarantineStage>,
    pub(crate) quarantine: QuarantineClient,
}

impl Drop for ForwardedCall {
    /// Reports what the request did to servers, also if its caller has left meanwhile.
    fn drop(&mut self) {
        let AttemptLog { was_answered, lost, .. } = self.attempt_log.get_mut();
        let is_small = self.request.body.len() <= MAX_HASHED_BODY_BYTES;
        let is_relevant = match was_answered {
            true => is_small || self.stage.is_some(),
            false => !lost.is_empty(),
        };
        if !is_relevant {
            return;
        }
        let request = self.request.fingerprint();
        if *was_answered {
            self.quarantine.record_answer(request);
            if self.stage.is_some() {
                self.quarantine.send(RequestFinding::Answered(request));
            }
        } else if !self.quarantine.was_answered(&request) {
            let (pool, servers) = (self.pool.clone(), std::mem::take(lost));
            self.quarantine.send(RequestFinding::Lost { request, pool, servers });
        }
    }
}

impl ForwardedCall {
    /// Returns when the target latency has elapsed since the caller's first attempt.
    pub(crate) fn target_deadline(&self) -> Instant {
        self.arrived + self.route.target().saturating_sub(self.earlier_attempts_time)
    }

    /// Returns the latest time at which a server can start the request and still meet the target
    /// latency, which is extended to [`PlacementNeed::reachable_target`] if it is too short.
    pub(crate) fn latest_start(&self, service_time: Duration) -> Instant {
        let reachable = PlacementNeed::reachable_target(service_time, self.route.target());
        self.arrived + reachable.saturating_sub(self.earlier_attempts_time) - service_time
    }

    /// Returns the queue rank of the request, given the usual service time.
    pub(crate) fn rank(&self, now: Instant, service_time: Duration) -> WaitRank {
        let is_late = now >= self.latest_start(service_time);
        WaitRank { is_late, priority: self.route.priority, arrived: self.arrived }
    }

    /// Returns when the rank changes next, or `end` if that is earlier.
    pub(crate) fn next_rank_change(
        &self,
        now: Instant,
        service_time: Duration,
        end: Instant,
    ) -> Instant {
        let latest_start = self.latest_start(service_time);
        if latest_start > now { latest_start.min(end) } else { end }
    }

    /// Returns the number of entries that serve callers.
    pub(crate) fn serving_entries(&self) -> usize {
        self.view.entries().filter(|entry| entry.serving).count()
    }

    /// Returns whether the route's `max_attempts` allows another attempt. Hedged attempts count. A
    /// request that is suspected of crashing servers gets a single attempt.
    pub(crate) fn may_add_attempt(&self) -> bool {
        let limit = match self.stage {
            Some(_) => 1,
            None => usize::from(self.route.max_attempts),
        };
        let attempt_log = self.attempt_log.lock();
        !attempt_log.is_exhausted && attempt_log.tried.len() < limit
    }
}

/// A record of the attempts and probes for one request.
#[derive(Default)]
pub(crate) struct AttemptLog {
    /// The server of each attempt, in the order of the attempts.
    pub(crate) tried: SmallVec<[ServerName; 2]>,
    /// Text for the log, one item for each attempt.
    pub(crate) summary: String,
    /// Number of servers that were probed in searches that found a server; others are not counted.
    pub(crate) probe_count: usize,
    /// Servers of attempts that ended without an answer.
    pub(crate) lost: SmallVec<[Arc<BackendServer>; 2]>,
    /// Whether a server has answered the request, with whatever status.
    pub(crate) was_answered: bool,
    /// Whether the request may be sent to another entry if the last one refused it.
    pub(crate) may_relay_again: bool,
    /// Number of other entries that the request was sent to.
    pub(crate) relay_count: usize,
    /// Whether another entry may have used up the attempts without saying so.
    pub(crate) is_exhausted: bool,
    /// Whether a server may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether the server of the last attempt had a free slot when it was probed.
    pub(crate) had_free_slot: bool,
}
