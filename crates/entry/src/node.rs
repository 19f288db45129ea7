//! An entry as a whole: its parts, its tasks, and its planned stop.

use crate::{
    CallDispatcher, EntryContext, ReplicatedLedger, catalog::ServerCatalog,
    holder::EntryViewHolder, prober::ServerProber,
};
use caller::{CallerListener, IntakeError, IntakeSettings};
use follow::{FreshnessKeeper, KeeperTools, LeaderFinder};
use peer::{PeerAnswer, PeerLink, PeerRequest, PeerTarget};
use policy::{AdmissionGate, AdmissionSettings, LoadSettings, ServerView};
use runtime::{EventKind, EventTags};
use server::{ServerTransport, serve_announcements};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use thiserror::Error;
use tokio::{net::TcpListener, sync::Notify, time::sleep};
use types::{ClusterView, HostName};

/// What an entry is started with, besides its context.
pub struct EntrySettings {
    /// Replicas to ask first.
    pub replicas: Vec<PeerTarget>,
    /// Links to other processes.
    pub link: Arc<dyn PeerLink>,
    /// Connections to servers.
    pub transport: Arc<dyn ServerTransport>,
    /// Limits of the entry.
    pub admission: AdmissionSettings,
    /// Choice among servers.
    pub load: LoadSettings,
    /// Limits of the intake.
    pub intake: IntakeSettings,
    /// How long callers may keep the directory's answer.
    pub directory_max_age: Duration,
    /// The longest wait for requests in flight at a planned stop.
    pub stop_grace: Duration,
}

/// Says why an entry could not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The callers' address could not be opened.
    #[error("caller_address: {0}")]
    Intake(#[from] IntakeError),
    /// The servers' address could not be opened.
    #[error("server_address: {address}: {source}")]
    Announce {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
}

/// A running entry.
pub struct EntryNode {
    context: Arc<EntryContext>,
    catalog: Arc<ServerCatalog>,
    dispatcher: Arc<CallDispatcher>,
    stop: Arc<Notify>,
    callers: tokio::sync::Mutex<Option<tokio::task::JoinHandle<bool>>>,
    directory_max_age: Duration,
}

impl EntryNode {
    /// Opens the entry's addresses and starts its tasks.
    pub async fn start(
        context: Arc<EntryContext>,
        settings: EntrySettings,
    ) -> Result<Arc<Self>, EntryError> {
        let link = settings.link;
        let leader = Arc::new(LeaderFinder::new(link.clone(), settings.replicas));
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
            settings.intake,
            context.counters.calls.clone(),
        )
        .await?;
        let announcements = TcpListener::bind(server_address)
            .await
            .map_err(|source| EntryError::Announce { address: server_address, source })?;
        let counters = context.counters.servers.clone();
        tokio::spawn(serve_announcements(announcements, catalog.clone(), counters));
        tokio::spawn(catalog.clone().run());
        tokio::spawn(prober.run());
        let tools = KeeperTools {
            counters: context.counters.freshness.clone(),
            timeline: context.timeline.clone(),
            logger: context.logger.clone(),
            timer: context.timer.clone(),
        };
        let holder = Arc::new(EntryViewHolder::new(context.clone(), catalog.clone()));
        let keeper = FreshnessKeeper::new(holder, leader, tools);
        tokio::spawn(keeper.run());
        let stop = Arc::new(Notify::new());
        let callers = tokio::spawn(listener.serve(stop.clone(), settings.stop_grace));
        let callers = tokio::sync::Mutex::new(Some(callers));
        let directory_max_age = settings.directory_max_age;
        Ok(Arc::new(Self { context, catalog, dispatcher, stop, callers, directory_max_age }))
    }

    /// Returns the view of this entry.
    pub fn view(&self) -> Arc<ClusterView> {
        self.context.view()
    }

    /// Returns all servers as this entry knows them.
    pub fn servers(&self) -> Vec<ServerView> {
        self.catalog.server_views()
    }

    /// Says whether the entry takes new work.
    pub fn is_open(&self) -> bool {
        self.context.is_open()
    }

    /// Answers a peer's request that is meant for entries. Returns `None` for all others.
    pub async fn handle(&self, host: &HostName, request: PeerRequest) -> Option<PeerAnswer> {
        match request {
            PeerRequest::Beat(beat) => {
                self.catalog.observe_beat(host, &beat);
                Some(PeerAnswer::Done)
            }
            PeerRequest::Registry(request) => {
                Some(PeerAnswer::Registry(self.catalog.delta(&request)))
            }
            PeerRequest::Announce(announcement) => {
                Some(match self.catalog.announce_here(&announcement) {
                    Ok(()) => PeerAnswer::Done,
                    Err(reason) => PeerAnswer::Refused(reason),
                })
            }
            PeerRequest::Suspect(report) => {
                self.catalog.take_suspicion(&report);
                Some(PeerAnswer::Done)
            }
            PeerRequest::CallForward(call) => {
                let answer = self.dispatcher.serve_forwarded(call).await;
                Some(PeerAnswer::CallForward(Box::new(answer)))
            }
            _ => None,
        }
    }

    /// Stops without cutting off a request: leaves the directory, serves on while callers may keep
    /// its former answers, then closes. Returns whether all requests in flight finished.
    pub async fn stop(&self) -> bool {
        let tags = EventTags::default();
        self.context.timeline.record(EventKind::StopBegun, tags, String::new());
        self.context.info.write().serving = false;
        sleep(self.directory_max_age + types::FRESHNESS_LIMIT).await;
        self.stop.notify_one();
        match self.callers.lock().await.take() {
            Some(callers) => callers.await.unwrap_or(false),
            None => true,
        }
    }
}
