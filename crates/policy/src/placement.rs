//! Choice of a server by load reports requested for each placement.
//!
//! Load changes within milliseconds, so that a cached report is of little use. To place a request,
//! an entry asks a few servers of the service for their load, those in its own failure domain
//! first, and takes the one with the lowest cost. docs/design/0008-platform.md compares this with
//! alternatives.

use std::time::Duration;

/// Utilization above which a server slows down.
const NEARLY_FULL_UTILIZATION: f64 = 0.8;
/// Factor on the service time at a server above that utilization.
const NEARLY_FULL_FACTOR: f64 = 1.7;
/// Factor on the service time at a cold server.
const COLD_FACTOR: f64 = 2.0;
/// Cost of a server in another failure domain, as a part of the target latency. Accounts for the
/// traffic between domains.
const REMOTE_PENALTY: f64 = 0.15;
/// A server that is expected to answer within this part of the target latency is taken without
/// asking others.
const GOOD_ENOUGH_SHARE: f64 = 0.7;
/// Queue length at which a server counts as full, in multiples of its slots.
const MAX_QUEUE_FACTOR: f64 = 1.0;
/// Factor on the service time at a nearly full server that gives the shortest reachable target.
const REACHABLE_TARGET_FACTOR: f64 = 1.1;
/// A server that is expected to answer within this multiple of the usual service time is taken
/// without asking others, even if that is a larger part of the target latency.
const GOOD_ENOUGH_FACTOR: f64 = 1.05;
/// Share of failed requests from which a server is not taken without asking others.
const GOOD_ENOUGH_FAILURE_SHARE: f64 = 0.1;
/// Cost of a failed request, in multiples of the target latency. A failure delays the caller by at
/// least one target latency and is weighted with twice that.
const FAILURE_COST_FACTOR: f64 = 2.0;

/// Number of servers asked from which any healthy one that is expected to meet the target is taken.
const MIN_ASKED_TO_ACCEPT: usize = 5;

/// A server's report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Running requests.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Current service time, in percent of the usual one.
    pub slowness_percent: u32,
}

impl ServerLoad {
    /// Returns the load of an idle server, assumed of servers that do not report their load.
    pub fn idle(slots: u32) -> Self {
        Self { running: 0, waiting: 0, slots, slowness_percent: 100 }
    }

    /// Returns whether another request would exceed the slots and the queue.
    pub fn is_full(&self) -> bool {
        let capacity = f64::from(self.slots) * (1.0 + MAX_QUEUE_FACTOR);
        f64::from(self.running + self.waiting + 1) > capacity
    }
}

/// A server that reported its load to the entry that places a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Reported load.
    pub load: ServerLoad,
    /// Whether the server is in the entry's failure domain.
    pub is_local: bool,
    /// Whether the server is cold.
    pub is_cold: bool,
    /// Whether the server's health report is bad.
    pub is_unhealthy: bool,
    /// Share of the entry's recent requests to this server that failed, 0 to 1.
    pub failure_share: f64,
}

/// Free capacity that a server must have to get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityNeed {
    /// The server must be expected to answer within this time, including the wait in its queue.
    Within(Duration),
    /// At least one slot must stay free, for requests that can still meet their target. A server
    /// with a single slot has capacity while it is idle, because it could never keep a slot free.
    SpareSlot,
}

/// Requirements of a request on the server that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementNeed {
    /// Usual service time at an idle server.
    pub service_time: Duration,
    /// Target latency of the route, up to which the answer is of full use.
    pub target: Duration,
    /// Free capacity that the server must have.
    pub capacity: CapacityNeed,
}

impl PlacementNeed {
    /// Returns the requirements of a request with `left` of its target latency remaining. A target
    /// that is too short for the service time is extended to [`PlacementNeed::reachable_target`],
    /// so that the request can still be placed.
    pub fn within(service_time: Duration, target: Duration, left: Duration) -> Self {
        let used = target.saturating_sub(left);
        let reachable = Self::reachable_target(service_time, target);
        Self {
            service_time,
            target,
            capacity: CapacityNeed::Within(reachable.saturating_sub(used)),
        }
    }

    /// Returns the target latency, or 1.1 times the service time at a nearly full server if that is
    /// longer.
    pub fn reachable_target(service_time: Duration, target: Duration) -> Duration {
        target.max(service_time.mul_f64(NEARLY_FULL_FACTOR * REACHABLE_TARGET_FACTOR))
    }
}

impl PlacementCandidate {
    /// Returns whether the server has the free capacity that a request needs.
    pub fn has_capacity(&self, need: &PlacementNeed) -> bool {
        match need.capacity {
            CapacityNeed::Within(limit) => {
                !self.load.is_full() && self.expected_completion(need.service_time) <= limit
            }
            CapacityNeed::SpareSlot => {
                self.load.running + self.load.waiting + 1 < self.load.slots.max(2)
            }
        }
    }

    /// Returns the time in which the server is expected to answer another request.
    pub fn expected_completion(&self, service_time: Duration) -> Duration {
        let slots = f64::from(self.load.slots.max(1));
        let running = f64::from(self.load.running) + 1.0;
        let mut factor = f64::from(self.load.slowness_percent.max(1)) / 100.0;
        if running / slots > NEARLY_FULL_UTILIZATION {
            factor *= NEARLY_FULL_FACTOR;
        }
        if self.is_cold {
            factor *= COLD_FACTOR;
        }
        let ahead = (running + f64::from(self.load.waiting) - slots).max(0.0);
        service_time.mul_f64(factor * (1.0 + ahead / slots))
    }

    /// Returns whether to take the server without asking others.
    pub fn is_good_enough(&self, need: &PlacementNeed) -> bool {
        let shortest = need.service_time.mul_f64(GOOD_ENOUGH_FACTOR);
        let limit = need.target.mul_f64(GOOD_ENOUGH_SHARE).max(shortest);
        !self.is_unhealthy
            && self.failure_share < GOOD_ENOUGH_FAILURE_SHARE
            && self.has_capacity(need)
            && self.expected_completion(need.service_time) <= limit
    }

    /// Returns whether to take the server, given the number of servers asked. A good one is taken
    /// at once; once several were asked, any healthy one that is expected to meet the target.
    pub fn is_acceptable(&self, need: &PlacementNeed, asked: usize) -> bool {
        self.is_good_enough(need)
            || (asked >= MIN_ASKED_TO_ACCEPT
                && !self.is_unhealthy
                && self.has_capacity(need)
                && self.expected_completion(need.service_time) <= need.target)
    }

    /// Returns the cost by which candidates are compared, in seconds. A bad health report adds the
    /// target latency.
    pub fn cost(&self, need: &PlacementNeed) -> f64 {
        let target = need.target.as_secs_f64();
        let mut cost = self.expected_completion(need.service_time).as_secs_f64();
        if !self.is_local {
            cost += REMOTE_PENALTY * target;
        }
        if self.is_unhealthy {
            cost += target;
        }
        cost + self.failure_share * FAILURE_COST_FACTOR * target
    }
}

/// Returns the index of the cheapest candidate with the required capacity, or `None`.
pub fn cheapest_candidate(
    candidates: &[PlacementCandidate],
    need: &PlacementNeed,
) -> Option<usize> {
    let eligible =
        candidates.iter().enumerate().filter(|(_, candidate)| candidate.has_capacity(need));
    let best = eligible.min_by(|(_, a), (_, b)| a.cost(need).total_cmp(&b.cost(need)));
    best.map(|(index, _)| index)
}
