//! In-process peer links without sockets.

use async_trait::async_trait;
use parking_lot::Mutex;
use peer::{PeerAnswer, PeerError, PeerHandler, PeerLink, PeerRequest, PeerTarget};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use types::HostName;

type Handlers = HashMap<SocketAddr, Arc<dyn PeerHandler>>;

/// A network of in-process message handlers, identified by address.
#[derive(Clone, Default)]
pub struct MemoryNet {
    handlers: Arc<Mutex<Handlers>>,
}

impl MemoryNet {
    /// Registers the handler of an address. Replaces the previous handler.
    pub fn register(&self, address: SocketAddr, handler: Arc<dyn PeerHandler>) {
        self.handlers.lock().insert(address, handler);
    }

    /// Returns a link that sends messages on behalf of a host.
    pub fn link(&self, host: HostName) -> Arc<dyn PeerLink> {
        Arc::new(MemoryLink { host, net: self.clone() })
    }

    fn handler(&self, address: SocketAddr) -> Option<Arc<dyn PeerHandler>> {
        self.handlers.lock().get(&address).cloned()
    }
}

struct MemoryLink {
    host: HostName,
    net: MemoryNet,
}

#[async_trait]
impl PeerLink for MemoryLink {
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let address = target.address;
        let Some(handler) = self.net.handler(address) else {
            return Err(PeerError::NotReached {
                address,
                reason: "no handler is registered".to_owned(),
            });
        };
        let answer = tokio::time::timeout(timeout, handler.handle(&self.host, request)).await;
        let timeout_ms = timeout.as_millis() as u64;
        answer.map_err(|_| PeerError::TimedOut { address, timeout_ms })
    }

    fn send(&self, target: &PeerTarget, request: PeerRequest) {
        if let Some(handler) = self.net.handler(target.address) {
            let host = self.host.clone();
            tokio::spawn(async move { handler.handle(&host, request).await });
        }
    }
}
