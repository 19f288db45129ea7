//! A gateway entry as a whole: its view, its tasks, and its planned stop.

use crate::{
    GatewayListener, WireDialect,
    body::BodyMemory,
    forwarder::{ForwardMetrics, RequestForwarder},
    listener::StopStage,
    placer::ServerPlacer,
    routes::InstalledRoutes,
    servers::ServerTable,
};
use follow::{FreshnessKeeper, KeeperTools, LeaderFinder, ViewHolder};
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

/// Period at which a stopping entry looks whether all connections have ended.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// How a gateway entry behaves.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// This entry, as it registers itself.
    pub info: EntryInfo,
    /// The budget of repeated sends of all entries together.
    pub budget: BudgetLimits,
    /// How long requests wait for first routes after a start.
    pub first_routes: StartupWait,
    /// Bytes of bodies that the entry holds at the same time.
    pub body_memory_bytes: u64,
    /// How long a stopping entry still takes connections, for callers that do not know yet.
    pub farewell: Duration,
    /// How long a stopping entry waits for requests in flight after that.
    pub stop_grace: Duration,
}

/// What a gateway entry uses of its process.
pub struct GatewayTools {
    /// Header fields of callers and servers.
    pub dialect: Arc<dyn WireDialect>,
    /// The way to the replicas.
    pub leader: Arc<LeaderFinder>,
    /// Metrics.
    pub metrics: MetricsRegistry,
    /// Time line.
    pub timeline: EventTimeline,
    /// Log.
    pub logger: Logger,
    /// Timer service.
    pub timer: TimerService,
}

/// Says why a gateway entry could not start.
#[derive(Debug, Error)]
#[error("caller address {address}: {source}")]
pub struct GatewayError {
    address: SocketAddr,
    source: io::Error,
}

/// A running gateway entry.
pub struct GatewayNode {
    holder: Arc<GatewayHolder>,
    stop: watch::Sender<StopStage>,
    connections: Arc<AtomicUsize>,
    settings: GatewaySettings,
    timeline: EventTimeline,
    logger: Logger,
}

struct GatewayHolder {
    info: RwLock<EntryInfo>,
    view: Arc<RwLock<Arc<ClusterView>>>,
    gate: FreshnessGate,
    forwarder: Arc<RequestForwarder>,
    table: Arc<ServerTable>,
}

impl ViewHolder for GatewayHolder {
    fn info(&self) -> EntryInfo {
        self.info.read().clone()
    }

    fn view(&self) -> Arc<ClusterView> {
        self.view.read().clone()
    }

    fn install(&self, view: Arc<ClusterView>) {
        self.table.install(&view);
        let held = self.forwarder.routes.borrow().as_ref().map(|routes| routes.document.version);
        if let Some(document) = view.routing()
            && Some(document.version) != held
        {
            let table = RouteTable::new(document);
            let routes = InstalledRoutes { document: document.clone(), table };
            self.forwarder.routes.send_replace(Some(Arc::new(routes)));
        }
        *self.view.write() = view;
    }

    fn confirm(&self, sent: Instant) {
        self.gate.confirm(sent);
    }

    fn is_open(&self) -> bool {
        self.gate.is_open(Instant::now())
    }
}

impl GatewayNode {
    /// Opens the callers' address and starts the entry's tasks.
    pub async fn start(
        settings: GatewaySettings,
        tools: GatewayTools,
    ) -> Result<Arc<Self>, GatewayError> {
        let GatewayTools { dialect, leader, metrics, timeline, logger, timer } = tools;
        let address = settings.info.caller_address;
        let socket =
            TcpListener::bind(address).await.map_err(|source| GatewayError { address, source })?;
        let view = Arc::new(RwLock::new(Arc::new(ClusterView::default())));
        let table = Arc::new(ServerTable::new(settings.info.name.clone()));
        let placer = ServerPlacer {
            entry: settings.info.name.clone(),
            domain: settings.info.domain.clone(),
            table: table.clone(),
            dialect,
            memory: BodyMemory::new(settings.body_memory_bytes),
        };
        let forward_metrics = ForwardMetrics {
            requests: metrics.decisions("requests", "Ends of callers' requests"),
            attempts: metrics.decisions("attempts", "Ends of attempts at servers"),
            latency: metrics.latencies("request_seconds", "Time from arrival to answer"),
            placing: metrics.latencies("placing_seconds", "Time to find a server"),
        };
        let forwarder = RequestForwarder::new(
            placer,
            view.clone(),
            settings.budget,
            settings.first_routes,
            forward_metrics,
            logger.clone(),
        );
        let holder = Arc::new(GatewayHolder {
            info: RwLock::new(settings.info.clone()),
            view,
            gate: FreshnessGate::new(Instant::now()),
            forwarder: forwarder.clone(),
            table,
        });
        let keeper_tools = KeeperTools {
            counters: metrics.decisions("freshness", "Confirmations of the view"),
            timeline: timeline.clone(),
            logger: logger.clone(),
            timer,
        };
        tokio::spawn(FreshnessKeeper::new(holder.clone(), leader, keeper_tools).run());
        let (stop, stopping) = watch::channel(StopStage::Serving);
        let connections = Arc::new(AtomicUsize::new(0));
        let listener = GatewayListener {
            forwarder,
            stop: stopping,
            counters: metrics.decisions("callers", "Callers' connections"),
            connections: connections.clone(),
        };
        tokio::spawn(listener.serve(socket));
        Ok(Arc::new(Self { holder, stop, connections, settings, timeline, logger }))
    }

    /// Says whether callers may be sent here: routes are known, and no stop has begun.
    pub fn is_ready(&self) -> bool {
        self.holder.forwarder.routes.borrow().is_some() && *self.stop.borrow() == StopStage::Serving
    }

    /// Returns the view of this entry.
    pub fn view(&self) -> Arc<ClusterView> {
        self.holder.view()
    }

    /// Stops without cutting off a request: leaves the directory, closes each connection behind
    /// its next answer, then the idle ones. Returns whether all requests in flight finished.
    pub async fn stop(&self) -> bool {
        self.timeline.record(EventKind::StopBegun, EventTags::default(), String::new());
        self.holder.info.write().serving = false;
        self.stop.send_replace(StopStage::LastAnswers);
        sleep(self.settings.farewell).await;
        self.stop.send_replace(StopStage::Closing);
        let deadline = Instant::now() + self.settings.stop_grace;
        while self.connections.load(Ordering::Acquire) > 0 {
            if Instant::now() >= deadline {
                let left = self.connections.load(Ordering::Acquire);
                info!(self.logger, "connections cut off"; "count" => left);
                return false;
            }
            sleep(DRAIN_CHECK_PERIOD).await;
        }
        true
    }
}
