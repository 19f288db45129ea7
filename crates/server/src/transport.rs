//! The border between the entry and the way requests reach servers.

use async_trait::async_trait;
use bytes::Bytes;
use std::{net::SocketAddr, sync::Arc, time::Instant};
use thiserror::Error;
use types::{HeaderField, ServerIncarnation};

/// Asked directly before the first byte of a request leaves. `false` keeps it from leaving.
pub type StartGuard = Arc<dyn Fn() -> bool + Send + Sync>;

/// A request to a server.
#[derive(Debug, Clone)]
pub struct ServerRequest {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: http::uri::PathAndQuery,
    /// Header fields.
    pub headers: http::HeaderMap,
    /// Body, complete.
    pub body: Bytes,
}

/// A server's answer, complete.
#[derive(Debug, Clone)]
pub struct ServerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields to pass on.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Vec<u8>,
    /// The incarnation that the server states.
    pub incarnation: Option<ServerIncarnation>,
    /// The requests in flight that the server states.
    pub load: Option<u32>,
    /// The server states that it is leaving.
    pub is_leaving: bool,
    /// The server states that it did not run the request.
    pub is_not_run: bool,
}

/// Says why no connection could be had.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TransportError {
    /// The server refused the connection.
    #[error("connection refused")]
    Refused,
    /// The connection could not be opened in time or for another reason.
    #[error("not connected: {0}")]
    NotConnected(String),
}

/// Says why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// The guard kept the request from leaving.
    #[error("the start guard closed")]
    Guarded,
    /// No byte left.
    #[error("not sent: {0}")]
    NotSent(String),
    /// At least one byte may have left.
    #[error("sent, but no answer: {0}")]
    MaybeSent(String),
    /// No answer by the deadline; at least one byte may have left.
    #[error("sent, but no answer by the deadline")]
    DeadlinePassed,
    /// The answer is larger than allowed; the server ran the request.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

/// Opens connections to servers.
#[async_trait]
pub trait ServerTransport: Send + Sync {
    /// Returns a connection that is ready for a request.
    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Box<dyn ServerConnection>, TransportError>;

    /// Closes the idle connections to a server.
    fn forget(&self, address: SocketAddr);
}

/// A connection that carries one request at a time.
#[async_trait]
pub trait ServerConnection: Send {
    /// Sends a request and waits for the whole answer. Dropping the call closes the connection, by
    /// which the server learns that the request is cancelled.
    async fn send(
        self: Box<Self>,
        request: ServerRequest,
        guard: StartGuard,
        deadline: Instant,
    ) -> Result<ServerAnswer, SendError>;
}
