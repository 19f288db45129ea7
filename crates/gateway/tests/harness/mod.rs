//! A gateway entry with scripted servers on loopback and simulated replicas.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use async_trait::async_trait;
use bytes::Bytes;
use follow::LeaderClient;
use hawthornhill_gateway::{
    AnswerMetadata, ForwardMetadata, GatewayDependencies, GatewayError, GatewayNode,
    GatewaySettings, RequestMetadata, WireDialect,
};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use peer::{
    FreshnessAnswer, FreshnessGrant, PeerAnswer, PeerError, PeerLink, PeerRequest, PeerTarget,
    ViewTransfer,
};
use policy::{BudgetLimits, ServerLoad, StartupWait};
use runtime::{EventTimeline, LogFormat, MetricsRegistry, TimerService, root_logger};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};
use types::{
    Announcement, CallerLimits, ClusterState, Command, EntryIncarnation, EntryInfo, LogTime,
    PoolSpec, RoutePart, RouteSpec, RoutingDocument, RoutingVersion, ServerIncarnation,
    ServerState, ViewUpdate,
};

/// What a scripted server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Answers with this status after this delay in milliseconds.
    Answer(u16, u64),
    /// States that it did not run the request.
    NotRun,
    /// Runs the request and closes the connection without an answer.
    BreakOff,
    /// Answers with the id of another request.
    WrongId,
    /// Answers without the server's signature.
    Unsigned,
    /// Answers with a body that is shorter than its `Content-Length`.
    Truncated,
}

/// A server that follows its script and counts probes and runs.
pub struct ScriptedServer {
    pub name: String,
    pub address: SocketAddr,
    pub script: Mutex<Script>,
    pub load: Mutex<ServerLoad>,
    pub cold_ms: AtomicUsize,
    pub is_healthy: Mutex<bool>,
    pub runs: AtomicUsize,
    pub probes: AtomicUsize,
    /// Requests and probes that the server refused with a hold.
    pub sheds: AtomicUsize,
    /// Runs that were not cancelled.
    pub finished: AtomicUsize,
    pub run_times: Mutex<Vec<Instant>>,
    pub last_body: Mutex<Vec<u8>>,
    pub domain: String,
    /// Whether all answers state that the server is leaving.
    pub is_leaving: AtomicBool,
    /// If not empty, the server refuses all requests and probes with this hold, in seconds.
    pub sheds_for: Mutex<String>,
    /// Requests per 1000 s that the server accepts from all entries, if it limits them.
    pub limit_milli: Mutex<Option<u32>>,
    /// Whether only answers to requests state the limit, and none to probes.
    pub hides_limit_from_probes: AtomicBool,
    /// Requests whose target contains this text make the server end. Empty if none does.
    pub crashed_by: Mutex<String>,
    /// When such requests began to run.
    pub fatal_run_times: Mutex<Vec<Instant>>,
    /// Number of times that the server has ended under a request. All its connections break off then.
    pub crashes: watch::Sender<u64>,
    /// Whether the server has ended and does not listen.
    is_down: Mutex<bool>,
}

/// Time for which a server is down after it has ended under a request.
const DOWN_TIME: Duration = Duration::from_millis(800);

impl ScriptedServer {
    pub async fn start(name: &str, domain: &str, script: Script) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("bound"),
            script: Mutex::new(script),
            load: Mutex::new(ServerLoad::idle(3)),
            cold_ms: AtomicUsize::new(0),
            is_healthy: Mutex::new(true),
            runs: AtomicUsize::new(0),
            probes: AtomicUsize::new(0),
            sheds: AtomicUsize::new(0),
            finished: AtomicUsize::new(0),
            run_times: Mutex::default(),
            last_body: Mutex::default(),
            domain: domain.to_owned(),
            is_leaving: AtomicBool::new(false),
            sheds_for: Mutex::default(),
            limit_milli: Mutex::default(),
            hides_limit_from_probes: AtomicBool::new(false),
            crashed_by: Mutex::default(),
            fatal_run_times: Mutex::default(),
            crashes: watch::Sender::new(0),
            is_down: Mutex::default(),
        });
        let acceptor = server.clone();
        tokio::spawn(async move {
            let mut listener = listener;
            loop {
                acceptor.serve(listener).await;
                listener = acceptor.listen_again().await;
            }
        });
        server
    }

    /// Accepts connections until the server ends under a request.
    async fn serve(self: &Arc<Self>, listener: TcpListener) {
        let mut crashes = self.crashes.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = crashes.changed() => return,
            };
            let Ok((stream, _)) = accepted else {
                return;
            };
            let (server, mut crashes) = (self.clone(), self.crashes.subscribe());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let server = server.clone();
                    async move { server.answer(request).await }
                });
                let http = hyper::server::conn::http1::Builder::new();
                tokio::select! {
                    _ = http.serve_connection(TokioIo::new(stream), service) => {}
                    _ = crashes.changed() => {}
                }
            });
        }
    }

    /// Listens on the same address again once the server's down time is over.
    async fn listen_again(&self) -> TcpListener {
        sleep(DOWN_TIME).await;
        loop {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                *self.is_down.lock() = false;
                return listener;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns whether the server is down after it has ended.
    pub fn is_down(&self) -> bool {
        *self.is_down.lock()
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let load = *self.load.lock();
        let load_text =
            format!("{},{},{},{}", load.running, load.waiting, load.slots, load.slowness_percent);
        let mut builder = Response::builder().header("x-load", load_text);
        if self.is_leaving.load(Ordering::SeqCst) {
            builder = builder.header("x-leaving", "1");
        }
        let is_probe = request.uri().path() == "/health";
        let hides_limit = is_probe && self.hides_limit_from_probes.load(Ordering::SeqCst);
        let limit_milli = *self.limit_milli.lock();
        if let Some(limit_milli) = limit_milli.filter(|_| !hides_limit) {
            builder = builder.header("x-limit-milli", limit_milli.to_string());
        }
        let sheds_for = self.sheds_for.lock().clone();
        if !sheds_for.is_empty() {
            self.sheds.fetch_add(1, Ordering::SeqCst);
            builder = builder.status(503).header("x-not-run", "1").header("x-hold", sheds_for);
            return Ok(builder.header("x-name", &self.name).body(Full::default()).expect("valid"));
        }
        if is_probe {
            self.probes.fetch_add(1, Ordering::SeqCst);
            let cold = self.cold_ms.load(Ordering::SeqCst);
            builder = builder.header("x-name", &self.name).header("x-cold", cold.to_string());
            let status = if *self.is_healthy.lock() { 200 } else { 503 };
            return Ok(builder.status(status).body(Full::default()).expect("valid"));
        }
        let crashed_by = self.crashed_by.lock().clone();
        if !crashed_by.is_empty() && request.uri().to_string().contains(&crashed_by) {
            self.fatal_run_times.lock().push(Instant::now());
            sleep(Duration::from_millis(30)).await;
            *self.is_down.lock() = true;
            self.crashes.send_modify(|count| *count += 1);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let id = request.headers().get("x-id").cloned();
        let expected = request.headers().get("x-server").cloned();
        assert_eq!(expected.as_ref().and_then(|e| e.to_str().ok()), Some(self.name.as_str()));
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?;
        *self.last_body.lock() = body.to_bytes().to_vec();
        let script = *self.script.lock();
        if script == Script::NotRun {
            return Ok(builder
                .status(503)
                .header("x-not-run", "1")
                .body(Full::default())
                .expect("valid"));
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        self.run_times.lock().push(Instant::now());
        let (status, delay) = match script {
            Script::Answer(status, delay) => (status, delay),
            Script::BreakOff => return Err(std::io::ErrorKind::ConnectionReset.into()),
            _ => (200, 0),
        };
        sleep(Duration::from_millis(delay)).await;
        self.finished.fetch_add(1, Ordering::SeqCst);
        let id = match script {
            Script::WrongId => Some(HeaderValue::from_static("another")),
            _ => id,
        };
        if let Some(id) = id {
            builder = builder.header("x-id", id);
        }
        if script != Script::Unsigned {
            builder = builder.header("x-signed", "yes");
        }
        if script == Script::Truncated {
            builder = builder.header("content-length", "100");
        }
        let body = Full::new(Bytes::from(self.name.clone()));
        Ok(builder.status(status).body(body).expect("valid"))
    }
}

/// The header fields that the tests use.
pub struct TestDialect;

impl WireDialect for TestDialect {
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata {
        let millis = headers.get("x-ms").and_then(|value| value.to_str().ok()?.parse().ok());
        RequestMetadata {
            id: headers.get("x-id").cloned(),
            time_allowed: millis.map(Duration::from_millis),
        }
    }

    fn write_forward_metadata(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>) {
        headers.insert("x-ms", HeaderValue::from(metadata.time_allowed.as_millis() as u64));
        let server = HeaderValue::from_str(metadata.server.as_str()).expect("a name");
        headers.insert("x-server", server);
    }

    fn answer_metadata(&self, headers: &HeaderMap) -> AnswerMetadata {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let load = text("x-load").map(|text| {
            let fields: Vec<u32> = text.split(',').filter_map(|f| f.parse().ok()).collect();
            let [running, waiting, slots, slowness_percent] = fields[..] else {
                panic!("x-load must have four fields: {text}")
            };
            ServerLoad { running, waiting, slots, slowness_percent }
        });
        AnswerMetadata {
            request_id: headers.get("x-id").cloned(),
            is_signed: headers.contains_key("x-signed"),
            is_not_run: headers.contains_key("x-not-run"),
            server: text("x-name").map(str::to_owned),
            load,
            warm_up_left: text("x-cold").and_then(|t| t.parse().ok()).map(Duration::from_millis),
            is_leaving: text("x-leaving").is_some(),
            retry_after: text("x-hold").and_then(|t| t.parse().ok()).map(Duration::from_secs_f64),
            limit_milli: text("x-limit-milli").and_then(|t| t.parse().ok()),
        }
    }

    fn remove_signature(&self, headers: &mut HeaderMap) {
        headers.remove("x-signed");
    }

    fn write_retry_after(&self, headers: &mut HeaderMap, wait: Duration) {
        let value = format!("{:.3}", wait.as_secs_f64());
        headers.insert("retry-after", HeaderValue::from_str(&value).expect("a number"));
    }
}

/// Replicas that answer every freshness request from the state that the test sets.
pub struct SimulatedReplicas {
    pub state: Mutex<ClusterState>,
    /// Whether the replicas refuse reports about requests.
    pub refuses_reports: AtomicBool,
}

impl SimulatedReplicas {
    fn empty() -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), refuses_reports: AtomicBool::new(false) })
    }

    pub fn apply(&self, command: &Command) {
        self.state.lock().apply(LogTime(1), command);
    }
}

#[async_trait]
impl PeerLink for SimulatedReplicas {
    async fn call(
        &self,
        _target: &PeerTarget,
        request: PeerRequest,
        _timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let request = match request {
            PeerRequest::Freshness(request) => request,
            PeerRequest::ReportRequests(_) if self.refuses_reports.load(Ordering::SeqCst) => {
                return Ok(PeerAnswer::Refused("no leader answered".to_owned()));
            }
            PeerRequest::ReportRequests(report) => {
                self.apply(&Command::ReportRequests(report));
                return Ok(PeerAnswer::Done);
            }
            _ => return Ok(PeerAnswer::Done),
        };
        let update: ViewUpdate = self.state.lock().update_since(request.version);
        let domain = "a".parse().expect("name");
        let grant =
            FreshnessGrant { update: ViewTransfer::Plain(update), replicas: Vec::new(), domain };
        Ok(PeerAnswer::Freshness(Box::new(FreshnessAnswer::Granted(grant))))
    }

    fn send(&self, _target: &PeerTarget, _request: PeerRequest) {}
}

/// A running entry and its replicas.
pub struct TestGateway {
    pub node: Arc<GatewayNode>,
    pub replicas: Arc<SimulatedReplicas>,
    pub address: SocketAddr,
}

/// Routes of the tests: `/read/` is idempotent, `/order/` is not. Both have the given
/// `max_attempts`.
pub fn routing(version: u64, max_attempts: u8) -> RoutingDocument {
    let route = |name: &str, is_idempotent: bool| {
        Arc::new(RouteSpec {
            name: name.into(),
            host: "shop.example".into(),
            prefix: format!("/{name}/").into(),
            is_idempotent,
            timeout_ms: 2_000,
            target_ms: 250,
            priority: 1,
            max_attempts,
            parts: [RoutePart { service: "desk".parse().expect("name"), weight: 1 }]
                .into_iter()
                .collect(),
        })
    };
    RoutingDocument {
        version: RoutingVersion(version),
        routes: vec![route("read", true), route("order", false)],
        pools: vec![PoolSpec {
            service: "desk".parse().expect("name"),
            health_path: "/health".into(),
            max_connections: 100,
            warm_up_ms: 3_000,
            warm_up_rate_milli: 5_000,
        }],
        limits: CallerLimits::default(),
    }
}

pub fn announcement(server: &ScriptedServer, state: ServerState, sequence: u64) -> Announcement {
    Announcement {
        server: server.name.parse().expect("name"),
        service: "desk".parse().expect("name"),
        address: server.address,
        domain: server.domain.parse().expect("name"),
        slots: 3,
        incarnation: ServerIncarnation(1),
        sequence,
        state,
    }
}

impl TestGateway {
    /// Starts an entry in the failure domain `a` and waits until it is ready.
    pub async fn start(document: RoutingDocument, servers: &[&Arc<ScriptedServer>]) -> Self {
        let gateway = Self::start_empty(StartupWait::default()).await;
        gateway.publish(document, servers);
        while !gateway.node.is_ready() {
            sleep(Duration::from_millis(5)).await;
        }
        gateway
    }

    /// Starts several entries of the failure domain `a` that share one set of replicas, and waits
    /// until they are ready.
    pub async fn start_fleet(
        count: usize,
        document: RoutingDocument,
        servers: &[&Arc<ScriptedServer>],
    ) -> Vec<Self> {
        let replicas = SimulatedReplicas::empty();
        let mut fleet = Vec::new();
        for number in 1..=count {
            let name = format!("entry-{number}");
            fleet.push(Self::start_entry(&name, &replicas, StartupWait::default()).await);
        }
        fleet[0].publish(document, servers);
        while !fleet.iter().all(|gateway| gateway.node.is_ready()) {
            sleep(Duration::from_millis(5)).await;
        }
        fleet
    }

    /// Applies routes and servers to the state of the replicas.
    pub fn publish(&self, document: RoutingDocument, servers: &[&Arc<ScriptedServer>]) {
        let mut state = self.replicas.state.lock();
        for server in servers {
            let announcement = announcement(server, ServerState::Ready, 1);
            state.apply(LogTime(1), &Command::Announce(Arc::new(announcement)));
        }
        state.apply(LogTime(1), &Command::PutRouting(Arc::new(document), "".into()));
    }

    /// Starts an entry whose replicas have no routes and no servers.
    pub async fn start_empty(startup_wait: StartupWait) -> Self {
        Self::start_entry("entry-1", &SimulatedReplicas::empty(), startup_wait).await
    }

    async fn start_entry(
        name: &str,
        replicas: &Arc<SimulatedReplicas>,
        startup_wait: StartupWait,
    ) -> Self {
        loop {
            // Another socket may take the port between the two calls.
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("bound");
            drop(listener);
            let started = Self::try_start_entry(name, replicas, address, startup_wait).await;
            if let Ok(gateway) = started {
                return gateway;
            }
        }
    }

    async fn try_start_entry(
        name: &str,
        replicas: &Arc<SimulatedReplicas>,
        address: SocketAddr,
        startup_wait: StartupWait,
    ) -> Result<Self, GatewayError> {
        let info = EntryInfo {
            name: name.parse().expect("name"),
            domain: "a".parse().expect("name"),
            incarnation: EntryIncarnation(1),
            caller_address: address,
            server_address: address,
            peer_address: address,
            operator_address: address,
            serving: true,
            owns_shards: false,
        };
        replicas.apply(&Command::PutEntry(info.clone()));
        let target = PeerTarget { host: "core-1".parse().expect("name"), address };
        let settings = GatewaySettings {
            info,
            budget: BudgetLimits { slack: 100, ..BudgetLimits::default() },
            startup_wait,
            body_memory_bytes: 64 * 1024 * 1024,
            accept_grace: Duration::from_millis(200),
            stop_grace: Duration::from_secs(5),
        };
        let dependencies = GatewayDependencies {
            dialect: Arc::new(TestDialect),
            leader: Arc::new(LeaderClient::new(replicas.clone(), vec![target])),
            metrics: MetricsRegistry::default(),
            timeline: EventTimeline::new(name),
            logger: root_logger(LogFormat::Json, name),
            timer: TimerService::start(),
        };
        let node = GatewayNode::start(settings, dependencies).await?;
        Ok(Self { node, replicas: replicas.clone(), address })
    }

    /// Sends a request on a new connection.
    pub async fn send(&self, method: &str, path: &str, id: &str) -> TestAnswer {
        self.send_allowing(Duration::from_millis(1_500), method, path, id).await
    }

    /// Sends a request on a new connection, with the time that its caller waits.
    pub async fn send_allowing(
        &self,
        allowed: Duration,
        method: &str,
        path: &str,
        id: &str,
    ) -> TestAnswer {
        let stream = TcpStream::connect(self.address).await.expect("the entry listens");
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.expect("a connection");
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "shop.example")
            .header("x-id", id)
            .header("x-ms", allowed.as_millis().to_string())
            .body(Full::new(Bytes::new()))
            .expect("a valid request");
        let response = sender.send_request(request).await.expect("an answer");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("a whole body").to_bytes();
        let body = String::from_utf8(body.to_vec()).expect("text");
        TestAnswer { status: parts.status, headers: parts.headers, body }
    }
}

/// A response as a caller receives it.
#[derive(Debug)]
pub struct TestAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}
