//! A caller's connection: reads requests and writes the responses in the same order.

use crate::{
    GatewayAnswer,
    body::{BodyError, MemoryReservation},
    call::CallerRequest,
    forwarder::RequestForwarder,
    http1::{BodyDecoder, CONTINUE_RESPONSE, HeadError, RequestHead, encode_answer, parse_head},
    listener::StopStage,
};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesOrdered};
use http::{Method, StatusCode};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{sleep_until, timeout},
};
use types::CallerLimits;

/// Maximum number of requests of one connection that run concurrently.
const MAX_PIPELINED: usize = 16;
/// Maximum number of bytes that are read ahead while requests run, in order to detect that the
/// caller has closed the connection.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// How long a connection is still read from after this side has closed it. Dropping it with unread
/// bytes would reset it, and the caller might lose the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// A request whose body is not complete.
struct PartialRequest {
    head: RequestHead,
    body: BodyDecoder,
    reservation: MemoryReservation,
}

/// The response to a request, and whether the caller wants to close the connection after it.
struct FinishedRequest {
    answer: GatewayAnswer,
    method: Method,
    is_last: bool,
}

/// A caller's connection.
pub(crate) struct CallerConnection {
    stream: TcpStream,
    forwarder: Arc<RequestForwarder>,
    limits: CallerLimits,
    stop: watch::Receiver<StopStage>,
    buffer: BytesMut,
    partial: Option<PartialRequest>,
    /// A complete request that must wait until the requests before it are answered, and whether the
    /// caller wants to close the connection after it.
    deferred: Option<(CallerRequest, bool)>,
    running: FuturesOrdered<BoxFuture<'static, FinishedRequest>>,
    /// Whether the running request excludes all others.
    is_exclusive: bool,
    /// Whether no more requests are read.
    is_input_closed: bool,
    idle_since: Instant,
    /// When the first byte of the current request arrived.
    request_started: Option<Instant>,
}

impl CallerConnection {
    pub(crate) fn new(
        stream: TcpStream,
        forwarder: Arc<RequestForwarder>,
        stop: watch::Receiver<StopStage>,
    ) -> Self {
        let limits = forwarder.caller_limits();
        Self {
            stream,
            forwarder,
            limits,
            stop,
            buffer: BytesMut::new(),
            partial: None,
            deferred: None,
            running: FuturesOrdered::new(),
            is_exclusive: false,
            is_input_closed: false,
            idle_since: Instant::now(),
            request_started: None,
        }
    }

    /// Serves the connection until either side closes it. Idempotent requests are cancelled when
    /// the caller disconnects.
    pub(crate) async fn run(mut self) {
        // I/O errors need no handling: a caller whose connection fails retries.
        if let Ok(true) = self.serve().await {
            self.linger().await;
        }
    }

    /// Serves the connection and returns whether this side closes it.
    async fn serve(&mut self) -> io::Result<bool> {
        loop {
            self.start_requests().await?;
            let stage = *self.stop.borrow();
            let is_idle = self.running.is_empty();
            if is_idle
                && (self.is_input_closed
                    || (stage == StopStage::Closing && !self.has_pending_input()))
            {
                return Ok(true);
            }
            let may_read = self.buffer.len() < READ_AHEAD_BYTES && !self.is_input_closed;
            let deadline = self.read_deadline();
            tokio::select! {
                biased;
                Some(finished) = self.running.next(), if !is_idle => {
                    if self.write_answer(finished).await? {
                        return Ok(true);
                    }
                }
                read = self.stream.read_buf(&mut self.buffer), if may_read => {
                    if read? == 0 {
                        return Ok(false);
                    }
                    self.request_started.get_or_insert_with(Instant::now);
                }
                changed = self.stop.changed(), if stage < StopStage::Closing => {
                    if changed.is_err() {
                        return Ok(true);
                    }
                }
                () = sleep_until(deadline.into()), if is_idle => {
                    if !self.has_pending_input() {
                        return Ok(true);
                    }
                    self.refuse(StatusCode::REQUEST_TIMEOUT, "the request is late");
                }
            }
        }
    }

    /// Returns whether a request, or part of one, has been read but not started.
    fn has_pending_input(&self) -> bool {
        !self.buffer.is_empty() || self.partial.is_some() || self.deferred.is_some()
    }

    /// Returns when a connection without a running request times out.
    fn read_deadline(&self) -> Instant {
        let idle = Duration::from_millis(self.limits.idle_timeout_ms.into());
        let head = Duration::from_millis(self.limits.head_timeout_ms.into());
        match (&self.partial, self.request_started) {
            (None, Some(since)) if !self.buffer.is_empty() => since.max(self.idle_since) + head,
            (Some(_), Some(since)) => since + idle,
            _ => self.idle_since + idle,
        }
    }

    /// Starts all requests that are complete and may run now.
    async fn start_requests(&mut self) -> io::Result<()> {
        while !self.is_input_closed && self.running.len() < MAX_PIPELINED && !self.is_exclusive {
            if self.deferred.is_none() {
                self.deferred = self.next_request().await?;
            }
            let Some((request, is_last)) = self.deferred.take() else {
                return Ok(());
            };
            let may_run_concurrently = self.forwarder.may_run_concurrently(&request);
            if !may_run_concurrently && !self.running.is_empty() {
                self.deferred = Some((request, is_last));
                return Ok(());
            }
            self.is_exclusive = !may_run_concurrently;
            self.is_input_closed = is_last;
            let (forwarder, method) = (self.forwarder.clone(), request.method.clone());
            let run = async move {
                let answer = forwarder.forward(request).await;
                FinishedRequest { answer, method, is_last }
            };
            self.running.push_back(run.boxed());
        }
        Ok(())
    }

    /// Takes the next request from the buffer. Also returns whether the caller wants to close the
    /// connection after it. Returns `None` if the request is not complete or was refused.
    async fn next_request(&mut self) -> io::Result<Option<(CallerRequest, bool)>> {
        if self.partial.is_none() && !self.buffer.is_empty() {
            self.limits = self.forwarder.caller_limits();
            self.read_head().await?;
        }
        let Some(mut partial) = self.partial.take() else {
            return Ok(None);
        };
        let before = partial.body.decoded_bytes();
        match partial.body.decode(&mut self.buffer) {
            Ok(is_complete) => {
                if let Err(error) = partial.reservation.grow(partial.body.decoded_bytes() - before)
                {
                    let error: BodyError = error;
                    self.refuse(StatusCode::SERVICE_UNAVAILABLE, &error.to_string());
                    return Ok(None);
                }
                if !is_complete {
                    self.partial = Some(partial);
                    return Ok(None);
                }
            }
            Err(error) => {
                self.refuse(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string());
                return Ok(None);
            }
        }
        self.request_started = (!self.buffer.is_empty()).then(Instant::now);
        let PartialRequest { head, body, reservation } = partial;
        let RequestHead { method, target, headers, is_last, .. } = head;
        let body: Bytes = body.finish();
        let request =
            CallerRequest { method, target, headers, body, reservation, arrived: Instant::now() };
        Ok(Some((request, is_last)))
    }

    /// Parses a head from the buffer, and sends `100 Continue` if the caller waits for it.
    async fn read_head(&mut self) -> io::Result<()> {
        let max_bytes = self.limits.max_head_bytes as usize;
        let (head, length) = match parse_head(&self.buffer, max_bytes) {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Ok(()),
            Err(error) => {
                let status = match error {
                    HeadError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                    _ => StatusCode::BAD_REQUEST,
                };
                self.refuse(status, &error.to_string());
                return Ok(());
            }
        };
        drop(self.buffer.split_to(length));
        let body = match BodyDecoder::new(head.framing, self.limits.max_body_bytes) {
            Ok(body) => body,
            Err(error) => {
                self.refuse(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string());
                return Ok(());
            }
        };
        if head.expects_continue && self.buffer.is_empty() && self.running.is_empty() {
            self.stream.write_all(CONTINUE_RESPONSE).await?;
        }
        let reservation = MemoryReservation::new(&self.forwarder.memory);
        self.partial = Some(PartialRequest { head, body, reservation });
        Ok(())
    }

    /// Queues a refusal after all earlier responses, and stops reading.
    fn refuse(&mut self, status: StatusCode, reason: &str) {
        let answer = GatewayAnswer { is_last: true, ..GatewayAnswer::own(status, reason) };
        let refused = FinishedRequest { answer, method: Method::GET, is_last: true };
        self.forwarder.record_refusal(status, reason);
        self.is_input_closed = true;
        self.buffer.clear();
        self.running.push_back(std::future::ready(refused).boxed());
    }

    /// Writes a response. Returns whether the connection closes after it.
    async fn write_answer(&mut self, finished: FinishedRequest) -> io::Result<bool> {
        let FinishedRequest { mut answer, method, is_last } = finished;
        let is_stopping = *self.stop.borrow() > StopStage::Serving;
        let is_last = is_last || answer.is_last || is_stopping;
        if let Some(wait) = answer.retry_after {
            self.forwarder.dialect.write_retry_after(&mut answer.headers, wait);
        }
        let bytes = encode_answer(&answer, &method, is_last);
        self.stream.write_all(&bytes).await?;
        (self.is_exclusive, self.idle_since) = (false, Instant::now());
        Ok(is_last)
    }

    /// Closes this side, and reads until the caller closes or [`LINGER_TIMEOUT`] has passed.
    async fn linger(&mut self) {
        self.running.clear();
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let read_to_end = async {
            loop {
                self.buffer.clear();
                match self.stream.read_buf(&mut self.buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        };
        // Drops the connection after the timeout even if the caller has not closed it.
        let _ = timeout(LINGER_TIMEOUT, read_to_end).await;
    }
}
