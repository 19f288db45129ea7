//! Requests of one service that wait for a server with room.

use parking_lot::Mutex;
use policy::{WaitRank, WaitTicket, WaitingLine};
use std::sync::Arc;
use tokio::sync::Notify;

/// The line of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    queue: Mutex<WaitingLine<Arc<Notify>>>,
}

/// A place in the line, given up when dropped.
pub(crate) struct QueuePosition {
    queue: Arc<ServiceQueue>,
    ticket: WaitTicket,
    turn: Arc<Notify>,
}

impl ServiceQueue {
    /// Says whether a request of this rank need not wait for others.
    pub(crate) fn would_lead(&self, rank: &WaitRank) -> bool {
        self.queue.lock().would_lead(rank)
    }

    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.queue.lock().len()
    }

    /// Joins the line.
    pub(crate) fn join(self: &Arc<Self>, rank: WaitRank) -> QueuePosition {
        let turn = Arc::new(Notify::new());
        let ticket = self.queue.lock().join(rank, turn.clone());
        QueuePosition { queue: self.clone(), ticket, turn }
    }
}

impl QueuePosition {
    /// Waits until the request is the first in line.
    pub(crate) async fn turn(&self) {
        while !self.queue.queue.lock().is_first(self.ticket) {
            self.turn.notified().await;
        }
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        let mut queue = self.queue.queue.lock();
        queue.leave(self.ticket);
        if let Some(next) = queue.first() {
            next.notify_one();
        }
    }
}
