//! The queue of requests of one service that wait for a server with free capacity.

use parking_lot::Mutex;
use policy::{WaitQueue, WaitRank, WaitTicket};
use std::sync::Arc;
use tokio::sync::Notify;

/// The wait queue of one service, ordered by rank.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    requests: Mutex<WaitQueue<Arc<Notify>>>,
}

/// A position in the queue. Dropping it leaves the queue and wakes the request that is then first.
pub(crate) struct QueuePosition {
    queue: Arc<ServiceQueue>,
    ticket: WaitTicket,
    wakeup: Arc<Notify>,
}

impl ServiceQueue {
    /// Returns whether a request of this rank would be first in the queue.
    pub(crate) fn would_be_first(&self, rank: &WaitRank) -> bool {
        self.requests.lock().would_be_first(rank)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.lock().len()
    }

    /// Adds a request to the queue.
    pub(crate) fn push(self: &Arc<Self>, rank: WaitRank) -> QueuePosition {
        let wakeup = Arc::new(Notify::new());
        let ticket = self.requests.lock().push(rank, wakeup.clone());
        QueuePosition { queue: self.clone(), ticket, wakeup }
    }
}

impl QueuePosition {
    /// Waits until the request is first in the queue.
    pub(crate) async fn wait_until_first(&self) {
        while !self.queue.requests.lock().is_first(self.ticket) {
            self.wakeup.notified().await;
        }
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        let mut requests = self.queue.requests.lock();
        requests.remove(self.ticket);
        if let Some(next) = requests.first() {
            next.notify_one();
        }
    }
}
