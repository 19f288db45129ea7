//! A peer link that simulates one-way network partitions.

use async_trait::async_trait;
use parking_lot::Mutex;
use peer::{PeerAnswer, PeerError, PeerLink, PeerRequest, PeerTarget};
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

/// Forwards messages to another link, except those to blocked addresses.
///
/// Only outgoing messages are blocked: a two-way partition needs the switches of both sides.
pub struct LinkSwitch {
    inner: Arc<dyn PeerLink>,
    blocked: Mutex<BTreeSet<SocketAddr>>,
}

impl LinkSwitch {
    /// Returns a switch that forwards all messages.
    pub fn new(inner: Arc<dyn PeerLink>) -> Arc<Self> {
        Arc::new(Self { inner, blocked: Mutex::default() })
    }

    /// Drops all further messages to a process.
    pub fn block(&self, address: SocketAddr) {
        self.blocked.lock().insert(address);
    }

    /// Ends the partition: forwards messages to all processes again.
    pub fn heal(&self) {
        self.blocked.lock().clear();
    }

    fn is_blocked(&self, address: SocketAddr) -> bool {
        self.blocked.lock().contains(&address)
    }
}

#[async_trait]
impl PeerLink for LinkSwitch {
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let address = target.address;
        if self.is_blocked(address) {
            // A partition drops packets silently, so the caller notices it only by its timeout.
            tokio::time::sleep(timeout).await;
            return Err(PeerError::TimedOut { address, timeout_ms: timeout.as_millis() as u64 });
        }
        self.inner.call(target, request, timeout).await
    }

    fn send(&self, target: &PeerTarget, request: PeerRequest) {
        if !self.is_blocked(target.address) {
            self.inner.send(target, request);
        }
    }
}
