//! Starts and stops the roles of a process.

use crate::{backend::ProcessBackend, handler::RoleHandler, metrics_page::serve_metrics};
use anyhow::{Context, Result};
use caller::ListenerSettings;
use consensus::{CoreSettings, ReplicaId};
use entry::{EntryContext, EntryNode, EntrySettings};
use follow::LeaderClient;
use operator::serve_operators;
use peer::{PeerLink, PeerTarget, QuicNode, TlsMaterial};
use policy::{AdmissionSettings, BalancerSettings, LatencySelector};
use rand::random;
use replica::{FileStore, HistoryLimits, LEADER_WAIT, ReplicaSettings, start_replica};
use runtime::{
    EventTimeline, Logger, MetricsRegistry, ProcessRole, ProcessSettings, TimerService, root_logger,
};
use server::HttpTransport;
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::net::TcpListener;
use types::{EntryIncarnation, EntryInfo, EntryName};

/// Initial limit on concurrent requests at a cold server, until its service's declaration sets one.
const DEFAULT_COLD_CONCURRENCY: u16 = 1;
/// Maximum share of a service's servers that are ejected for bad health, in percent.
const MAX_EJECTED_PERCENT: usize = 50;

/// Error with which a process fails to start.
pub type ProcessError = anyhow::Error;

/// A running process.
pub struct DaemonProcess {
    logger: Logger,
    node: Arc<QuicNode>,
    roles: Arc<RoleHandler>,
}

/// State that the roles of a process share.
struct ProcessParts {
    settings: ProcessSettings,
    material: TlsMaterial,
    metrics: MetricsRegistry,
    timeline: EventTimeline,
    logger: Logger,
    timer: TimerService,
    node: Arc<QuicNode>,
    roles: Arc<RoleHandler>,
}

impl DaemonProcess {
    /// Starts all roles of a process, the operators' interface and the metrics page.
    pub async fn start(settings: ProcessSettings) -> Result<Self> {
        let parts = ProcessParts::open(settings)?;
        tokio::spawn(parts.node.clone().serve(parts.roles.clone()));
        if parts.settings.has_role(ProcessRole::Replica) {
            parts.start_replica()?;
        }
        if parts.settings.has_role(ProcessRole::Entry) {
            parts.start_entry().await?;
        }
        parts.start_pages().await?;
        info!(parts.logger, "started"; "roles" => format!("{:?}", parts.settings.roles));
        let ProcessParts { logger, node, roles, .. } = parts;
        Ok(Self { logger, node, roles })
    }

    /// Stops all roles. Requests in flight may finish within the stop grace period.
    pub async fn stop(self) {
        info!(self.logger, "stopping");
        if let Some(entry) = self.roles.entry.get()
            && !entry.stop().await
        {
            info!(self.logger, "stop grace period ended with requests still in flight");
        }
        if let Some(replica) = self.roles.replica.get() {
            replica.stop().await;
        }
        self.node.close().await;
        info!(self.logger, "stopped");
    }
}

impl ProcessParts {
    fn open(settings: ProcessSettings) -> Result<Self> {
        let material = TlsMaterial::load(&settings.key_folder).context("key_folder")?;
        let metrics = MetricsRegistry::default();
        let timeline = EventTimeline::new(settings.name.as_str());
        let logger = root_logger(settings.log_format, settings.name.as_str());
        let counters = metrics.decisions("links", "Links between processes");
        let node = QuicNode::bind(settings.peer_address, &material, timeline.clone(), counters)
            .context("peer_address")?;
        let timer = TimerService::start();
        let roles = Arc::new(RoleHandler::default());
        Ok(Self { settings, material, metrics, timeline, logger, timer, node, roles })
    }

    fn link(&self) -> Arc<dyn PeerLink> {
        Arc::new(self.node.clone())
    }

    fn replicas(&self) -> Vec<PeerTarget> {
        let replicas = self.settings.replicas.iter();
        replicas
            .map(|replica| PeerTarget { host: replica.host.clone(), address: replica.address })
            .collect()
    }

    fn start_replica(&self) -> Result<()> {
        let folder = self.settings.data_folder.as_ref().context("data_folder: missing")?;
        let (store, restored) = FileStore::open(&folder.join("replica"), ReplicaId(random()))?;
        let settings = ReplicaSettings {
            identity: store.identity(),
            host: self.settings.name.clone(),
            address: self.settings.peer_address,
            domain: self.settings.failure_domain.clone(),
            core: CoreSettings { seed: random(), ..CoreSettings::default() },
            history: HistoryLimits::default(),
            leader_wait: LEADER_WAIT,
            link: self.link(),
            timer: self.timer.clone(),
            timeline: self.timeline.clone(),
            counters: self.metrics.decisions("replica", "Decisions of the replica"),
            logger: self.logger.clone(),
        };
        let handle = start_replica(settings, Box::new(store), restored)?;
        // Each role starts once, so the cell is still empty.
        let _ = self.roles.replica.set(handle);
        Ok(())
    }

    async fn start_entry(&self) -> Result<()> {
        let name: EntryName = self.settings.name.as_str().parse()?;
        let info = EntryInfo {
            name,
            domain: self.settings.failure_domain.clone(),
            incarnation: EntryIncarnation(random()),
            caller_address: self.settings.caller_address,
            server_address: self.settings.server_address,
            peer_address: self.settings.peer_address,
            operator_address: self.settings.operator_address,
            serving: true,
            owns_shards: true,
        };
        let (timeline, logger) = (self.timeline.clone(), self.logger.clone());
        let context = EntryContext::new(info, &self.metrics, timeline, logger, self.timer.clone());
        let settings = EntrySettings {
            replicas: self.replicas(),
            link: self.link(),
            transport: Arc::new(HttpTransport::default()),
            admission: AdmissionSettings {
                max_in_flight: self.settings.max_in_flight,
                ..AdmissionSettings::default()
            },
            load: BalancerSettings {
                cold_concurrency: DEFAULT_COLD_CONCURRENCY,
                max_ejected_percent: MAX_EJECTED_PERCENT,
                selector: Arc::new(LatencySelector),
            },
            listener: ListenerSettings {
                max_body_bytes: self.settings.max_body_bytes,
                ..ListenerSettings::default()
            },
            directory_max_age: Duration::from_secs(self.settings.directory_max_age_s),
            stop_grace: Duration::from_secs(self.settings.stop_grace_s),
        };
        let entry = EntryNode::start(Arc::new(context), settings).await?;
        // Each role starts once, so the cell is still empty.
        let _ = self.roles.entry.set(entry);
        Ok(())
    }

    async fn start_pages(&self) -> Result<()> {
        let backend = ProcessBackend {
            process: self.settings.name.clone(),
            domain: self.settings.failure_domain.clone(),
            peer_address: self.settings.peer_address,
            roles: self.roles.clone(),
            node: self.node.clone(),
            leader: LeaderClient::new(self.link(), self.replicas()),
            timeline: self.timeline.clone(),
        };
        let counters = self.metrics.decisions("operators", "Requests of operators");
        let address = self.settings.operator_address;
        serve_operators(address, &self.material, Arc::new(backend), counters).await?;
        let listener = TcpListener::bind(self.settings.metrics_address)
            .await
            .with_context(|| format!("metrics_address: {}", self.settings.metrics_address))?;
        tokio::spawn(serve_metrics(listener, self.metrics.clone()));
        Ok(())
    }
}
