//! One connection of a caller: requests in, answers out in the same order.

use crate::{
    GatewayAnswer,
    body::{BodyError, MemoryReservation},
    call::CallerRequest,
    forwarder::RequestForwarder,
    http1::{BodyDecoder, CONTINUE_LINE, HeadError, RequestHead, encode_answer, parse_head},
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

/// Requests of one connection that run at the same time.
const MAX_PIPELINED: usize = 16;
/// Bytes that are read ahead while requests run, so that the end of the connection is seen.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// How long a closed connection is still read from. Closing it with unread bytes would reset it,
/// and the caller might lose the last answer.
const LINGER: Duration = Duration::from_millis(500);

/// A request whose body is still on its way.
struct PartialRequest {
    head: RequestHead,
    body: BodyDecoder,
    reservation: MemoryReservation,
}

/// What became of a request: the answer, and whether the caller wants to close behind it.
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
    /// A whole request that may not run beside those before it.
    deferred: Option<(CallerRequest, bool)>,
    running: FuturesOrdered<BoxFuture<'static, FinishedRequest>>,
    /// The request that runs may not run beside others.
    is_exclusive: bool,
    /// No request is read any more.
    is_input_closed: bool,
    idle_since: Instant,
    /// When the first byte of the request that is being read arrived.
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

    /// Serves until either side closes. Requests that may be repeated are cancelled when the
    /// caller leaves.
    pub(crate) async fn run(mut self) {
        // A caller whose connection breaks asks again.
        if let Ok(true) = self.serve().await {
            self.linger().await;
        }
    }

    /// Returns whether this side closes the connection.
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

    /// Says whether a part of a request has been read.
    fn has_pending_input(&self) -> bool {
        !self.buffer.is_empty() || self.partial.is_some() || self.deferred.is_some()
    }

    /// Returns when a connection without a running request has used up its time.
    fn read_deadline(&self) -> Instant {
        let idle = Duration::from_millis(self.limits.idle_timeout_ms.into());
        let head = Duration::from_millis(self.limits.head_timeout_ms.into());
        match (&self.partial, self.request_started) {
            (None, Some(since)) if !self.buffer.is_empty() => since.max(self.idle_since) + head,
            (Some(_), Some(since)) => since + idle,
            _ => self.idle_since + idle,
        }
    }

    /// Starts all requests that are there in full and may run now.
    async fn start_requests(&mut self) -> io::Result<()> {
        while !self.is_input_closed && self.running.len() < MAX_PIPELINED && !self.is_exclusive {
            if self.deferred.is_none() {
                self.deferred = self.next_request().await?;
            }
            let Some((request, is_last)) = self.deferred.take() else {
                return Ok(());
            };
            let may_overlap = self.forwarder.may_overlap(&request);
            if !may_overlap && !self.running.is_empty() {
                self.deferred = Some((request, is_last));
                return Ok(());
            }
            self.is_exclusive = !may_overlap;
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

    /// Reads the next request from the buffer, with whether the caller closes behind it. `None` if
    /// it is not there in full yet, or was refused.
    async fn next_request(&mut self) -> io::Result<Option<(CallerRequest, bool)>> {
        if self.partial.is_none() && !self.buffer.is_empty() {
            self.limits = self.forwarder.caller_limits();
            self.read_head().await?;
        }
        let Some(mut partial) = self.partial.take() else {
            return Ok(None);
        };
        let before = partial.body.collected();
        match partial.body.take(&mut self.buffer) {
            Ok(is_whole) => {
                if let Err(error) = partial.reservation.grow(partial.body.collected() - before) {
                    let error: BodyError = error;
                    self.refuse(StatusCode::SERVICE_UNAVAILABLE, &error.to_string());
                    return Ok(None);
                }
                if !is_whole {
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
            self.stream.write_all(CONTINUE_LINE).await?;
        }
        let reservation = MemoryReservation::new(&self.forwarder.memory);
        self.partial = Some(PartialRequest { head, body, reservation });
        Ok(())
    }

    /// Answers what was read with a refusal, behind all answers before it, and reads no more.
    fn refuse(&mut self, status: StatusCode, reason: &str) {
        let answer = GatewayAnswer { is_last: true, ..GatewayAnswer::own(status, reason) };
        let refused = FinishedRequest { answer, method: Method::GET, is_last: true };
        self.forwarder.record_refusal(status, reason);
        self.is_input_closed = true;
        self.buffer.clear();
        self.running.push_back(std::future::ready(refused).boxed());
    }

    /// Writes an answer. Returns whether the connection closes behind it.
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

    /// Closes this side, and reads until the caller has closed too.
    async fn linger(&mut self) {
        self.running.clear();
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.buffer.clear();
                match self.stream.read_buf(&mut self.buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        };
        // A caller that does not close in time is closed on.
        let _ = timeout(LINGER, drain).await;
    }
}
