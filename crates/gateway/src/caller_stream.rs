//! A caller's connection that notices when the caller leaves.
//!
//! The HTTP library stops reading while a request is in progress and more bytes wait. This stream
//! reads ahead, so that the end of the connection is seen behind pipelined requests too.

use bytes::{Buf, BytesMut};
use parking_lot::Mutex;
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Instant,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Bytes that are read ahead of the HTTP library.
const READ_AHEAD_LIMIT: usize = 64 * 1024;

#[derive(Debug)]
struct ReadAhead {
    half: OwnedReadHalf,
    waiting: BytesMut,
    is_ended: bool,
    /// When bytes arrived that no request has been made of yet.
    unparsed_since: Option<Instant>,
}

/// The end of a connection that the HTTP library reads and writes.
pub(crate) struct CallerStream {
    ahead: Arc<Mutex<ReadAhead>>,
    write: OwnedWriteHalf,
}

/// The end of a connection that watches for the caller.
pub(crate) struct CallerWatch {
    ahead: Arc<Mutex<ReadAhead>>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream) -> (Self, CallerWatch) {
        let (half, write) = stream.into_split();
        let ahead =
            ReadAhead { half, waiting: BytesMut::new(), is_ended: false, unparsed_since: None };
        let ahead = Arc::new(Mutex::new(ahead));
        (Self { ahead: ahead.clone(), write }, CallerWatch { ahead })
    }
}

impl CallerWatch {
    /// Waits until the caller has closed or lost the connection.
    pub(crate) async fn gone(&self) {
        std::future::poll_fn(|context| self.ahead.lock().poll_end(context)).await;
    }

    /// Notes that a request was made of the bytes that have arrived.
    pub(crate) fn note_parsed(&self) {
        self.ahead.lock().unparsed_since = None;
    }

    /// Returns since when bytes wait that are no whole request yet.
    pub(crate) fn unparsed_since(&self) -> Option<Instant> {
        self.ahead.lock().unparsed_since
    }
}

impl Clone for CallerWatch {
    fn clone(&self) -> Self {
        Self { ahead: self.ahead.clone() }
    }
}

impl ReadAhead {
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.is_ended && self.waiting.len() < READ_AHEAD_LIMIT {
            ready!(self.poll_fill(context));
        }
        if self.is_ended { Poll::Ready(()) } else { Poll::Pending }
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; 4096];
        let mut buffer = ReadBuf::new(&mut space);
        let result = ready!(Pin::new(&mut self.half).poll_read(context, &mut buffer));
        let filled = buffer.filled();
        if result.is_err() || filled.is_empty() {
            self.is_ended = true;
        } else {
            self.waiting.extend_from_slice(filled);
            self.unparsed_since.get_or_insert_with(Instant::now);
        }
        Poll::Ready(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut ahead = self.ahead.lock();
        if ahead.waiting.is_empty() && !ahead.is_ended {
            ready!(ahead.poll_fill(context));
        }
        let count = ahead.waiting.len().min(buffer.remaining());
        buffer.put_slice(&ahead.waiting[..count]);
        ahead.waiting.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.write.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(context)
    }
}
