//! Priority queue of the requests that wait for a server with a free slot.
//!
//! While all servers are full, only the request at the head of the queue asks them for their load.
//! Requests that can still meet their target latency come first, then routes of higher priority,
//! then earlier arrivals. An answer after the target latency is worth less to the caller, but late
//! requests are still served when there is capacity.

use std::{collections::BTreeMap, time::Instant};

/// Sort key of a waiting request; smaller ranks are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Whether the request can no longer meet its target latency.
    pub is_late: bool,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Time of arrival at this entry.
    pub arrived: Instant,
}

/// Identifies a waiting request in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    rank: WaitRank,
    number: u64,
}

/// Waiting requests in the order of their ranks, each with its waker.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<WaitTicket, T>,
    next_number: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_number: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether a new request of this rank would be at the head of the queue.
    pub fn would_be_first(&self, rank: &WaitRank) -> bool {
        self.waiting.first_key_value().is_none_or(|(first, _)| *rank < first.rank)
    }

    /// Adds a request. Requests of equal rank keep their order of insertion.
    pub fn push(&mut self, rank: WaitRank, waker: T) -> WaitTicket {
        let ticket = WaitTicket { rank, number: self.next_number };
        self.next_number += 1;
        self.waiting.insert(ticket, waker);
        ticket
    }

    /// Removes a request. Returns its waker, or `None` if it is not in the queue.
    pub fn remove(&mut self, ticket: WaitTicket) -> Option<T> {
        self.waiting.remove(&ticket)
    }

    /// Returns whether a request is at the head of the queue.
    pub fn is_first(&self, ticket: WaitTicket) -> bool {
        self.waiting.first_key_value().is_some_and(|(first, _)| *first == ticket)
    }

    /// Returns the waker of the request at the head of the queue.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, waker)| waker)
    }
}
