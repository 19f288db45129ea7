//! A fake HTTP/1.1 server with slots, a queue, a cold start and configurable faults.

use crate::{
    announcer::announce,
    behaviour::{FakeBehaviour, FakeMode, FakeStats, LoadReport},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
};
use types::{
    Announcement, DomainName, ServerIncarnation, ServerName, ServerState, ServiceName, header,
};

/// Identity and network settings of a fake server.
#[derive(Debug, Clone)]
pub struct FakeServerSettings {
    /// Server name.
    pub name: ServerName,
    /// Service that the server provides.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Server addresses of the entries to announce to.
    pub entries: Vec<SocketAddr>,
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Seed of the random service times.
    pub seed: u64,
}

/// State shared by a fake server's tasks.
struct FakeCore {
    settings: FakeServerSettings,
    address: SocketAddr,
    behaviour: Mutex<FakeBehaviour>,
    stats: Mutex<FakeStats>,
    rng: Mutex<SmallRng>,
    slots: Semaphore,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    state: Mutex<ServerState>,
}

/// A running fake server. Dropping it stops it as [`FakeServer::crash`] does.
pub struct FakeServer {
    core: Arc<FakeCore>,
    tasks: Vec<JoinHandle<()>>,
}

impl FakeServer {
    /// Starts a server and its periodic announcements.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(settings: FakeServerSettings, behaviour: FakeBehaviour) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let core = Arc::new(FakeCore {
            address,
            slots: Semaphore::new(behaviour.slots as usize),
            rng: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            behaviour: Mutex::new(behaviour),
            stats: Mutex::default(),
            incarnation: AtomicU64::new(1),
            sequence: AtomicU64::new(0),
            state: Mutex::new(ServerState::Ready),
            settings,
        });
        let tasks = vec![
            tokio::spawn(accept_connections(listener, core.clone())),
            tokio::spawn(announce_periodically(core.clone())),
        ];
        Ok(Self { core, tasks })
    }

    /// Returns the server's name.
    pub fn name(&self) -> &ServerName {
        &self.core.settings.name
    }

    /// Returns the server's failure domain.
    pub fn domain(&self) -> &DomainName {
        &self.core.settings.domain
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.core.address
    }

    /// Returns the number of requests that the server runs concurrently.
    pub fn slots(&self) -> u32 {
        self.core.behaviour.lock().slots
    }

    /// Returns a copy of the server's counters.
    pub fn stats(&self) -> FakeStats {
        self.core.stats.lock().clone()
    }

    /// Changes the behaviour. Changing `slots` does not change how many requests run concurrently;
    /// that is fixed when the server starts.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut FakeBehaviour)) {
        change(&mut self.core.behaviour.lock());
    }

    /// Simulates a restart: raises the incarnation and makes the server cold.
    ///
    /// Sends no announcement of its own: answers and the next periodic announcement carry the new
    /// incarnation.
    pub fn restart_silently(&self) {
        self.core.incarnation.fetch_add(1, Ordering::SeqCst);
        self.core.stats.lock().executions_since_start = 0;
    }

    /// Changes the announced state and announces it at once.
    pub async fn set_state(&self, state: ServerState) {
        *self.core.state.lock() = state;
        let announcement = self.core.announcement();
        announce(&self.core.settings.entries, &announcement).await;
    }

    /// Stops listening and announcing without notice, as a crash does.
    pub fn crash(&mut self) {
        self.tasks.drain(..).for_each(|task| task.abort());
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.crash();
    }
}

impl FakeCore {
    fn announcement(&self) -> Announcement {
        Announcement {
            server: self.settings.name.clone(),
            service: self.settings.service.clone(),
            address: self.address,
            domain: self.settings.domain.clone(),
            slots: self.behaviour.lock().slots as u16,
            incarnation: ServerIncarnation(self.incarnation.load(Ordering::SeqCst)),
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst),
            state: *self.state.lock(),
        }
    }

    /// Returns a random service time for the next request.
    fn sample_service_time(&self) -> Duration {
        let (mean, jitter) = {
            let behaviour = self.behaviour.lock();
            (behaviour.service_time.mul_f64(behaviour.slowdown), behaviour.jitter)
        };
        let uniform: f64 = self.rng.lock().random_range(f64::EPSILON..1.0);
        mean.mul_f64(1.0 - jitter + jitter * -uniform.ln())
    }
}

/// Counts a request as in flight while it exists. A request counts as cancelled if the guard is
/// dropped before `is_done` is set.
struct InFlightGuard {
    core: Arc<FakeCore>,
    is_done: bool,
}

impl InFlightGuard {
    /// Counts a request. Also returns whether it exceeds the concurrency of a cold server.
    fn enter(core: &Arc<FakeCore>) -> (Self, bool) {
        let (cold_concurrency, warm_up_requests) = {
            let behaviour = core.behaviour.lock();
            (behaviour.cold_concurrency, behaviour.warm_up_requests)
        };
        let mut stats = core.stats.lock();
        stats.received += 1;
        stats.in_flight += 1;
        stats.max_in_flight = stats.max_in_flight.max(stats.in_flight);
        let is_overload =
            stats.executions_since_start < warm_up_requests && stats.in_flight > cold_concurrency;
        stats.cold_overloads += u64::from(is_overload);
        (Self { core: core.clone(), is_done: false }, is_overload)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut stats = self.core.stats.lock();
        stats.in_flight -= 1;
        stats.cancelled += u64::from(!self.is_done);
    }
}

async fn accept_connections(listener: TcpListener, core: Arc<FakeCore>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, core.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, core: Arc<FakeCore>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let core = core.clone();
        async move { handle_request(request, core).await }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn handle_request(
    request: Request<Incoming>,
    core: Arc<FakeCore>,
) -> Result<Response<FakeBody>, io::Error> {
    if request.uri().path() == "/probe" {
        core.stats.lock().probes += 1;
        return Ok(Response::new(FakeBody::complete("ready\n".to_owned())));
    }
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let (mut guard, is_cold_overload) = InFlightGuard::enter(&core);
    let (mode, queue_limit, slots) = {
        let behaviour = core.behaviour.lock();
        (behaviour.mode, behaviour.queue_limit, behaviour.slots)
    };
    let in_flight_count = core.stats.lock().in_flight;
    let is_full = in_flight_count > slots + queue_limit;
    let early_response = match mode {
        FakeMode::FailFast => {
            Some(status_response(&core, StatusCode::INTERNAL_SERVER_ERROR, false))
        }
        FakeMode::DropBeforeRun => return Err(io::ErrorKind::ConnectionAborted.into()),
        FakeMode::ShedNotRun => Some(status_response(&core, StatusCode::SERVICE_UNAVAILABLE, true)),
        _ if is_cold_overload => {
            Some(status_response(&core, StatusCode::INTERNAL_SERVER_ERROR, false))
        }
        _ if is_full => Some(status_response(&core, StatusCode::SERVICE_UNAVAILABLE, true)),
        _ => None,
    };
    if let Some(response) = early_response {
        guard.is_done = true;
        return Ok(response);
    }
    let _slot = core.slots.acquire().await.map_err(io::Error::other)?;
    record_execution(&core, &parts.headers);
    let service_time = core.sample_service_time();
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    if mode == FakeMode::Hang {
        std::future::pending::<()>().await;
    }
    guard.is_done = true;
    if mode == FakeMode::DropAfterRun {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let id = header_text(&parts.headers, header::REQUEST_ID);
    let padding = "x".repeat(core.behaviour.lock().padding_bytes);
    let (name, path) = (&core.settings.name, parts.uri.path());
    let content = format!("server={name} id={id} path={path} bytes={} {padding} end\n", body.len());
    let body = if mode == FakeMode::Truncate {
        FakeBody::truncated(content)
    } else {
        FakeBody::complete(content)
    };
    let mut response = Response::new(body);
    insert_server_headers(&core, response.headers_mut());
    Ok(response)
}

fn record_execution(core: &FakeCore, headers: &HeaderMap) {
    let mut stats = core.stats.lock();
    stats.executions += 1;
    stats.executions_since_start += 1;
    stats.last_deadline_ms = header_text(headers, header::DEADLINE).parse().unwrap_or(0);
    let key = header_text(headers, header::IDEMPOTENCY_KEY);
    if !key.is_empty() {
        *stats.executions_by_key.entry(key).or_default() += 1;
    }
}

fn status_response(core: &FakeCore, status: StatusCode, is_not_run: bool) -> Response<FakeBody> {
    let mut response = Response::new(FakeBody::complete(format!("{status}\n")));
    *response.status_mut() = status;
    insert_server_headers(core, response.headers_mut());
    if is_not_run {
        response
            .headers_mut()
            .insert(HeaderName::from_static(header::NOT_RUN), HeaderValue::from_static("1"));
    }
    response
}

fn insert_server_headers(core: &FakeCore, headers: &mut HeaderMap) {
    let incarnation = core.incarnation.load(Ordering::SeqCst);
    headers.insert(HeaderName::from_static(header::INCARNATION), incarnation.into());
    let behaviour = core.behaviour.lock();
    let load = match behaviour.load_report {
        LoadReport::Omitted => None,
        LoadReport::Actual => Some(core.stats.lock().in_flight),
        LoadReport::Fixed(load) => Some(load),
    };
    if let Some(load) = load {
        headers.insert(HeaderName::from_static(header::LOAD), load.into());
    }
    if behaviour.is_leaving {
        let leaving = HeaderValue::from_static("leaving");
        headers.insert(HeaderName::from_static(header::STATE), leaving);
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Announces the server periodically to the owner named in the last answer, or, if that fails, to
/// the other entries listed there. Falls back to the configured entries if none of them accepts.
async fn announce_periodically(core: Arc<FakeCore>) {
    let mut targets = core.settings.entries.clone();
    loop {
        let answer = announce(&targets, &core.announcement()).await;
        let delay = match answer {
            Some(answer) => {
                targets = vec![answer.owner];
                targets.extend(answer.others);
                Duration::from_millis(answer.period_ms)
            }
            None => {
                targets = core.settings.entries.clone();
                Duration::from_millis(200)
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// A response body that may break off in the middle of its declared content length.
struct FakeBody {
    inner: Full<Bytes>,
    content_length: u64,
    is_truncated: bool,
}

impl FakeBody {
    fn complete(content: String) -> Self {
        let content_length = content.len() as u64;
        Self { inner: Full::new(Bytes::from(content)), content_length, is_truncated: false }
    }

    fn truncated(content: String) -> Self {
        let content_length = content.len() as u64;
        let half = content[..content.len() / 2].to_owned();
        Self { inner: Full::new(Bytes::from(half)), content_length, is_truncated: true }
    }
}

impl hyper::body::Body for FakeBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(None) if self.is_truncated => {
                Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())))
            }
            Poll::Ready(_) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        hyper::body::SizeHint::with_exact(self.content_length)
    }
}
