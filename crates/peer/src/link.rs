//! The border between links and the parts that use them.

use crate::{PeerAnswer, PeerError, PeerRequest};
use async_trait::async_trait;
use std::{net::SocketAddr, time::Duration};
use types::HostName;

/// A process to talk to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerTarget {
    /// Host name that its certificate must carry.
    pub host: HostName,
    /// Address.
    pub address: SocketAddr,
}

/// Sends messages to other processes.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends a request and waits for its answer.
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError>;

    /// Queues a message without answer. It may be lost.
    fn send(&self, target: &PeerTarget, request: PeerRequest);
}

/// Takes messages of other processes.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Answers a request of the process on `host`, as its certificate names it.
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer;
}
