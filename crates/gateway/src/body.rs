//! Reads bodies within limits on their size and on the memory of the process.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use runtime::ReadMeter;
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use thiserror::Error;

/// The reason why a body was not read.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
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

/// The start of a body.
pub(crate) struct BodyStart {
    pub(crate) bytes: Bytes,
    /// The memory that the bytes occupy.
    pub(crate) reservation: MemoryReservation,
    /// The rest of the body; `None` if the body is complete.
    pub(crate) rest: Option<Incoming>,
}

/// Reads a body until its end, or until more than `limit` bytes are read. `meter` is that of the
/// connection.
pub(crate) async fn read_start(
    mut body: Incoming,
    limit: usize,
    memory: &Arc<BodyMemory>,
    meter: &ReadMeter,
) -> Result<BodyStart, BodyError> {
    let mut reservation = MemoryReservation::new(memory);
    let mut buffer = BytesMut::new();
    while buffer.len() <= limit {
        let Some(frame) = body.frame().await else {
            return Ok(BodyStart { bytes: buffer.freeze(), reservation, rest: None });
        };
        if let Ok(data) = frame.map_err(BodyError::BrokenOff)?.into_data() {
            meter.record_progress();
            reservation.grow(data.len() as u64)?;
            buffer.extend_from_slice(&data);
        }
    }
    Ok(BodyStart { bytes: buffer.freeze(), reservation, rest: Some(body) })
}
