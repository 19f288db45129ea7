//! Errors of links.

use crate::KeyError;
use std::net::SocketAddr;
use thiserror::Error;

/// Says why a message could not be exchanged.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The peer could not be reached, or its certificate was refused. Nothing was delivered.
    #[error("{address}: not reached: {reason}")]
    NotReached {
        /// The peer.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// The exchange broke off; the message may have been delivered.
    #[error("{address}: broken off: {reason}")]
    BrokenOff {
        /// The peer.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// No answer in time; the message may have been delivered.
    #[error("{address}: no answer within {timeout_ms} ms")]
    TimedOut {
        /// The peer.
        address: SocketAddr,
        /// The time allowed, in milliseconds.
        timeout_ms: u64,
    },
    /// The bytes are not a valid message.
    #[error("not a valid message: {0}")]
    Malformed(String),
    /// The answer is not of the kind that belongs to the request.
    #[error("the answer does not belong to the request")]
    WrongAnswer,
    /// The local socket could not be opened.
    #[error("{address}: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// The keys cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
}
