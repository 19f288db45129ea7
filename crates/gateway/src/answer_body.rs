//! Bodies of responses: small ones are held in memory, large ones are streamed to the caller.

use crate::{
    body::MemoryReservation,
    server_connection::{ConnectionOwner, ServerConnection},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{fmt, sync::Arc, time::Instant};
use thiserror::Error;
use tokio::time::timeout_at;

/// Maximum size of a streamed body, in bytes. A faulty server may send without end.
const MAX_STREAM_BYTES: u64 = 64 * 1024 * 1024;

/// The body of a response.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A complete body, with its share of the memory for bodies.
    Whole(Bytes, Option<MemoryReservation>),
    /// A body that is still being received.
    Stream(Box<AnswerStream>),
}

/// The reason why a streamed body is not complete.
#[derive(Debug, Error)]
pub(crate) enum StreamError {
    /// The server or its connection failed.
    #[error("the server broke off: {0}")]
    BrokenOff(hyper::Error),
    /// The body was not complete by the deadline of the request.
    #[error("the body was not complete by the deadline")]
    Late,
    /// The body exceeds the limit, in bytes.
    #[error("the body has more than {0} bytes")]
    TooLarge(u64),
}

/// A body that is being received from a server. Dropping it closes the connection, which cancels the
/// request at the server.
pub(crate) struct AnswerStream {
    /// The bytes received so far, until they are taken.
    first: Option<Bytes>,
    rest: Incoming,
    /// Length of the body in bytes, if the server states it.
    length: Option<u64>,
    taken_bytes: u64,
    deadline: Instant,
    owner: Arc<dyn ConnectionOwner>,
    /// The connection, returned to the pool after the last byte if it may be used again.
    connection: Option<ServerConnection>,
    may_reuse: bool,
}

impl fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerStream").field("owner", &self.owner.name()).finish_non_exhaustive()
    }
}

impl AnswerBody {
    /// Returns the length in bytes, if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Self::Whole(bytes, _) => Some(bytes.len() as u64),
            Self::Stream(stream) => stream.length,
        }
    }
}

impl AnswerStream {
    pub(crate) fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        deadline: Instant,
        owner: Arc<dyn ConnectionOwner>,
        connection: ServerConnection,
        may_reuse: bool,
    ) -> Self {
        Self {
            first: Some(first),
            rest,
            length,
            taken_bytes: 0,
            deadline,
            owner,
            connection: Some(connection),
            may_reuse,
        }
    }

    /// Returns when the whole body must have been sent.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the next part of the body, or `None` at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        let next = match self.first.take().filter(|first| !first.is_empty()) {
            Some(first) => Ok(Some(first)),
            None => self.receive().await,
        };
        let next = next.and_then(|part| {
            self.taken_bytes += part.as_ref().map_or(0, |part| part.len() as u64);
            if self.taken_bytes > MAX_STREAM_BYTES {
                return Err(StreamError::TooLarge(MAX_STREAM_BYTES));
            }
            Ok(part)
        });
        match &next {
            Ok(Some(_)) => {}
            Ok(None) => {
                if let Some(connection) = self.connection.take().filter(|_| self.may_reuse) {
                    self.owner.put_connection(connection);
                }
            }
            Err(_) => {
                self.owner.record_broken_answer(Instant::now());
                self.connection = None;
            }
        }
        next
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            let frame = timeout_at(self.deadline.into(), self.rest.frame()).await;
            match frame.map_err(|_| StreamError::Late)? {
                None => return Ok(None),
                Some(frame) => {
                    // Trailer fields are not forwarded.
                    if let Ok(data) = frame.map_err(StreamError::BrokenOff)?.into_data() {
                        if let Some(connection) = &self.connection {
                            connection.record_progress();
                        }
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}
