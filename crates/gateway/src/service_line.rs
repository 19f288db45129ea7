//! Requests of one service that wait for a server with room.

use parking_lot::Mutex;
use policy::{WaitQueue, WaitRank, WaitTicket};
use std::sync::Arc;
use tokio::sync::Notify;

/// The line of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLine {
    line: Mutex<WaitQueue<Arc<Notify>>>,
}

/// A place in the line, given up when dropped.
pub(crate) struct LinePlace {
    line: Arc<ServiceLine>,
    ticket: WaitTicket,
    turn: Arc<Notify>,
}

impl ServiceLine {
    /// Says whether a request of this rank need not wait for others.
    pub(crate) fn would_lead(&self, rank: &WaitRank) -> bool {
        self.line.lock().would_be_first(rank)
    }

    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.line.lock().len()
    }

    /// Joins the line.
    pub(crate) fn join(self: &Arc<Self>, rank: WaitRank) -> LinePlace {
        let turn = Arc::new(Notify::new());
        let ticket = self.line.lock().push(rank, turn.clone());
        LinePlace { line: self.clone(), ticket, turn }
    }
}

impl LinePlace {
    /// Waits until the request is the first in line.
    pub(crate) async fn turn(&self) {
        while !self.line.line.lock().is_first(self.ticket) {
            self.turn.notified().await;
        }
    }
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        let mut line = self.line.line.lock();
        line.remove(self.ticket);
        if let Some(next) = line.first() {
            next.notify_one();
        }
    }
}
