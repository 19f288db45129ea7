//! Which other entry a request is relayed to by an entry that lacks paths to servers.
//!
//! An entry whose links are cut cannot know which other entries still have theirs, so it asks a few
//! and remembers for a short time which ones were of no use.

use crate::{ReachLevel, ServerReach};
use std::time::{Duration, Instant};

/// Time for which an entry that was of no use is asked after all others. Cuts last for seconds.
const USELESS_TIME: Duration = Duration::from_secs(2);
/// Time for which no entry is asked once several were of no use.
const FRUITLESS_TIME: Duration = Duration::from_millis(300);
/// Fraction of a service's servers that another entry must reach beyond those reached here. Smaller
/// differences come from failed probes that are not a matter of links.
const MIN_REACH_GAIN: f64 = 0.2;

/// The order in which other entries are asked, lowest first. Entries of equal rank are asked in
/// random order, so that relayed requests spread over all that can take them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RelayRank {
    is_useless: bool,
    is_remote: bool,
}

/// What is known about another entry, for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RelayRecord {
    useless_until: Option<Instant>,
}

impl RelayRecord {
    /// Records whether the entry could help when it was asked.
    pub fn record(&mut self, now: Instant, is_useful: bool) {
        self.useless_until = (!is_useful).then(|| now + USELESS_TIME);
    }

    /// Returns the rank of the entry. `is_remote` says that it is in another failure domain.
    pub fn rank(&self, now: Instant, is_remote: bool) -> RelayRank {
        let is_useless = self.useless_until.is_some_and(|until| now < until);
        RelayRank { is_useless, is_remote }
    }
}

/// When an entry stops asking others about one service for a while.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RelayPause {
    until: Option<Instant>,
}

impl RelayPause {
    /// Records a search that found no entry that could help.
    pub fn record_fruitless(&mut self, now: Instant) {
        self.until = Some(now + FRUITLESS_TIME);
    }

    /// Returns whether no entry is asked at present.
    pub fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Returns whether a request should be relayed to an entry that reaches `theirs` of the servers.
pub fn is_better_placed(own: ServerReach, theirs: ServerReach) -> bool {
    theirs.level() != ReachLevel::Lost && theirs.share() >= own.share() + MIN_REACH_GAIN
}
