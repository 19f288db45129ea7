//! A link that can be cut towards some processes, in one direction.

use async_trait::async_trait;
use parking_lot::Mutex;
use peer::{PeerAnswer, PeerError, PeerLink, PeerRequest, PeerTarget};
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

/// Passes messages on, except to the processes that it is cut from.
pub struct LinkSwitch {
    inner: Arc<dyn PeerLink>,
    cut: Mutex<BTreeSet<SocketAddr>>,
}

impl LinkSwitch {
    /// Returns a switch that passes everything on.
    pub fn new(inner: Arc<dyn PeerLink>) -> Arc<Self> {
        Arc::new(Self { inner, cut: Mutex::default() })
    }

    /// Loses all messages to a process from now on.
    pub fn cut(&self, address: SocketAddr) {
        self.cut.lock().insert(address);
    }

    /// Passes all messages on again.
    pub fn heal(&self) {
        self.cut.lock().clear();
    }

    fn is_cut(&self, address: SocketAddr) -> bool {
        self.cut.lock().contains(&address)
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
        if self.is_cut(address) {
            // A silent cut shows only by the time that passes.
            tokio::time::sleep(timeout).await;
            return Err(PeerError::TimedOut { address, timeout_ms: timeout.as_millis() as u64 });
        }
        self.inner.call(target, request, timeout).await
    }

    fn send(&self, target: &PeerTarget, request: PeerRequest) {
        if !self.is_cut(target.address) {
            self.inner.send(target, request);
        }
    }
}
