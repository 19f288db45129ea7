//! The queue of a replica's inputs, ordered by their importance for the group.
//!
//! A leader that serves inputs in order of arrival misses its heartbeats when many entries or
//! servers ask at once, and is deposed.

use crate::driver::ReplicaInput;
use runtime::{ClassSettings, DecisionCounters, PriorityQueue};
use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

/// Time after which a queued read is dropped. Its sender has asked another replica by then.
const MAX_READ_AGE: Duration = Duration::from_millis(400);
/// Limits of consensus messages.
const CONSENSUS_CAPACITY: usize = 16_384;
/// Maximum number of orders in a batch.
const ORDER_BATCH: usize = 512;
/// Maximum number of reads in a batch.
const READ_BATCH: usize = 128;
/// Maximum number of queued reports about servers, and of reports in a batch.
const RENEWAL_LIMITS: (usize, usize) = (256, 8);

/// Importance of an input, most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InputClass {
    /// Consensus messages, ticks, and the request to stop.
    Consensus,
    /// Commands, membership changes and status requests.
    Order,
    /// Requests of entries and followers that wait for a quorum round.
    Read,
    /// Reports about servers that have announced themselves.
    Renewal,
}

/// The queue between all senders of inputs and the replica's thread.
pub(crate) struct InputQueue {
    queue: PriorityQueue<ReplicaInput>,
    counters: DecisionCounters,
}

/// Sends inputs to the replica's thread. The queue closes when the last sender is dropped.
#[derive(Clone)]
pub(crate) struct InputSender(Arc<SenderGuard>);

/// A sender that does not keep the queue open.
#[derive(Clone)]
pub(crate) struct WeakInputSender(Weak<SenderGuard>);

struct SenderGuard(Arc<InputQueue>);

impl Drop for SenderGuard {
    fn drop(&mut self) {
        self.0.queue.close();
    }
}

impl InputSender {
    /// Returns a sender and its queue.
    pub(crate) fn new(counters: DecisionCounters) -> (Self, Arc<InputQueue>) {
        let defaults = ClassSettings::default();
        let (renewal_capacity, renewal_batch) = RENEWAL_LIMITS;
        let queue = PriorityQueue::new(vec![
            ClassSettings { capacity: CONSENSUS_CAPACITY, ..defaults },
            ClassSettings { batch: ORDER_BATCH, ..defaults },
            ClassSettings { batch: READ_BATCH, max_age: Some(MAX_READ_AGE), ..defaults },
            ClassSettings { capacity: renewal_capacity, batch: renewal_batch, ..defaults },
        ]);
        let queue = Arc::new(InputQueue { queue, counters });
        (Self(Arc::new(SenderGuard(queue.clone()))), queue)
    }

    /// Queues an input. If the queue of its class is full or the replica has stopped, drops the
    /// input and with it its reply.
    pub(crate) fn send(&self, input: ReplicaInput) {
        let InputQueue { queue, counters } = &*self.0.0;
        if queue.push(input.class() as usize, input, Instant::now()).is_err() {
            counters.count("input-shed");
        }
    }

    /// Returns whether the replica's thread has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.0.queue.is_closed()
    }

    pub(crate) fn downgrade(&self) -> WeakInputSender {
        WeakInputSender(Arc::downgrade(&self.0))
    }
}

impl WeakInputSender {
    /// Returns a sender, or `None` if the queue is closed.
    pub(crate) fn upgrade(&self) -> Option<InputSender> {
        self.0.upgrade().map(InputSender).filter(|sender| !sender.is_closed())
    }
}

impl InputQueue {
    /// Waits for inputs and returns a batch of them, most important first. Returns `None` once the
    /// queue is closed and empty.
    pub(crate) fn take_batch(&self) -> Option<Vec<ReplicaInput>> {
        let batch = self.queue.take_batch()?;
        (0..batch.expired).for_each(|_| self.counters.count("read-expired"));
        Some(batch.values)
    }

    /// Closes the queue and drops all inputs, whose replies then fail.
    pub(crate) fn clear(&self) {
        self.queue.clear();
    }
}
