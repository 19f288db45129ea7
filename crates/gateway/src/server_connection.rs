//! An HTTP/1.1 connection to a server, used for one request at a time.

use crate::body::{BodyMemory, BodyStart, read_start};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Full;
use hyper::{
    body::Body,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use runtime::{MeteredStream, ReadMeter};
use socket2::SockRef;
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use thiserror::Error;
use tokio::{net::TcpStream, task::AbortHandle};

/// Maximum size of a response head, and of the read buffer of a connection, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that are read without a head or a part of a body, in bytes. Larger than a
/// head, the read buffer and the parts of a body that wait for their reader together.
const MAX_UNUSED_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// Keep-alive time that is assumed if the server does not state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(10);
/// Fraction of the keep-alive time for which an idle connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.9;
/// `TCP_USER_TIMEOUT`: a connection fails if sent data stays unacknowledged for longer.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Size above which a body is streamed instead of held, in bytes. A response whose body breaks off
/// before that is not forwarded, so that the request may be repeated.
pub(crate) const MAX_HELD_BODY_BYTES: usize = 64 * 1024;

/// A server or another entry, to which connections are kept open.
pub(crate) trait ConnectionOwner: Send + Sync {
    /// Takes back a connection that is ready for another request.
    fn put_connection(&self, connection: ServerConnection);
    /// Records that the body of a response broke off.
    fn record_broken_answer(&self, now: Instant);
    /// Returns the name for logs.
    fn name(&self) -> &str;
}

/// The reason why a request got no response.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The server may have received the request.
    #[error("broken off: {0}")]
    MaybeSent(String),
}

/// A response from a server, with the start of its body.
pub(crate) struct ServerAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Length of the whole body in bytes, if the server states it.
    pub(crate) length: Option<u64>,
    pub(crate) body: BodyStart,
    /// Whether the server keeps the connection open after the response.
    pub(crate) is_keep_alive: bool,
}

/// A connection to a server. Dropping it closes it, which cancels a request in flight.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    meter: ReadMeter,
    keep_alive: Duration,
    last_used: Instant,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ServerConnection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::on_stream(TcpStream::connect(address).await?).await
    }

    /// Uses a connected stream.
    pub(crate) async fn on_stream(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let meter = ReadMeter::default();
        let stream = MeteredStream::new(stream, meter.clone(), MAX_UNUSED_BYTES);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // Errors of the connection are reported by the request in flight.
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        let (keep_alive, last_used) = (DEFAULT_KEEP_ALIVE, Instant::now());
        Ok(Self { sender, driver, meter, keep_alive, last_used })
    }

    /// Records that a part of a body was received.
    pub(crate) fn record_progress(&self) {
        self.meter.record_progress();
    }

    /// Returns whether the idle connection may be reused. A probe is always sent on it before a
    /// request, so that a close by the server makes a probe fail and not a request.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.last_used);
        !self.sender.is_closed() && idle < self.keep_alive.mul_f64(KEEP_ALIVE_SHARE)
    }

    /// Sends a request and reads the response. Stops reading its body after `max_body_bytes`.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
        memory: &Arc<BodyMemory>,
    ) -> Result<ServerAnswer, ExchangeError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ExchangeError::NotSent(error.to_string()));
        }
        self.meter.record_progress();
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut failure) => {
                let is_unsent = failure.take_message().is_some();
                let reason = failure.into_error().to_string();
                return Err(if is_unsent {
                    ExchangeError::NotSent(reason)
                } else {
                    ExchangeError::MaybeSent(reason)
                });
            }
        };
        self.meter.record_progress();
        let (parts, body) = response.into_parts();
        let length = body.size_hint().exact();
        let body = read_start(body, max_body_bytes, memory, &self.meter)
            .await
            .map_err(|error| ExchangeError::MaybeSent(error.to_string()))?;
        self.last_used = Instant::now();
        if let Some(keep_alive) = stated_keep_alive(&parts.headers) {
            self.keep_alive = keep_alive;
        }
        let is_keep_alive = !has_close(&parts.headers) && !self.sender.is_closed();
        let (status, headers) = (parts.status, parts.headers);
        Ok(ServerAnswer { status, headers, length, body, is_keep_alive })
    }
}

/// Returns whether `Connection` contains the token `close`.
fn has_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| text.split(',').any(|part| part.trim().eq_ignore_ascii_case("close")))
}

/// Parses `Keep-Alive: timeout=SECONDS`.
fn stated_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    parts.next()?.parse().ok().map(Duration::from_secs)
}
