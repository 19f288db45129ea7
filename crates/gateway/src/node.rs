//! A running gateway entry: its view, its tasks, and its graceful shutdown.

use crate::{
    GatewayListener, WireDialect,
    body::BodyMemory,
    crash_reporter::CrashReporter,
    forwarder::{ForwardMetrics, RequestForwarder},
    listener::{RequestSource, StopStage},
    local_quarantine::LocalQuarantine,
    placer::ServerPlacer,
    reach_monitor::ReachMonitor,
    relay::RelayClient,
    routes::InstalledRoutes,
    servers::ServerTable,
};
use follow::{LeaderClient, RefresherContext, ViewRefresher, ViewStore};
use parking_lot::RwLock;
use policy::{BudgetLimits, FreshnessGate, StartupWait};
use runtime::{EventKind, EventTags, EventTimeline, Logger, MetricsRegistry, TimerService};
use slog::info;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use thiserror::Error;
use tokio::{net::TcpListener, sync::watch, time::sleep};
use types::{ClusterView, EntryInfo, RouteTable};

/// Period at which a stopping entry checks whether all callers' connections are closed.
const CONNECTION_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Settings of a gateway entry.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The entry as it registers with the replicas.
    pub info: EntryInfo,
    /// The port on which all entries accept requests of other entries, at the IP address of
    /// [`EntryInfo::peer_address`]. `None` turns relays off.
    pub relay_port: Option<u16>,
    /// The retry budget that all entries share.
    pub budget: BudgetLimits,
    /// How long requests wait for the first routes after a start.
    pub startup_wait: StartupWait,
    /// Maximum number of bytes of all bodies that the entry buffers.
    pub body_memory_bytes: u64,
    /// How long a stopping entry still accepts connections, for callers that have not learned of
    /// the stop yet.
    pub accept_grace: Duration,
    /// How long a stopping entry then waits until all callers' connections are closed.
    pub stop_grace: Duration,
}

/// Shared services of the process that a gateway entry uses.
pub struct GatewayDependencies {
    /// Defines the header fields of callers and servers.
    pub dialect: Arc<dyn WireDialect>,
    /// Finds the leader of the replicas.
    pub leader: Arc<LeaderClient>,
    /// Registry of the metrics.
    pub metrics: MetricsRegistry,
    /// Event timeline.
    pub timeline: EventTimeline,
    /// Logger.
    pub logger: Logger,
    /// Timer service.
    pub timer: TimerService,
}

/// A gateway entry could not start because binding an address failed.
#[derive(Debug, Error)]
#[error("failed to bind address {address}: {source}")]
pub struct GatewayError {
    address: SocketAddr,
    source: io::Error,
}

/// A running gateway entry.
pub struct GatewayNode {
    store: Arc<GatewayViewStore>,
    stop: watch::Sender<StopStage>,
    connections: Arc<AtomicUsize>,
    settings: GatewaySettings,
    timeline: EventTimeline,
    logger: Logger,
}

/// The view of an entry, with the routes and servers derived from it.
struct GatewayViewStore {
    info: RwLock<EntryInfo>,
    view: Arc<RwLock<Arc<ClusterView>>>,
    gate: FreshnessGate,
    forwarder: Arc<RequestForwarder>,
    table: Arc<ServerTable>,
    relay: Arc<RelayClient>,
}

impl ViewStore for GatewayViewStore {
    fn info(&self) -> EntryInfo {
        self.info.read().clone()
    }

    fn view(&self) -> Arc<ClusterView> {
        self.view.read().clone()
    }

    fn install(&self, view: Arc<ClusterView>) {
        self.table.install(&view);
        self.relay.install(&view);
        let current = self.forwarder.routes.borrow().as_ref().map(|routes| routes.document.version);
        if let Some(document) = view.routing()
            && Some(document.version) != current
        {
            let table = RouteTable::new(document);
            let routes = InstalledRoutes { document: document.clone(), table };
            self.forwarder.routes.send_replace(Some(Arc::new(routes)));
        }
        self.log_quarantine(&view);
        *self.view.write() = view;
    }

    fn confirm(&self, sent: Instant) {
        self.gate.confirm(sent);
        self.forwarder.confirmed.send_modify(|confirmed| *confirmed = (*confirmed).max(Some(sent)));
    }

    fn is_open(&self) -> bool {
        self.gate.is_open(Instant::now())
    }
}

impl GatewayViewStore {
    /// Logs the requests that enter the quarantine, change their stage there, or leave it.
    fn log_quarantine(&self, view: &ClusterView) {
        let previous = self.view.read().clone();
        let (old, new) = (previous.quarantine(), view.quarantine());
        let logger = &self.forwarder.logger;
        for (request, stage) in
            new.iter().filter(|(request, stage)| old.get(*request) != Some(*stage))
        {
            info!(logger, "quarantine"; "fingerprint" => %request, "stage" => ?stage);
        }
        for request in old.keys().filter(|request| !new.contains_key(*request)) {
            info!(logger, "quarantine"; "fingerprint" => %request, "stage" => "left");
        }
    }
}

impl GatewayNode {
    /// Binds the callers' address and starts the entry's tasks.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        settings: GatewaySettings,
        dependencies: GatewayDependencies,
    ) -> Result<Arc<Self>, GatewayError> {
        let GatewayDependencies { dialect, leader, metrics, timeline, logger, timer } =
            dependencies;
        let address = settings.info.caller_address;
        let socket = bind(address).await?;
        let relay_socket = match settings.relay_port {
            Some(port) => Some(bind(SocketAddr::new(settings.info.peer_address.ip(), port)).await?),
            None => None,
        };
        let view = Arc::new(RwLock::new(Arc::new(ClusterView::default())));
        let table = Arc::new(ServerTable::new(settings.info.name.clone(), logger.clone()));
        let placer = Arc::new(ServerPlacer {
            entry: settings.info.name.clone(),
            domain: settings.info.domain.clone(),
            table: table.clone(),
            dialect,
            memory: BodyMemory::new(settings.body_memory_bytes),
            probes: metrics.decisions("probes", "Ends of probes of servers"),
            monitor: ReachMonitor::new(logger.clone()),
        });
        let relay = Arc::new(RelayClient::new(
            settings.info.name.clone(),
            settings.info.domain.clone(),
            settings.relay_port,
            placer.memory.clone(),
            metrics.decisions("relays", "Requests relayed to other entries"),
        ));
        let reporter = CrashReporter {
            placer: placer.clone(),
            relay: relay.clone(),
            view: view.clone(),
            leader: leader.clone(),
            local: Arc::new(LocalQuarantine::new(Instant::now())),
            counters: metrics.decisions("crash_reports", "Reports of requests that crash servers"),
            logger: logger.clone(),
        };
        let forward_metrics = ForwardMetrics {
            requests: metrics.decisions("requests", "Ends of callers' requests"),
            attempts: metrics.decisions("attempts", "Ends of attempts at servers"),
            latency: metrics.latencies("request_seconds", "Time from arrival to answer"),
            placing: metrics.latencies("placing_seconds", "Time to find a server"),
        };
        let forwarder = RequestForwarder::new(
            placer,
            relay.clone(),
            reporter.start(),
            view.clone(),
            &settings,
            forward_metrics,
            logger.clone(),
        );
        let store = Arc::new(GatewayViewStore {
            info: RwLock::new(settings.info.clone()),
            view,
            gate: FreshnessGate::new(Instant::now()),
            forwarder: forwarder.clone(),
            table,
            relay,
        });
        let refresher_context = RefresherContext {
            counters: metrics.decisions("freshness", "Confirmations of the view"),
            timeline: timeline.clone(),
            logger: logger.clone(),
            timer,
        };
        tokio::spawn(ViewRefresher::new(store.clone(), leader, refresher_context).run());
        let (stop, stopping) = watch::channel(StopStage::Serving);
        let connections = Arc::new(AtomicUsize::new(0));
        let listener = GatewayListener {
            forwarder: forwarder.clone(),
            source: RequestSource::Callers,
            stop: stopping.clone(),
            counters: metrics.decisions("callers", "Callers' connections"),
            connections: connections.clone(),
        };
        tokio::spawn(listener.serve(socket));
        if let Some(socket) = relay_socket {
            let listener = GatewayListener {
                forwarder,
                source: RequestSource::Entries,
                stop: stopping,
                counters: metrics.decisions("entry_connections", "Connections of other entries"),
                connections: connections.clone(),
            };
            tokio::spawn(listener.serve(socket));
        }
        Ok(Arc::new(Self { store, stop, connections, settings, timeline, logger }))
    }

    /// Returns whether the entry is ready for callers: it has routes and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.store.forwarder.routes.borrow().is_some() && *self.stop.borrow() == StopStage::Serving
    }

    /// Returns the current view of this entry.
    pub fn view(&self) -> Arc<ClusterView> {
        self.store.view()
    }

    /// Stops gracefully: registers as no longer serving, closes each connection after the responses
    /// to the requests that run on it, and after [`GatewaySettings::accept_grace`] also closes idle
    /// connections. Returns whether all connections were closed within
    /// [`GatewaySettings::stop_grace`] after that.
    pub async fn stop(&self) -> bool {
        self.timeline.record(EventKind::StopBegun, EventTags::default(), String::new());
        self.store.info.write().serving = false;
        self.stop.send_replace(StopStage::FinishingRequests);
        sleep(self.settings.accept_grace).await;
        self.stop.send_replace(StopStage::Closing);
        let deadline = Instant::now() + self.settings.stop_grace;
        while self.connections.load(Ordering::Acquire) > 0 {
            if Instant::now() >= deadline {
                let open_count = self.connections.load(Ordering::Acquire);
                info!(self.logger, "connections still open at the end of the stop grace period";
                    "count" => open_count);
                return false;
            }
            sleep(CONNECTION_CHECK_PERIOD).await;
        }
        true
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|source| GatewayError { address, source })
}
