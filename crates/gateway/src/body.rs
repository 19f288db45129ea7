//! Reads complete bodies within limits on their size and on the memory of the process.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use thiserror::Error;

/// The reason why a body was not read.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The body exceeds this limit, in bytes.
    #[error("the body has more than {0} bytes")]
    TooLarge(u64),
    /// The limit on the memory for all bodies is reached.
    #[error("no memory for the body")]
    NoMemory,
    /// The connection failed before the end of the body.
    #[error("the body broke off: {0}")]
    BrokenOff(hyper::Error),
}

/// Tracks the bytes of all buffered bodies of a process against a limit.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    reserved: AtomicU64,
    limit: u64,
}

/// Bytes reserved in a [`BodyMemory`], released on drop.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    memory: Arc<BodyMemory>,
    bytes: u64,
}

impl BodyMemory {
    pub(crate) fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self { reserved: AtomicU64::new(0), limit })
    }
}

impl MemoryReservation {
    /// Returns an empty reservation.
    pub(crate) fn new(memory: &Arc<BodyMemory>) -> Self {
        Self { memory: memory.clone(), bytes: 0 }
    }

    /// Reserves more bytes. Fails if the total then exceeds the limit; the bytes still count until
    /// the reservation is dropped.
    pub(crate) fn grow(&mut self, bytes: u64) -> Result<(), BodyError> {
        let before = self.memory.reserved.fetch_add(bytes, Ordering::AcqRel);
        self.bytes += bytes;
        if before + bytes > self.memory.limit { Err(BodyError::NoMemory) } else { Ok(()) }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.reserved.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Reads a complete body of at most `limit` bytes.
pub(crate) async fn read_body(
    mut body: Incoming,
    limit: u64,
    memory: &Arc<BodyMemory>,
) -> Result<(Bytes, MemoryReservation), BodyError> {
    let mut reservation = MemoryReservation::new(memory);
    let mut buffer = BytesMut::new();
    if body.size_hint().lower() > limit {
        return Err(BodyError::TooLarge(limit));
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::BrokenOff)?;
        if let Ok(data) = frame.into_data() {
            reservation.grow(data.len() as u64)?;
            buffer.extend_from_slice(&data);
            if buffer.len() as u64 > limit {
                return Err(BodyError::TooLarge(limit));
            }
        }
    }
    Ok((buffer.freeze(), reservation))
}
