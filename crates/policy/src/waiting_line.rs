//! The order in which requests wait for a server with room.
//!
//! While all servers are full, only the first in line asks them. Requests that can still meet their
//! target go before those that have missed it, which are worth less to their callers but still
//! served when there is room; then the more urgent route; then the earlier arrival.

use std::{collections::BTreeMap, time::Instant};

/// The place of a request in its line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// The target latency has passed.
    pub is_late: bool,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Arrival at this entry.
    pub arrived: Instant,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    rank: WaitRank,
    number: u64,
}

/// Requests that wait, each with what wakes it.
#[derive(Debug)]
pub struct WaitingLine<T> {
    waiting: BTreeMap<WaitTicket, T>,
    next: u64,
}

impl<T> Default for WaitingLine<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next: 0 }
    }
}

impl<T> WaitingLine<T> {
    /// Says whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Says whether a request of this rank would be first.
    pub fn would_lead(&self, rank: &WaitRank) -> bool {
        self.waiting.first_key_value().is_none_or(|(first, _)| *rank < first.rank)
    }

    /// Lets a request join.
    pub fn join(&mut self, rank: WaitRank, waker: T) -> WaitTicket {
        let ticket = WaitTicket { rank, number: self.next };
        self.next += 1;
        self.waiting.insert(ticket, waker);
        ticket
    }

    /// Lets a request leave. Returns its waker, if it was there.
    pub fn leave(&mut self, ticket: WaitTicket) -> Option<T> {
        self.waiting.remove(&ticket)
    }

    /// Says whether a request is the first.
    pub fn is_first(&self, ticket: WaitTicket) -> bool {
        self.waiting.first_key_value().is_some_and(|(first, _)| *first == ticket)
    }

    /// Returns the waker of the first request.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, waker)| waker)
    }
}
