//! Accepts callers' connections, bounds their time, and closes them gracefully at a planned stop.

use crate::{
    GatewayAnswer,
    caller_stream::{CallerStream, CallerWatch},
    forwarder::RequestForwarder,
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use runtime::DecisionCounters;
use std::{
    convert::Infallible,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};
use types::CallerLimits;

/// The smallest buffer that the HTTP library takes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;
/// Period at which idle and slow connections are looked for.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopStage {
    /// No stop.
    Serving,
    /// Each connection is closed behind its next answer.
    LastAnswers,
    /// Idle connections are closed, and no new ones are taken.
    Closing,
}

/// Serves callers on one socket.
pub struct GatewayListener {
    pub(crate) forwarder: Arc<RequestForwarder>,
    pub(crate) stop: watch::Receiver<StopStage>,
    pub(crate) counters: DecisionCounters,
    pub(crate) connections: Arc<AtomicUsize>,
}

struct ConnectionState {
    in_flight: AtomicUsize,
    idle_since: Mutex<Instant>,
}

impl GatewayListener {
    /// Accepts connections until a planned stop closes the socket.
    pub(crate) async fn serve(self, listener: TcpListener) {
        let mut stop = self.stop.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                stopped = stop.wait_for(|stage| *stage == StopStage::Closing) => {
                    drop(stopped);
                    return;
                }
            };
            match accepted {
                Ok((stream, _)) => self.start_connection(stream),
                Err(_) => {
                    self.counters.count("accept-failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn start_connection(&self, stream: TcpStream) {
        // Small answers must not wait for more data; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        self.counters.count("connection-accepted");
        let (forwarder, stop) = (self.forwarder.clone(), self.stop.clone());
        let connections = self.connections.clone();
        connections.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(async move {
            serve_connection(stream, forwarder, stop).await;
            connections.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    forwarder: Arc<RequestForwarder>,
    mut stop: watch::Receiver<StopStage>,
) {
    let limits = forwarder
        .routes
        .read()
        .as_ref()
        .map_or_else(CallerLimits::default, |routes| routes.document.limits.clone());
    let (stream, caller) = CallerStream::new(stream);
    let state = Arc::new(ConnectionState {
        in_flight: AtomicUsize::new(0),
        idle_since: Mutex::new(Instant::now()),
    });
    let service = {
        let (state, caller, stop) = (state.clone(), caller.clone(), stop.clone());
        service_fn(move |request: Request<Incoming>| {
            let (forwarder, state, stop) = (forwarder.clone(), state.clone(), stop.clone());
            caller.note_parsed();
            state.in_flight.fetch_add(1, Ordering::AcqRel);
            async move {
                let answer = forwarder.forward(request).await;
                state.in_flight.fetch_sub(1, Ordering::AcqRel);
                *state.idle_since.lock() = Instant::now();
                let is_last = answer.is_last || *stop.borrow() > StopStage::Serving;
                Ok::<_, Infallible>(build_response(&forwarder, answer, is_last))
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(MIN_HEAD_BUFFER.max(limits.max_head_bytes as usize));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut gone = pin!(caller.gone());
    let mut is_closing = false;
    loop {
        tokio::select! {
            // A caller whose connection breaks asks again.
            _ = connection.as_mut() => return,
            () = &mut gone => return,
            _ = stop.wait_for(|stage| *stage == StopStage::Closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(CHECK_PERIOD) => {
                if !is_closing && is_overdue(&state, &caller, &limits) {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Says whether a connection without a request in progress has used up its time.
fn is_overdue(state: &ConnectionState, caller: &CallerWatch, limits: &CallerLimits) -> bool {
    if state.in_flight.load(Ordering::Acquire) > 0 {
        return false;
    }
    let head_timeout = Duration::from_millis(limits.head_timeout_ms.into());
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.into());
    let idle_since = *state.idle_since.lock();
    let is_slow = caller
        .unparsed_since()
        .is_some_and(|since| since >= idle_since && since.elapsed() > head_timeout);
    is_slow || idle_since.elapsed() > idle_timeout
}

fn build_response(
    forwarder: &RequestForwarder,
    answer: GatewayAnswer,
    is_last: bool,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    if let Some(wait) = answer.retry_after {
        forwarder.dialect.write_retry_after(response.headers_mut(), wait);
    }
    if is_last {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
