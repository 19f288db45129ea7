//! The processes that serve the users' platform: entries and replicas.

use crate::{handler::RoleHandler, metrics_page::serve_metrics};
use anyhow::{Context, Result};
use consensus::{CoreSettings, ReplicaId};
use control::{
    EntryDirectory, MembershipManager, MembershipSettings, ReplicaControl, directory_entries,
    seed_identity,
};
use follow::LeaderClient;
use gateway::{GatewayDependencies, GatewayNode, GatewaySettings};
use peer::{PeerLink, PeerTarget, TcpNode};
use platform::{
    BootFile, BootSettings, PlatformDialect, serve_control, serve_directory, serve_ready,
};
use policy::StartupWait;
use rand::random;
use replica::{FileStore, LEADER_WAIT, ReplicaHandle, ReplicaSettings, start_replica};
use runtime::{EventTimeline, LogFormat, Logger, MetricsRegistry, TimerService, root_logger};
use slog::{error, info, warn};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{net::TcpListener, time::sleep};
use types::{DomainName, EntryIncarnation, EntryInfo};

/// Port of the metrics page; `deploy/system.toml` names it too.
const METRICS_PORT: u16 = 9464;
/// How long a stopping entry still takes connections: until the replicas and all entries have heard
/// of the stop, and callers that asked before it have mostly begun new connections elsewhere.
const FAREWELL: Duration = Duration::from_millis(2_300);
/// Time kept between the end of the last request and the kill that follows a planned stop.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Share of an entry's memory for bodies of requests and answers.
const BODY_MEMORY_SHARE: u64 = 4;
/// Period at which the settings file is read again, since it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// What an entry or a replica of the platform does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteRole {
    /// Forwards callers' requests.
    Entry,
    /// Keeps the replicated state, and serves operators, servers and the directory.
    Replica,
}

/// A running process on the platform.
pub struct SiteProcess {
    parts: SiteParts,
    entry: Option<Arc<GatewayNode>>,
    replica: Option<ReplicaHandle>,
}

/// What both roles use.
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
    /// Starts a role with the settings that the platform names.
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

    /// Reads the settings file again and takes over what may change while the process runs.
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

    /// Waits until the settings file should be read again.
    pub async fn settings_are_due(&self) {
        sleep(SETTINGS_PERIOD).await;
    }

    /// Stops without cutting off a request.
    pub async fn stop(self) {
        info!(self.parts.logger, "stopping");
        if let Some(entry) = &self.entry
            && !entry.stop().await
        {
            warn!(self.parts.logger, "requests were still in flight when the grace ran out");
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
        warn!(logger, "links between processes are plain TCP: no keys are set up here");
        let (timer, roles) = (TimerService::start(), Arc::default());
        Self { file, settings, metrics, timeline, logger, timer, node, leader, roles }
    }

    async fn start_entry(&self) -> Result<Arc<GatewayNode>> {
        let settings = &self.settings;
        let none = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        let info = EntryInfo {
            name: settings.host.as_str().parse()?,
            domain: settings.domain.clone(),
            incarnation: EntryIncarnation(random()),
            caller_address: settings.caller_address()?,
            server_address: none,
            peer_address: settings.peer_address(),
            operator_address: none,
            serving: true,
            owns_shards: false,
        };
        let gateway = GatewaySettings {
            info,
            budget: settings.budget,
            first_routes: StartupWait::default(),
            body_memory_bytes: settings.memory_bytes / BODY_MEMORY_SHARE,
            accept_grace: FAREWELL,
            stop_grace: settings.stop_grace.saturating_sub(FAREWELL + STOP_MARGIN),
        };
        let tools = GatewayDependencies {
            dialect: Arc::new(PlatformDialect),
            leader: self.leader.clone(),
            metrics: self.metrics.clone(),
            timeline: self.timeline.clone(),
            logger: self.logger.clone(),
            timer: self.timer.clone(),
        };
        let node = GatewayNode::start(gateway, tools).await?;
        if let Some(address) = settings.listen.ready {
            let node = node.clone();
            let is_ready = Arc::new(move || node.is_ready());
            tokio::spawn(serve_ready(listen(address).await?, is_ready));
        }
        if let Some(address) = settings.listen.directory {
            let directory = Arc::new(EntryListing(node.clone()));
            tokio::spawn(serve_directory(listen(address).await?, directory));
        }
        Ok(node)
    }

    async fn start_replica(&self) -> Result<ReplicaHandle> {
        let settings = &self.settings;
        // A replica whose disk was lost is a new one, so that it never votes twice in a term.
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
            leader_wait: LEADER_WAIT,
            link: Arc::new(self.node.clone()),
            timer: self.timer.clone(),
            timeline: self.timeline.clone(),
            counters: self.metrics.decisions("replica", "Decisions of the replica"),
            logger: self.logger.clone(),
        };
        let replica = start_replica(replica_settings, Box::new(store), restored)?;
        // The cell is empty: each role is started once.
        let _ = self.roles.replica.set(replica.clone());
        let group = MembershipSettings {
            host: settings.host.clone(),
            address: settings.peer_address(),
            seeds: settings.seeds.clone(),
            is_first_start: settings.is_first_start,
            min_voters: 2 * settings.tolerated_losses + 1,
        };
        let keeper = MembershipManager::new(
            group,
            replica.clone(),
            self.leader.clone(),
            self.logger.clone(),
        );
        tokio::spawn(keeper.run(self.timer.clone()));
        let plane = ReplicaControl::start(
            replica.clone(),
            self.leader.clone(),
            Arc::new(self.node.clone()),
            settings.domains.clone(),
            self.timer.clone(),
            self.metrics.decisions("control", "Decisions on orders and announcements"),
            self.logger.clone(),
        );
        if let Some(address) = settings.listen.control {
            tokio::spawn(serve_control(listen(address).await?, plane.clone()));
        }
        if let Some(address) = settings.listen.directory {
            tokio::spawn(serve_directory(listen(address).await?, plane));
        }
        Ok(replica)
    }
}

/// The directory of an entry, from the view that it holds.
struct EntryListing(Arc<GatewayNode>);

impl EntryDirectory for EntryListing {
    fn entries_for(&self, caller_domain: Option<&DomainName>, limit: usize) -> Vec<SocketAddr> {
        directory_entries(&self.0.view(), caller_domain, limit)
    }
}

fn peer_targets(seeds: &[SocketAddr]) -> Vec<PeerTarget> {
    let host = |address: &SocketAddr| {
        let text = address.ip().to_string().replace(':', "-");
        text.parse().unwrap_or_else(|_| unreachable!("an IP number is a valid host name"))
    };
    seeds.iter().map(|address| PeerTarget { host: host(address), address: *address }).collect()
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}
