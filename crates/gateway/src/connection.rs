//! A caller's connection: reads requests and writes the responses in the same order.

use crate::{
    GatewayAnswer,
    answer_body::{AnswerBody, AnswerStream},
    body::{BodyError, MemoryReservation},
    call::CallerRequest,
    forwarder::RequestForwarder,
    http1::{
        AnswerFraming, BodyDecoder, CONTINUE_RESPONSE, HeadError, LAST_CHUNK, RequestHead,
        answer_framing, encode_head, encode_part, parse_head,
    },
    listener::{RequestSource, StopStage},
};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesOrdered};
use http::{HeaderValue, Method, StatusCode};
use std::{
    collections::VecDeque,
    io,
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{sleep_until, timeout, timeout_at},
};
use types::CallerLimits;

/// Maximum number of requests of one connection that run concurrently.
const MAX_PIPELINED: usize = 16;
/// Maximum number of bytes that an entry adds to the head of a request that it relays.
const MAX_RELAY_FIELD_BYTES: usize = 4 * 1024;
/// Maximum number of bytes that are read ahead while requests run, in order to detect that the
/// caller has closed the connection.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// How long a connection is still read from after this side has closed it. Dropping it with unread
/// bytes would reset it, and the caller might lose the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason for the refusal of requests that are complete only after a stopping entry has stopped
/// accepting connections: they might not end before the process does.
const STOPPING: &str = "the entry is stopping";

/// A request whose body is not complete.
struct PartialRequest {
    head: RequestHead,
    body: BodyDecoder,
    reservation: MemoryReservation,
}

/// What the response to a request must take from it.
struct RequestTraits {
    method: Method,
    /// Id for the log.
    id: Option<HeaderValue>,
    /// Whether the caller accepts chunked bodies.
    accepts_chunks: bool,
    /// Whether the caller wants to close the connection after the response.
    is_last: bool,
}

/// A complete request, with what its response must take from it.
struct PendingRequest {
    request: CallerRequest,
    traits: RequestTraits,
}

/// The response to a request.
struct FinishedRequest {
    answer: GatewayAnswer,
    traits: RequestTraits,
}

/// A caller's connection.
pub(crate) struct CallerConnection {
    stream: TcpStream,
    source: RequestSource,
    caller: Option<IpAddr>,
    forwarder: Arc<RequestForwarder>,
    limits: CallerLimits,
    stop: watch::Receiver<StopStage>,
    buffer: BytesMut,
    partial: Option<PartialRequest>,
    /// A complete request that must wait until the requests before it are answered.
    deferred: Option<PendingRequest>,
    running: FuturesOrdered<BoxFuture<'static, FinishedRequest>>,
    /// Responses that follow the one that is being streamed, in order.
    finished: VecDeque<FinishedRequest>,
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
        source: RequestSource,
        forwarder: Arc<RequestForwarder>,
        stop: watch::Receiver<StopStage>,
    ) -> Self {
        let limits = forwarder.caller_limits();
        let caller = stream.peer_addr().ok().map(|address| address.ip());
        Self {
            stream,
            source,
            caller,
            forwarder,
            limits,
            stop,
            buffer: BytesMut::new(),
            partial: None,
            deferred: None,
            running: FuturesOrdered::new(),
            finished: VecDeque::new(),
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
            if let Some(finished) = self.finished.pop_front() {
                if self.write_answer(finished).await? {
                    return Ok(true);
                }
                continue;
            }
            self.start_requests().await?;
            let stage = *self.stop.borrow();
            let is_idle = self.running.is_empty();
            if is_idle
                && (self.is_input_closed
                    || (stage == StopStage::Closing && !self.has_pending_input()))
            {
                return Ok(true);
            }
            let deadline = self.read_deadline();
            tokio::select! {
                biased;
                Some(finished) = self.running.next(), if !is_idle => {
                    if self.write_answer(finished).await? {
                        return Ok(true);
                    }
                }
                read = self.stream.read_buf(&mut self.buffer), if self.may_read() => {
                    if read? == 0 {
                        return Ok(false);
                    }
                    self.accept_input();
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

    /// Returns whether to read from the connection. It is read from also when no further request is
    /// accepted, since this is how a caller that leaves is noticed.
    fn may_read(&self) -> bool {
        self.is_input_closed || self.buffer.len() < READ_AHEAD_BYTES
    }

    /// Takes note of bytes that have been read, or drops them if no further request is accepted.
    fn accept_input(&mut self) {
        if self.is_input_closed {
            self.buffer.clear();
        } else {
            self.request_started.get_or_insert_with(Instant::now);
        }
    }

    fn is_stopping(&self) -> bool {
        *self.stop.borrow() > StopStage::Serving
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
            // The connection closes once the running requests are answered. Callers send again what
            // was not started by then.
            if self.is_stopping() && !self.running.is_empty() {
                return Ok(());
            }
            if self.deferred.is_none() {
                self.deferred = self.next_request().await?;
            }
            let Some(pending) = self.deferred.take() else {
                return Ok(());
            };
            let may_run_concurrently = self.forwarder.may_run_concurrently(&pending.request);
            if !may_run_concurrently && !self.running.is_empty() {
                self.deferred = Some(pending);
                return Ok(());
            }
            let PendingRequest { request, traits } = pending;
            if *self.stop.borrow() == StopStage::Closing {
                self.refuse_request(traits, StatusCode::SERVICE_UNAVAILABLE, STOPPING);
                return Ok(());
            }
            self.is_exclusive = !may_run_concurrently;
            self.is_input_closed = traits.is_last;
            let (forwarder, source) = (self.forwarder.clone(), self.source);
            let run = async move {
                let answer = match source {
                    RequestSource::Callers => forwarder.forward(request).await,
                    RequestSource::Entries => forwarder.answer_entry(request).await,
                };
                FinishedRequest { answer, traits }
            };
            self.running.push_back(run.boxed());
        }
        Ok(())
    }

    /// Takes the next request from the buffer. Returns `None` if it is not complete or was refused.
    async fn next_request(&mut self) -> io::Result<Option<PendingRequest>> {
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
        let RequestHead { method, target, headers, is_last, accepts_chunks, .. } = head;
        let id = self.forwarder.dialect.request_metadata(&headers).id;
        let traits = RequestTraits { method: method.clone(), id, accepts_chunks, is_last };
        let body: Bytes = body.finish();
        let request = CallerRequest {
            method,
            target,
            headers,
            body,
            reservation,
            arrived: Instant::now(),
            caller: self.caller,
        };
        Ok(Some(PendingRequest { request, traits }))
    }

    /// Parses a head from the buffer, and sends `100 Continue` if the caller waits for it.
    async fn read_head(&mut self) -> io::Result<()> {
        let relay_bytes = match self.source {
            RequestSource::Callers => 0,
            RequestSource::Entries => MAX_RELAY_FIELD_BYTES,
        };
        let max_bytes = self.limits.max_head_bytes as usize + relay_bytes;
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
        let traits =
            RequestTraits { method: Method::GET, id: None, accepts_chunks: true, is_last: true };
        self.refuse_request(traits, status, reason);
    }

    /// Does the same for a request whose head was read.
    fn refuse_request(&mut self, traits: RequestTraits, status: StatusCode, reason: &str) {
        let answer = GatewayAnswer { is_last: true, ..GatewayAnswer::own(status, reason) };
        let refused = FinishedRequest { answer, traits };
        self.forwarder.record_refusal(status, reason);
        self.is_input_closed = true;
        self.buffer.clear();
        self.running.push_back(std::future::ready(refused).boxed());
    }

    /// Writes a response. Returns whether the connection closes after it.
    async fn write_answer(&mut self, finished: FinishedRequest) -> io::Result<bool> {
        let FinishedRequest { mut answer, traits } = finished;
        let framing = answer_framing(&answer, &traits.method, traits.accepts_chunks);
        let framing = framing.unwrap_or_else(|| {
            let reason = "the answer has no length, and HTTP/1.0 has no chunked bodies";
            answer = GatewayAnswer::own(StatusCode::BAD_GATEWAY, reason);
            AnswerFraming::Length(answer.body.length().unwrap_or_default())
        });
        let has_more = !self.running.is_empty() || !self.finished.is_empty();
        let is_last = traits.is_last || answer.is_last || (self.is_stopping() && !has_more);
        if let Some(wait) = answer.retry_after {
            self.forwarder.dialect.write_retry_after(&mut answer.headers, wait);
        }
        let mut bytes = encode_head(&answer, framing, is_last);
        let is_complete = match answer.body {
            AnswerBody::Whole(body, _reservation) => {
                bytes.extend_from_slice(&encode_part(body, framing));
                self.stream.write_all(&bytes).await?;
                true
            }
            AnswerBody::Stream(body) => {
                self.stream.write_all(&bytes).await?;
                self.write_stream(*body, framing, &traits).await?
            }
        };
        (self.is_exclusive, self.idle_since) = (false, Instant::now());
        Ok(is_last || !is_complete)
    }

    /// Writes a streamed body, while the other requests of the connection go on. Returns false if the
    /// body is not complete: the connection must then be closed, so that the caller notices.
    async fn write_stream(
        &mut self,
        mut body: AnswerStream,
        framing: AnswerFraming,
        traits: &RequestTraits,
    ) -> io::Result<bool> {
        if framing == AnswerFraming::NoBody {
            return Ok(true);
        }
        let deadline = body.deadline();
        loop {
            let next = tokio::select! {
                next = body.next() => next,
                Some(finished) = self.running.next(), if !self.running.is_empty() => {
                    self.finished.push_back(finished);
                    continue;
                }
                read = self.stream.read_buf(&mut self.buffer), if self.may_read() => {
                    if read? == 0 {
                        let reason = "the caller has left";
                        self.forwarder.record_broken_answer(traits.id.as_ref(), reason);
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                    self.accept_input();
                    continue;
                }
            };
            let written = match next {
                Ok(Some(part)) => {
                    let part = encode_part(part, framing);
                    timeout_at(deadline.into(), self.stream.write_all(&part)).await
                }
                Ok(None) if framing == AnswerFraming::Chunked => {
                    self.stream.write_all(LAST_CHUNK).await?;
                    return Ok(true);
                }
                Ok(None) => return Ok(true),
                Err(error) => {
                    self.forwarder.record_broken_answer(traits.id.as_ref(), &error.to_string());
                    return Ok(false);
                }
            };
            match written {
                Ok(result) => result?,
                Err(_) => {
                    let reason = "the caller did not read the body by the deadline";
                    self.forwarder.record_broken_answer(traits.id.as_ref(), reason);
                    return Ok(false);
                }
            }
        }
    }

    /// Closes this side, and reads until the caller closes or [`LINGER_TIMEOUT`] has passed.
    async fn linger(&mut self) {
        self.running.clear();
        self.finished.clear();
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
