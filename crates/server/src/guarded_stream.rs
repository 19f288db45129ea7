//! A TCP stream that asks a guard before the first byte of each request leaves.
//!
//! The check stands behind all queues of the HTTP library, so that a process that was frozen
//! anywhere before acts on a fresh decision. It also knows for certain whether a byte left.

use crate::StartGuard;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
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

/// How far the current request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum SendStage {
    /// No byte has left.
    Waiting = 0,
    /// At least one byte may have left.
    Started = 1,
    /// The guard refused.
    Refused = 2,
}

/// Shared by the stream, which the HTTP library owns, and the connection that uses it.
#[derive(Default)]
pub(crate) struct SendGate {
    stage: AtomicU8,
    guard: Mutex<Option<StartGuard>>,
}

impl SendGate {
    /// Sets the guard of the next request.
    pub(crate) fn arm(&self, guard: StartGuard) {
        *self.guard.lock() = Some(guard);
        self.stage.store(SendStage::Waiting as u8, Ordering::Release);
    }

    /// Returns how far the current request has come.
    pub(crate) fn stage(&self) -> SendStage {
        match self.stage.load(Ordering::Acquire) {
            0 => SendStage::Waiting,
            1 => SendStage::Started,
            _ => SendStage::Refused,
        }
    }

    fn may_write(&self) -> bool {
        match self.stage() {
            SendStage::Started => true,
            SendStage::Refused => false,
            SendStage::Waiting => {
                let is_open = self.guard.lock().as_ref().is_some_and(|guard| guard());
                let next = if is_open { SendStage::Started } else { SendStage::Refused };
                self.stage.store(next as u8, Ordering::Release);
                is_open
            }
        }
    }
}

/// The stream that the HTTP library reads and writes.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    gate: Arc<SendGate>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, gate: Arc<SendGate>) -> TokioIo<Self> {
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
