//! Starts and stops the tasks of an entry, and handles the requests of its peers.

use crate::{
    CallDispatcher, EntryContext, ReplicatedLedger, catalog::ServerCatalog, prober::ServerProber,
    view_store::EntryViewStore,
};
use caller::{CallerListener, ListenError, ListenerSettings};
use follow::{LeaderClient, RefresherContext, ViewRefresher};
use peer::{PeerAnswer, PeerLink, PeerRequest, PeerTarget};
use policy::{AdmissionGate, AdmissionSettings, BalancerSettings, ServerStatus};
use runtime::{EventKind, EventTags};
use server::{ServerTransport, serve_announcements};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use thiserror::Error;
use tokio::{net::TcpListener, sync::Notify, time::sleep};
use types::{ClusterView, HostName};

/// The settings and connections of an entry, besides its context.
pub struct EntrySettings {
    /// Replicas that are known at the start.
    pub replicas: Vec<PeerTarget>,
    /// Links to other processes.
    pub link: Arc<dyn PeerLink>,
    /// Connections to servers.
    pub transport: Arc<dyn ServerTransport>,
    /// Limits for the admission of requests.
    pub admission: AdmissionSettings,
    /// Settings for the selection of servers.
    pub load: BalancerSettings,
    /// Limits for the connections and requests of callers.
    pub listener: ListenerSettings,
    /// Time for which callers may cache an answer of the directory.
    pub directory_max_age: Duration,
    /// Maximum time to wait for requests in flight at a planned stop.
    pub stop_grace: Duration,
}

/// The reason why an entry could not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The entry cannot listen on the callers' address.
    #[error("caller_address: {0}")]
    CallerAddress(#[from] ListenError),
    /// The entry cannot listen on the servers' address.
    #[error("server_address: cannot listen on {address}: {source}")]
    ServerAddress {
        /// The servers' address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A running entry.
pub struct EntryNode {
    context: Arc<EntryContext>,
    catalog: Arc<ServerCatalog>,
    dispatcher: Arc<CallDispatcher>,
    stop: Arc<Notify>,
    listener_task: tokio::sync::Mutex<Option<tokio::task::JoinHandle<bool>>>,
    directory_max_age: Duration,
}

impl EntryNode {
    /// Listens on the entry's addresses and starts its tasks. Fails if an address is not available.
    pub async fn start(
        context: Arc<EntryContext>,
        settings: EntrySettings,
    ) -> Result<Arc<Self>, EntryError> {
        let link = settings.link;
        let leader = Arc::new(LeaderClient::new(link.clone(), settings.replicas));
        let catalog = ServerCatalog::new(context.clone(), link.clone(), settings.load);
        let ledger = Arc::new(ReplicatedLedger::new(leader.clone()));
        let prober =
            ServerProber::new(context.clone(), catalog.clone(), settings.transport.clone());
        let dispatcher = CallDispatcher::new(
            context.clone(),
            catalog.clone(),
            settings.transport,
            link,
            ledger,
            AdmissionGate::new(settings.admission),
            settings.directory_max_age,
        );
        let (caller_address, server_address) = {
            let info = context.info.read();
            (info.caller_address, info.server_address)
        };
        let listener = CallerListener::bind(
            caller_address,
            dispatcher.clone(),
            settings.listener,
            context.counters.calls.clone(),
        )
        .await?;
        let announcements = TcpListener::bind(server_address)
            .await
            .map_err(|source| EntryError::ServerAddress { address: server_address, source })?;
        let counters = context.counters.servers.clone();
        tokio::spawn(serve_announcements(announcements, catalog.clone(), counters));
        tokio::spawn(catalog.clone().run());
        tokio::spawn(prober.run());
        let refresher_context = RefresherContext {
            counters: context.counters.freshness.clone(),
            timeline: context.timeline.clone(),
            logger: context.logger.clone(),
            timer: context.timer.clone(),
        };
        let store = Arc::new(EntryViewStore::new(context.clone(), catalog.clone()));
        tokio::spawn(ViewRefresher::new(store, leader, refresher_context).run());
        let stop = Arc::new(Notify::new());
        let listener_task = tokio::spawn(listener.serve(stop.clone(), settings.stop_grace));
        let listener_task = tokio::sync::Mutex::new(Some(listener_task));
        let directory_max_age = settings.directory_max_age;
        Ok(Arc::new(Self { context, catalog, dispatcher, stop, listener_task, directory_max_age }))
    }

    /// Returns the view of this entry.
    pub fn view(&self) -> Arc<ClusterView> {
        self.context.view()
    }

    /// Returns all servers that this entry knows.
    pub fn servers(&self) -> Vec<ServerStatus> {
        self.catalog.server_views()
    }

    /// Returns whether the entry accepts new work.
    pub fn is_open(&self) -> bool {
        self.context.is_open()
    }

    /// Handles a peer's request to an entry. Returns `None` for requests that entries do not
    /// handle.
    pub async fn handle(&self, host: &HostName, request: PeerRequest) -> Option<PeerAnswer> {
        match request {
            PeerRequest::Beat(heartbeat) => {
                self.catalog.handle_heartbeat(host, &heartbeat);
                Some(PeerAnswer::Done)
            }
            PeerRequest::Registry(request) => {
                Some(PeerAnswer::Registry(self.catalog.registry_delta(&request)))
            }
            PeerRequest::Announce(announcement) => {
                Some(match self.catalog.register_announcement(&announcement) {
                    Ok(()) => PeerAnswer::Done,
                    Err(reason) => PeerAnswer::Refused(reason),
                })
            }
            PeerRequest::Suspect(report) => {
                self.catalog.apply_suspicion(&report);
                Some(PeerAnswer::Done)
            }
            PeerRequest::CallForward(call) => {
                let answer = self.dispatcher.serve_forwarded(call).await;
                Some(PeerAnswer::CallForward(Box::new(answer)))
            }
            _ => None,
        }
    }

    /// Stops the entry gracefully: it leaves the directory, continues to serve until the answers of
    /// the directory that callers may have cached expire, and then closes. Returns whether all
    /// requests in flight finished.
    pub async fn stop(&self) -> bool {
        let tags = EventTags::default();
        self.context.timeline.record(EventKind::StopBegun, tags, String::new());
        self.context.info.write().serving = false;
        sleep(self.directory_max_age + types::FRESHNESS_LIMIT).await;
        self.stop.notify_one();
        match self.listener_task.lock().await.take() {
            Some(task) => task.await.unwrap_or(false),
            None => true,
        }
    }
}
