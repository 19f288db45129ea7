//! Entries and replicas as processes of the users' platform.

use crate::{handler::RoleHandler, metrics_page::serve_metrics};
use anyhow::{Context, Result};
use consensus::{CoreSettings, ReplicaId};
use control::{
    EntryDirectory, MembershipManager, MembershipSettings, ReplicaControl, VoterLimits,
    directory_entries, seed_identity,
};
use follow::LeaderClient;
use gateway::{GatewayDependencies, GatewayNode, GatewaySettings};
use peer::{PeerLink, PeerTarget, TcpNode};
use platform::{
    BootFile, BootSettings, PlatformDialect, serve_control, serve_directory, serve_ready,
};
use policy::StartupWait;
use rand::random;
use replica::{
    FileStore, HistoryLimits, LEADER_WAIT, ReplicaHandle, ReplicaSettings, start_replica,
};
use runtime::{EventTimeline, LogFormat, Logger, MetricsRegistry, TimerService, root_logger};
use slog::{error, info, warn};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{net::TcpListener, time::sleep};
use types::{DomainName, EntryIncarnation, EntryInfo};

/// Port of the metrics page; `deploy/system.toml` contains the same number.
const METRICS_PORT: u16 = 9464;
/// How long a stopping entry still accepts connections. In this time the stop reaches the replicas and
/// all entries, and most callers that read the directory before it connect to other entries.
const ACCEPT_GRACE: Duration = Duration::from_millis(2_300);
/// Time reserved between the end of the last request and the kill that follows a planned stop.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// An entry's memory divided by this is the limit for buffered bodies of requests and answers.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Period of reading the settings file again, since it may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);

/// Role of a process on the users' platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteRole {
    /// Forwards callers' requests.
    Entry,
    /// Keeps the replicated state, and serves operators, servers and the directory for callers.
    Replica,
}

/// A running process on the users' platform.
pub struct SiteProcess {
    parts: SiteParts,
    entry: Option<Arc<GatewayNode>>,
    replica: Option<ReplicaHandle>,
}

/// State that the process has in either role.
struct SiteParts {
    file: BootFile,
    settings: BootSettings,
    metrics: MetricsRegistry,
    timeline: EventTimeline,
    logger: Logger,
    timer: TimerService,
    node: Arc<TcpNode>,
    leader: Arc<LeaderClient>,
    roles: Arc<RoleHandler>,
}

impl SiteProcess {
    /// Starts a role with the settings file named in the environment. Fails if the file is invalid,
    /// an address cannot be bound, or the replica's files cannot be opened.
    pub async fn start(role: SiteRole) -> Result<Self> {
        let file = BootFile::from_environment()?;
        let settings = file.read()?;
        let parts = SiteParts::open(file, settings);
        let peers = listen(parts.settings.peer_address()).await?;
        tokio::spawn(parts.node.clone().serve(peers, parts.roles.clone()));
        let metrics = listen(SocketAddr::new(parts.settings.ip, METRICS_PORT)).await?;
        tokio::spawn(serve_metrics(metrics, parts.metrics.clone()));
        let (entry, replica) = match role {
            SiteRole::Entry => (Some(parts.start_entry().await?), None),
            SiteRole::Replica => (None, Some(parts.start_replica().await?)),
        };
        info!(parts.logger, "started"; "role" => format!("{role:?}"),
            "domain" => %parts.settings.domain, "address" => %parts.settings.peer_address(),
            "seeds" => format!("{:?}", parts.settings.seeds),
            "first_start" => parts.settings.is_first_start);
        Ok(Self { parts, entry, replica })
    }

    /// Reads the settings file again and applies its seeds, which may change at run time. If the file
    /// cannot be read or is invalid, the current settings stay.
    pub fn reload(&mut self, cause: &str) {
        let settings = match self.parts.file.read() {
            Ok(settings) => settings,
            Err(error) => {
                error!(self.parts.logger, "settings not reloaded"; "cause" => cause,
                    "error" => %error);
                return;
            }
        };
        if settings == self.parts.settings {
            return;
        }
        info!(self.parts.logger, "settings reloaded"; "cause" => cause,
            "seeds" => format!("{:?}", settings.seeds));
        self.parts.leader.set_seeds(peer_targets(&settings.seeds));
        self.parts.settings = settings;
    }

    /// Waits for the period after which the settings file is read again.
    pub async fn wait_for_reload(&self) {
        sleep(RELOAD_PERIOD).await;
    }

    /// Stops the process. Requests in flight may finish within the stop grace period.
    pub async fn stop(self) {
        info!(self.parts.logger, "stopping");
        if let Some(entry) = &self.entry
            && !entry.stop().await
        {
            warn!(self.parts.logger, "stop grace period ended with requests still in flight");
        }
        if let Some(replica) = &self.replica {
            replica.stop().await;
        }
        info!(self.parts.logger, "stopped");
    }
}

impl SiteParts {
    fn open(file: BootFile, settings: BootSettings) -> Self {
        let metrics = MetricsRegistry::default();
        let timeline = EventTimeline::new(settings.host.as_str());
        let logger = root_logger(LogFormat::Json, settings.host.as_str());
        let links = metrics.decisions("links", "Links between processes");
        let node = TcpNode::new(settings.host.clone(), timeline.clone(), links);
        let link: Arc<dyn PeerLink> = Arc::new(node.clone());
        let leader = Arc::new(LeaderClient::new(link, peer_targets(&settings.seeds)));
        warn!(logger, "links between processes use plain TCP: the platform provides no keys");
        let (timer, roles) = (TimerService::start(), Arc::default());
        Self { file, settings, metrics, timeline, logger, timer, node, leader, roles }
    }

    async fn start_entry(&self) -> Result<Arc<GatewayNode>> {
        let settings = &self.settings;
        if settings.relay_port.is_none() {
            warn!(self.logger, "relays are off: internalPorts names a single port");
        }
        let unused_address = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        let info = EntryInfo {
            name: settings.host.as_str().parse()?,
            domain: settings.domain.clone(),
            incarnation: EntryIncarnation(random()),
            caller_address: settings.caller_address()?,
            server_address: unused_address,
            peer_address: settings.peer_address(),
            operator_address: unused_address,
            serving: true,
            owns_shards: false,
        };
        let gateway = GatewaySettings {
            info,
            relay_port: settings.relay_port,
            budget: settings.budget,
            startup_wait: StartupWait::default(),
            body_memory_bytes: settings.memory_bytes / BODY_MEMORY_DIVISOR,
            accept_grace: ACCEPT_GRACE,
            stop_grace: settings.stop_grace.saturating_sub(ACCEPT_GRACE + STOP_MARGIN),
        };
        let dependencies = GatewayDependencies {
            dialect: Arc::new(PlatformDialect),
            leader: self.leader.clone(),
            metrics: self.metrics.clone(),
            timeline: self.timeline.clone(),
            logger: self.logger.clone(),
            timer: self.timer.clone(),
        };
        let node = GatewayNode::start(gateway, dependencies).await?;
        if let Some(address) = settings.listen.ready {
            let node = node.clone();
            let is_ready = Arc::new(move || node.is_ready());
            tokio::spawn(serve_ready(listen(address).await?, is_ready));
        }
        if let Some(address) = settings.listen.directory {
            let directory = Arc::new(ViewDirectory(node.clone()));
            tokio::spawn(serve_directory(listen(address).await?, directory));
        }
        Ok(node)
    }

    async fn start_replica(&self) -> Result<ReplicaHandle> {
        let settings = &self.settings;
        // A replica that lost its disk gets a new identity, so that no identity votes twice in a term.
        let identity = match settings.is_first_start {
            true => seed_identity(settings.peer_address()),
            false => ReplicaId(random()),
        };
        let (store, restored) = FileStore::open(&settings.replica_folder()?, identity)?;
        let replica_settings = ReplicaSettings {
            identity: store.identity(),
            host: settings.host.clone(),
            address: settings.peer_address(),
            domain: settings.domain.clone(),
            core: CoreSettings { seed: random(), ..CoreSettings::default() },
            history: HistoryLimits::for_memory(settings.memory_bytes),
            leader_wait: LEADER_WAIT,
            link: Arc::new(self.node.clone()),
            timer: self.timer.clone(),
            timeline: self.timeline.clone(),
            counters: self.metrics.decisions("replica", "Decisions of the replica"),
            logger: self.logger.clone(),
        };
        let replica = start_replica(replica_settings, Box::new(store), restored)?;
        // Each role starts once, so the cell is still empty.
        let _ = self.roles.replica.set(replica.clone());
        let membership = MembershipSettings {
            host: settings.host.clone(),
            address: settings.peer_address(),
            seeds: settings.seeds.clone(),
            domain: settings.domain.clone(),
            is_first_start: settings.is_first_start,
            limits: VoterLimits::for_losses(settings.tolerated_losses),
        };
        let manager = MembershipManager::new(
            membership,
            replica.clone(),
            self.leader.clone(),
            Arc::new(self.node.clone()),
            self.logger.clone(),
        );
        tokio::spawn(manager.run(self.timer.clone()));
        let control = ReplicaControl::start(
            replica.clone(),
            Arc::new(self.node.clone()),
            settings.domains.clone(),
            self.timer.clone(),
            self.metrics.decisions("control", "Decisions on orders and announcements"),
            self.logger.clone(),
        );
        // Each role starts once, so the cell is still empty.
        let _ = self.roles.control.set(control.clone());
        if let Some(address) = settings.listen.control {
            tokio::spawn(serve_control(listen(address).await?, control.clone()));
        }
        if let Some(address) = settings.listen.directory {
            tokio::spawn(serve_directory(listen(address).await?, control));
        }
        Ok(replica)
    }
}

/// Answers directory requests from an entry's view.
struct ViewDirectory(Arc<GatewayNode>);

impl EntryDirectory for ViewDirectory {
    fn entries_for(&self, caller_domain: Option<&DomainName>, limit: usize) -> Vec<SocketAddr> {
        directory_entries(&self.0.view(), caller_domain, limit)
    }
}

fn peer_targets(seeds: &[SocketAddr]) -> Vec<PeerTarget> {
    let host = |address: &SocketAddr| {
        let text = address.ip().to_string().replace(':', "-");
        text.parse().unwrap_or_else(|_| unreachable!("an IP address is a valid host name"))
    };
    seeds.iter().map(|address| PeerTarget { host: host(address), address: *address }).collect()
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}
