//! Replication progress of one follower, as tracked by the leader.

use crate::LogIndex;
use smallvec::SmallVec;

/// Maximum number of messages with entries that a follower has not acknowledged. Entries that
/// arrive meanwhile share the next message.
const MAX_IN_FLIGHT: usize = 2;
/// Ticks without any answer after which unacknowledged entries count as lost.
const ANSWER_TIMEOUT_TICKS: u32 = 10;
/// Ticks after which an unanswered snapshot counts as lost.
const INSTALL_TIMEOUT_TICKS: u32 = 40;

/// What a leader sends to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplicationState {
    /// Heartbeats without entries, until the follower accepts one.
    Probe,
    /// Entries as they are appended.
    Replicate,
    /// Heartbeats, until the follower has installed the snapshot that it was sent.
    Install {
        /// Ticks until the snapshot counts as lost.
        ticks_left: u32,
    },
}

/// Replication progress of one follower.
#[derive(Debug, Clone)]
pub(crate) struct FollowerProgress {
    pub(crate) state: ReplicationState,
    /// Index of the next entry to send.
    pub(crate) next: LogIndex,
    /// Index up to which the follower's log is known to equal the leader's.
    pub(crate) matched: LogIndex,
    /// The latest quorum round that the follower acknowledged.
    pub(crate) acked_round: u64,
    /// Whether the follower answered, or was added, since the last quorum check.
    pub(crate) is_active: bool,
    /// The last index of each unacknowledged message with entries.
    in_flight: SmallVec<[LogIndex; MAX_IN_FLIGHT]>,
    /// Ticks since the last answer, while messages are in flight.
    ticks_since_answer: u32,
}

impl FollowerProgress {
    /// Returns the progress of a follower that probably holds all entries before `next`.
    pub(crate) fn new(next: LogIndex) -> Self {
        Self {
            state: ReplicationState::Replicate,
            next,
            matched: LogIndex(0),
            acked_round: 0,
            is_active: true,
            in_flight: SmallVec::new(),
            ticks_since_answer: 0,
        }
    }

    /// Returns whether entries may be sent now.
    pub(crate) fn may_send_entries(&self) -> bool {
        self.state == ReplicationState::Replicate && self.in_flight.len() < MAX_IN_FLIGHT
    }

    /// Records that entries up to `last` were sent.
    pub(crate) fn record_sent(&mut self, last: LogIndex) {
        if self.in_flight.is_empty() {
            self.ticks_since_answer = 0;
        }
        self.in_flight.push(last);
        self.next = last.next();
    }

    /// Records that a snapshot up to `index` was sent.
    pub(crate) fn record_snapshot_sent(&mut self, index: LogIndex) {
        self.state = ReplicationState::Install { ticks_left: INSTALL_TIMEOUT_TICKS };
        self.next = index.next();
        self.in_flight.clear();
    }

    /// Records any answer to the quorum round `round`.
    pub(crate) fn record_answer(&mut self, round: u64) {
        self.is_active = true;
        self.ticks_since_answer = 0;
        self.acked_round = self.acked_round.max(round);
    }

    /// Records that the follower's log equals the leader's up to `index`.
    pub(crate) fn record_match(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.in_flight.retain(|last| *last > index);
        match self.state {
            ReplicationState::Replicate => self.next = self.next.max(self.matched.next()),
            ReplicationState::Install { .. } if self.matched.next() < self.next => {}
            ReplicationState::Probe | ReplicationState::Install { .. } => {
                self.state = ReplicationState::Replicate;
                self.next = self.matched.next();
            }
        }
    }

    /// Records that the follower rejected a message whose preceding entry is `prev_index`, and that
    /// its log may match up to `hint`. Returns whether to probe again: a late answer to an earlier
    /// message tells nothing new.
    pub(crate) fn record_rejection(&mut self, prev_index: LogIndex, hint: LogIndex) -> bool {
        let is_current = match self.state {
            ReplicationState::Replicate => prev_index > self.matched,
            ReplicationState::Probe => prev_index.next() == self.next,
            ReplicationState::Install { .. } => false,
        };
        if is_current {
            let next = prev_index.min(hint.next()).max(self.matched.next());
            self.start_probe(next);
        }
        is_current
    }

    /// Advances logical time by one tick.
    pub(crate) fn tick(&mut self) {
        match &mut self.state {
            ReplicationState::Replicate if !self.in_flight.is_empty() => {
                self.ticks_since_answer += 1;
                if self.ticks_since_answer >= ANSWER_TIMEOUT_TICKS {
                    self.start_probe(self.matched.next());
                }
            }
            ReplicationState::Install { ticks_left } => {
                *ticks_left = ticks_left.saturating_sub(1);
                if *ticks_left == 0 {
                    self.start_probe(self.matched.next());
                }
            }
            ReplicationState::Replicate | ReplicationState::Probe => {}
        }
    }

    fn start_probe(&mut self, next: LogIndex) {
        self.state = ReplicationState::Probe;
        self.next = next;
        self.in_flight.clear();
    }
}
