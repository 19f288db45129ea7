//! A TCP stream that calls a guard before it writes the first byte of each request.
//!
//! The guard runs directly before the write to the socket, after all queues of the HTTP library, so
//! that a process that was suspended at any earlier point sends only if the guard still allows it.
//! [`SendGate`] also records whether a write was started, so that a request that fails earlier is
//! known not to have been sent.

use crate::StartGuard;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use runtime::{MeteredStream, ReadMeter};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes that are read without a head or a part of a body, in bytes. Larger than
/// what the HTTP library buffers by default.
const MAX_UNUSED_BYTES: usize = 2 * 1024 * 1024;

/// Progress of the current request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum SendStage {
    /// No byte has been sent.
    NotStarted = 0,
    /// At least one byte may have been sent.
    Started = 1,
    /// The guard refused the request; no byte has been sent.
    Refused = 2,
}

/// The guard and progress of the current request, shared by the stream, which the HTTP library
/// owns, and the connection that uses it.
#[derive(Default)]
pub(crate) struct SendGate {
    stage: AtomicU8,
    guard: Mutex<Option<StartGuard>>,
    meter: ReadMeter,
}

impl SendGate {
    /// Sets the guard of the next request and resets the progress.
    pub(crate) fn set_guard(&self, guard: StartGuard) {
        *self.guard.lock() = Some(guard);
        self.stage.store(SendStage::NotStarted as u8, Ordering::Release);
        self.meter.record_progress();
    }

    /// Returns the meter of what the connection reads.
    pub(crate) fn meter(&self) -> &ReadMeter {
        &self.meter
    }

    /// Returns the progress of the current request.
    pub(crate) fn stage(&self) -> SendStage {
        match self.stage.load(Ordering::Acquire) {
            0 => SendStage::NotStarted,
            1 => SendStage::Started,
            _ => SendStage::Refused,
        }
    }

    /// Returns whether the stream may write. Calls the guard before the first write of a request;
    /// without a guard, the write is refused.
    fn may_write(&self) -> bool {
        match self.stage() {
            SendStage::Started => true,
            SendStage::Refused => false,
            SendStage::NotStarted => {
                let is_allowed = self.guard.lock().as_ref().is_some_and(|guard| guard());
                let next = if is_allowed { SendStage::Started } else { SendStage::Refused };
                self.stage.store(next as u8, Ordering::Release);
                is_allowed
            }
        }
    }
}

/// A TCP stream whose writes fail with `PermissionDenied` if the gate's guard refused the request.
pub(crate) struct GuardedStream {
    stream: MeteredStream<TcpStream>,
    gate: Arc<SendGate>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, gate: Arc<SendGate>) -> TokioIo<Self> {
        let stream = MeteredStream::new(stream, gate.meter.clone(), MAX_UNUSED_BYTES);
        TokioIo::new(Self { stream, gate })
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.gate.may_write() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.gate.may_write() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
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
