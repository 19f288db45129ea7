//! A stream that fails once its peer has sent too many bytes from which its reader gained nothing.
//!
//! A decoder reads on for as long as a peer continues a line, such as a chunk size made of zeros. On
//! a process with a single thread, all other work then waits for that decoder.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The peer sent too many bytes without completing a part of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the peer sent more than {limit} bytes without completing a part of a message")]
pub struct NoProgress {
    /// Maximum number of such bytes.
    pub limit: usize,
}

/// Counts the bytes that were read since the reader last made progress. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct ReadMeter(Arc<AtomicUsize>);

impl ReadMeter {
    /// Records that the reader received a part of a message, or sent one.
    pub fn record_progress(&self) {
        self.0.store(0, Ordering::Release);
    }

    /// Returns the number of bytes that were read since.
    fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// A stream whose reads fail with [`NoProgress`] beyond a number of bytes without progress.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: ReadMeter,
    limit: usize,
}

impl<S> MeteredStream<S> {
    /// Wraps a stream. `limit` is in bytes, and must exceed what the reader buffers before it hands
    /// on a part of a message.
    pub fn new(stream: S, meter: ReadMeter, limit: usize) -> Self {
        Self { stream, meter, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.count() > self.limit {
            let error = NoProgress { limit: self.limit };
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.meter.0.fetch_add(buffer.filled().len() - filled_before, Ordering::AcqRel);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
