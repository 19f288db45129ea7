//! Choice of a server from load reports that were asked for just before.
//!
//! Load shifts within milliseconds, so that a cached report says little. An entry asks a few
//! servers of the service for their load at the moment at which a request is to be placed, those of
//! its own failure domain first, and takes the one with the least expected completion.
//! docs/design/0008-platform.md compares this with other ways.

use std::time::Duration;

/// Share of its slots above which a server slows down.
const NEARLY_FULL: f64 = 0.8;
/// How much longer work takes at a server that is nearly full.
const NEARLY_FULL_FACTOR: f64 = 1.7;
/// How much longer work takes at a cold server.
const COLD_FACTOR: f64 = 2.0;
/// Part of the target latency that a server in another failure domain must be better by, for the
/// bytes that cross domains.
const REMOTE_PENALTY: f64 = 0.15;
/// Part of the target latency within which an expected completion is good enough to take at once.
const GOOD_ENOUGH: f64 = 0.7;
/// Requests that may wait at a server, in multiples of its slots, before it counts as full.
const MAX_QUEUE_SHARE: f64 = 1.0;

/// Servers asked after which one that is expected to meet the target is taken.
const ENOUGH_ASKED: usize = 5;

/// A server's report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual time.
    pub slowness_percent: u32,
}

impl ServerLoad {
    /// Returns the load of an idle server, for servers that do not report any.
    pub fn idle(slots: u32) -> Self {
        Self { running: 0, waiting: 0, slots, slowness_percent: 100 }
    }

    /// Says whether one more request may not find a place.
    pub fn is_full(&self) -> bool {
        let room = f64::from(self.slots) * (1.0 + MAX_QUEUE_SHARE);
        f64::from(self.running + self.waiting + 1) > room
    }
}

/// A server that answered, as seen by the entry that places a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Its load.
    pub load: ServerLoad,
    /// It is in the entry's failure domain.
    pub is_local: bool,
    /// It is cold.
    pub is_cold: bool,
    /// It reports that it is not well.
    pub is_ill: bool,
    /// Share of the entry's recent requests that it failed, 0 to 1.
    pub failure_share: f64,
}

/// How full a server may be that a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomNeed {
    /// It must be expected to answer within this time, be it from its queue.
    Within(Duration),
    /// At least one slot must stay free, for requests that are worth more.
    SpareSlot,
}

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementNeed {
    /// Usual time of the work at an idle server.
    pub usual_work: Duration,
    /// Time within which the answer is of full use.
    pub target: Duration,
    /// How full the server may be.
    pub room: RoomNeed,
}

impl PlacementNeed {
    /// Returns the need of a request that has this much of its target latency left. Work that
    /// takes longer than the target even at a server that is idle gets the time that it needs.
    pub fn within(usual_work: Duration, target: Duration, left: Duration) -> Self {
        let used = target.saturating_sub(left);
        let reachable = Self::reachable_target(usual_work, target);
        Self { usual_work, target, room: RoomNeed::Within(reachable.saturating_sub(used)) }
    }

    /// Returns the target latency, or what the work needs at a nearly full server if that is more.
    pub fn reachable_target(usual_work: Duration, target: Duration) -> Duration {
        target.max(usual_work.mul_f64(NEARLY_FULL_FACTOR * 1.1))
    }
}

impl PlacementCandidate {
    /// Says whether the server has the room that a request needs.
    pub fn has_room(&self, need: &PlacementNeed) -> bool {
        match need.room {
            RoomNeed::Within(limit) => {
                !self.load.is_full() && self.expected_completion(need.usual_work) <= limit
            }
            RoomNeed::SpareSlot => {
                self.load.running + self.load.waiting + 1 < self.load.slots.max(2)
            }
        }
    }

    /// Returns the time in which the server is expected to answer one more request.
    pub fn expected_completion(&self, usual_work: Duration) -> Duration {
        let slots = f64::from(self.load.slots.max(1));
        let running = f64::from(self.load.running) + 1.0;
        let mut factor = f64::from(self.load.slowness_percent.max(1)) / 100.0;
        if running / slots > NEARLY_FULL {
            factor *= NEARLY_FULL_FACTOR;
        }
        if self.is_cold {
            factor *= COLD_FACTOR;
        }
        let ahead = (running + f64::from(self.load.waiting) - slots).max(0.0);
        usual_work.mul_f64(factor * (1.0 + ahead / slots))
    }

    /// Says whether to take the server without asking others.
    pub fn is_good_enough(&self, need: &PlacementNeed) -> bool {
        let limit = need.target.mul_f64(GOOD_ENOUGH).max(need.usual_work.mul_f64(1.05));
        !self.is_ill
            && self.failure_share < 0.1
            && self.has_room(need)
            && self.expected_completion(need.usual_work) <= limit
    }

    /// Says whether to take the server after so many others were asked: a good one at once, later
    /// any that is expected to meet the target.
    pub fn is_acceptable(&self, need: &PlacementNeed, asked: usize) -> bool {
        self.is_good_enough(need)
            || (asked >= ENOUGH_ASKED
                && !self.is_ill
                && self.has_room(need)
                && self.expected_completion(need.usual_work) <= need.target)
    }

    /// Returns the cost by which candidates are compared, in seconds.
    pub fn cost(&self, need: &PlacementNeed) -> f64 {
        let target = need.target.as_secs_f64();
        let mut cost = self.expected_completion(need.usual_work).as_secs_f64();
        if !self.is_local {
            cost += REMOTE_PENALTY * target;
        }
        if self.is_ill {
            cost += target;
        }
        // A failed request costs at least its target latency.
        cost + self.failure_share * 2.0 * target
    }
}

/// Returns the index of the cheapest candidate that has room, `None` if there is none.
pub fn cheapest_candidate(
    candidates: &[PlacementCandidate],
    need: &PlacementNeed,
) -> Option<usize> {
    let open = candidates.iter().enumerate().filter(|(_, candidate)| candidate.has_room(need));
    let best = open.min_by(|(_, a), (_, b)| a.cost(need).total_cmp(&b.cost(need)));
    best.map(|(index, _)| index)
}
