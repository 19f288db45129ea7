//! Interface between the entry and the transport that carries requests to servers.

use async_trait::async_trait;
use bytes::Bytes;
use std::{net::SocketAddr, sync::Arc, time::Instant};
use thiserror::Error;
use types::{HeaderField, ServerIncarnation};

/// Called directly before the first byte of a request is sent. If it returns `false`, nothing is
/// sent.
pub type StartGuard = Arc<dyn Fn() -> bool + Send + Sync>;

/// A request to a server.
#[derive(Debug, Clone)]
pub struct ServerRequest {
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query of the request target.
    pub path: http::uri::PathAndQuery,
    /// Header fields, including those that the entry adds.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A server's complete answer.
#[derive(Debug, Clone)]
pub struct ServerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields to pass on to the caller.
    pub headers: Vec<HeaderField>,
    /// The complete body.
    pub body: Vec<u8>,
    /// Incarnation reported by the server, if any.
    pub incarnation: Option<ServerIncarnation>,
    /// Number of requests in flight reported by the server, if any.
    pub load: Option<u32>,
    /// Whether the server reported that it is leaving.
    pub is_leaving: bool,
    /// Whether the server reported that it did not run the request.
    pub is_not_run: bool,
}

/// The reason why a connection could not be opened.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TransportError {
    /// The server refused the connection.
    #[error("connection refused")]
    Refused,
    /// The connection timed out or failed with another error. Contains the reason.
    #[error("not connected: {0}")]
    NotConnected(String),
}

/// The reason why a request has no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// The guard refused the request before its first byte was sent.
    #[error("not sent: refused by the start guard")]
    RefusedByGuard,
    /// No byte was sent. Contains the reason.
    #[error("not sent: {0}")]
    NotSent(String),
    /// At least one byte may have been sent, so the server may have run the request. Contains the
    /// reason.
    #[error("sent, but no answer: {0}")]
    MaybeSent(String),
    /// No answer arrived by the deadline; at least one byte may have been sent.
    #[error("sent, but no answer by the deadline")]
    DeadlinePassed,
    /// The server ran the request, but its answer exceeds the maximum size in bytes.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

/// Opens connections to servers.
#[async_trait]
pub trait ServerTransport: Send + Sync {
    /// Returns a connection that is ready for a request, or an error if none can be opened before
    /// the deadline.
    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Box<dyn ServerConnection>, TransportError>;

    /// Closes the idle connections to a server.
    fn close_idle_connections(&self, address: SocketAddr);
}

/// A connection to a server that is ready for one request.
#[async_trait]
pub trait ServerConnection: Send {
    /// Sends a request and waits for the complete answer until the deadline. Dropping the future
    /// closes the connection, which tells the server that the request is cancelled.
    async fn send(
        self: Box<Self>,
        request: ServerRequest,
        guard: StartGuard,
        deadline: Instant,
    ) -> Result<ServerAnswer, SendError>;
}
