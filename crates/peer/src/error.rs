//! Errors of links between processes.

use crate::KeyError;
use std::net::SocketAddr;
use thiserror::Error;

/// Reasons why a message exchange failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection could be opened, the certificate was rejected, or the send queue is full. The
    /// message was not delivered.
    #[error("{address}: not reached: {reason}")]
    NotReached {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The connection failed during the exchange. The message may have been delivered.
    #[error("{address}: broken off: {reason}")]
    ConnectionLost {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The answer did not arrive in time. The message may have been delivered.
    #[error("{address}: no answer within {timeout_ms} ms")]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
        /// The timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// The bytes could not be encoded or decoded as a message.
    #[error("not a valid message: {0}")]
    Malformed(String),
    /// The answer's type does not match the request.
    #[error("the answer does not belong to the request")]
    WrongAnswer,
    /// The local socket could not be opened.
    #[error("{address}: {reason}")]
    Bind {
        /// The local address.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The key files cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
}
