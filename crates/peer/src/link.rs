//! Traits that separate the link implementations from their users.

use crate::{PeerAnswer, PeerError, PeerRequest};
use async_trait::async_trait;
use std::{net::SocketAddr, time::Duration};
use types::HostName;

/// Destination of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerTarget {
    /// Host name that the peer's certificate must carry. Not verified on links without TLS.
    pub host: HostName,
    /// Peer address.
    pub address: SocketAddr,
}

/// Sends messages to other processes.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Only [`PeerError::NotReached`] guarantees that the request was not delivered.
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError>;

    /// Queues a one-way message, which may be lost.
    fn send(&self, target: &PeerTarget, request: PeerRequest);
}

/// Handles messages from other processes.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Answers a request from the process on `host`. The name is taken from the peer's certificate,
    /// or from its first frame on links without TLS.
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer;
}
