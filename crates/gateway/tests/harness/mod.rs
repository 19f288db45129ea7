//! A gateway entry with scripted servers on loopback and simulated replicas.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

mod scripted_server;
mod server_link;

use async_trait::async_trait;
use bytes::Bytes;
use follow::LeaderClient;
use hawthornhill_gateway::{
    AnswerMetadata, ForwardMetadata, GatewayDependencies, GatewayError, GatewayNode,
    GatewaySettings, RequestMetadata, WireDialect,
};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use peer::{
    FreshnessAnswer, FreshnessGrant, PeerAnswer, PeerError, PeerLink, PeerRequest, PeerTarget,
    ViewTransfer,
};
use policy::{BudgetLimits, ServerLoad, StartupWait};
use runtime::{EventTimeline, LogFormat, MetricsRegistry, TimerService, root_logger};
#[allow(unused_imports, reason = "each test file uses a part of the harness")]
pub use scripted_server::{Script, ScriptedServer};
#[allow(unused_imports, reason = "each test file uses a part of the harness")]
pub use server_link::{LinkState, ServerLink};
use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};
use types::{
    Announcement, CallerLimits, ClusterState, Command, EntryIncarnation, EntryInfo, EntryName,
    LogTime, PoolSpec, RoutePart, RouteSpec, RoutingDocument, RoutingVersion, ServerIncarnation,
    ServerName, ServerState, ViewChange, ViewUpdate,
};

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

/// The port on which the entries accept requests of other entries, below the ports that the system
/// gives out.
pub const RELAY_PORT: u16 = 19_555;

/// Replicas that answer every freshness request from the state that the test sets.
pub struct SimulatedReplicas {
    pub state: Mutex<ClusterState>,
    /// Whether the replicas answer no freshness requests.
    pub is_silent: watch::Sender<bool>,
    /// Whether the replicas refuse reports about requests.
    pub refuses_reports: AtomicBool,
    /// The port on which the entries accept requests of other entries.
    pub relay_port: Option<u16>,
    /// Links that entries use in place of the servers' own addresses, by entry and server.
    pub links: Mutex<HashMap<(EntryName, ServerName), Arc<ServerLink>>>,
}

impl SimulatedReplicas {
    fn empty() -> Arc<Self> {
        let (state, links) = (Mutex::default(), Mutex::default());
        // The entries have addresses of their own, so the port is taken only once at each.
        let relay_port = Some(RELAY_PORT);
        let (is_silent, refuses_reports) = (watch::Sender::new(false), AtomicBool::new(false));
        Arc::new(Self { state, is_silent, refuses_reports, relay_port, links })
    }

    /// Changes the state of an entry's links to the servers for which `is_affected` holds.
    pub fn set_links(&self, entry: &str, state: LinkState, is_affected: impl Fn(&str) -> bool) {
        for ((name, server), link) in self.links.lock().iter() {
            if name.as_str() == entry && is_affected(server.as_str()) {
                link.set(state);
            }
        }
    }

    /// Replaces the addresses of servers in an update for an entry by those of its links.
    fn use_links(&self, entry: &EntryName, update: &mut ViewUpdate) {
        let links = self.links.lock();
        let linked = |server: &Arc<Announcement>| {
            let link = links.get(&(entry.clone(), server.server.clone()))?;
            Some(Arc::new(Announcement { address: link.address, ..(**server).clone() }))
        };
        match update {
            ViewUpdate::Changes(changes) => {
                for change in changes {
                    if let ViewChange::PutServer(server) = change
                        && let Some(linked) = linked(server)
                    {
                        *server = linked;
                    }
                }
            }
            ViewUpdate::Whole(view) => {
                let servers: Vec<_> = view.servers().filter_map(linked).collect();
                let version = view.version;
                servers.into_iter().for_each(|s| view.apply(&ViewChange::PutServer(s)));
                view.version = version;
            }
        }
    }

    pub fn apply(&self, command: &Command) {
        self.state.lock().apply(LogTime(1), command);
    }
}

#[async_trait]
impl PeerLink for SimulatedReplicas {
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let request = match request {
            PeerRequest::Freshness(request) => {
                let mut is_silent = self.is_silent.subscribe();
                let answered = is_silent.wait_for(|is_silent| !is_silent);
                if timeout(limit, answered).await.is_err() {
                    let timeout_ms = limit.as_millis() as u64;
                    return Err(PeerError::TimedOut { address: target.address, timeout_ms });
                }
                request
            }
            PeerRequest::ReportRequests(_) if self.refuses_reports.load(Ordering::SeqCst) => {
                return Ok(PeerAnswer::Refused("no leader answered".to_owned()));
            }
            PeerRequest::ReportRequests(report) => {
                self.apply(&Command::ReportRequests(report));
                return Ok(PeerAnswer::Done);
            }
            _ => return Ok(PeerAnswer::Done),
        };
        let mut update: ViewUpdate = self.state.lock().update_since(request.version);
        if let Some(entry) = &request.entry {
            self.use_links(&entry.name, &mut update);
        }
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
        Self::start_fleet_at(replicas, count, document, servers).await
    }

    /// Starts entries like [`Self::start_fleet`], with a link from each to each server that the
    /// test can cut.
    pub async fn start_linked_fleet(
        count: usize,
        document: RoutingDocument,
        servers: &[&Arc<ScriptedServer>],
    ) -> Vec<Self> {
        let replicas = SimulatedReplicas::empty();
        for number in 1..=count {
            for server in servers {
                let entry = format!("entry-{number}").parse().expect("name");
                let link = ServerLink::open((*server).clone()).await;
                let key = (entry, server.name.parse().expect("name"));
                replicas.links.lock().insert(key, link);
            }
        }
        Self::start_fleet_at(replicas, count, document, servers).await
    }

    async fn start_fleet_at(
        replicas: Arc<SimulatedReplicas>,
        count: usize,
        document: RoutingDocument,
        servers: &[&Arc<ScriptedServer>],
    ) -> Vec<Self> {
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
            let listener = TcpListener::bind((next_ip(), 0)).await.expect("a free port");
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
            relay_port: replicas.relay_port,
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

/// Returns a loopback address that no other entry of this process has.
pub fn next_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = number.to_be_bytes();
    // Test programs that run at the same time differ in the second byte.
    IpAddr::V4(Ipv4Addr::new(127, 1 + (std::process::id() % 250) as u8, high, 1 + low))
}

/// A response as a caller receives it.
#[derive(Debug)]
pub struct TestAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}
