//! Keeps the view of an entry fresh.
//!
//! The time at which a request was sent, not that of its answer, is what the view is fresh as of:
//! the leader answers only after a quorum round that began after the request arrived.

use crate::{
    LeaderFinder, NearReplicas,
    grants::{granted, is_granted},
};
use futures_util::future::{Either, select};
use peer::{FreshnessGrant, FreshnessRequest, PeerRequest, PeerTarget};
use runtime::{DecisionCounters, EventKind, EventTags, EventTimeline, Logger, TimerService};
use slog::{info, warn};
use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};
use types::{ClusterView, EntryInfo, ViewVersion};

/// Period of freshness requests.
const RENEW_PERIOD: Duration = Duration::from_millis(250);
/// Period of requests until there is a first view.
const FIRST_VIEW_PERIOD: Duration = Duration::from_millis(50);
/// Longest period of requests until there is a first view.
const MAX_FIRST_VIEW_PERIOD: Duration = Duration::from_millis(200);
/// Pause until the next request for a first view, in multiples of the time that the last one took.
/// When all entries start together, replicas that are slow to answer are asked less often.
const FIRST_VIEW_BACKOFF: u32 = 2;
/// Time after which the leader is asked beside a near replica that has not answered. A near one
/// waits up to 100 ms to ask for a read index, 50 ms for the leader's round, and 100 ms for the
/// heartbeat that tells it what is committed; the rest is for hosts that are busy.
const NEAR_PATIENCE: Duration = Duration::from_millis(400);
/// The same until there is a first view. One of 3,000 servers takes 0.4 s over a link of 2 Mbit/s,
/// and the leader could not bear to send it to all entries.
const FIRST_VIEW_PATIENCE: Duration = Duration::from_millis(1_000);
/// Time allowed for one request.
const RENEW_TIMEOUT: Duration = Duration::from_millis(600);

/// An entry that holds a view.
pub trait ViewHolder: Send + Sync {
    /// Returns what the entry tells the replicas about itself.
    fn info(&self) -> EntryInfo;
    /// Returns the view that it holds.
    fn view(&self) -> Arc<ClusterView>;
    /// Takes over a newer view.
    fn install(&self, view: Arc<ClusterView>);
    /// Notes that the view was confirmed by a request sent at this time.
    fn confirm(&self, sent: Instant);
    /// Says whether the view was confirmed lately enough for new work.
    fn is_open(&self) -> bool;
}

/// What a keeper uses of its process.
#[derive(Clone)]
pub struct KeeperTools {
    /// Counters of confirmations.
    pub counters: DecisionCounters,
    /// Time line.
    pub timeline: EventTimeline,
    /// Log.
    pub logger: Logger,
    /// Timer service.
    pub timer: TimerService,
}

/// Renews the freshness of the view until the process ends.
pub struct FreshnessKeeper {
    holder: Arc<dyn ViewHolder>,
    leader: Arc<LeaderFinder>,
    tools: KeeperTools,
    near: NearReplicas,
    /// Keeps the choice among replicas that are equally near.
    draw: f64,
    /// The replica that served the view last.
    server: Option<SocketAddr>,
    was_open: bool,
}

impl FreshnessKeeper {
    /// Returns a keeper of the holder's view.
    pub fn new(holder: Arc<dyn ViewHolder>, leader: Arc<LeaderFinder>, tools: KeeperTools) -> Self {
        let near = NearReplicas::new(holder.info().domain);
        Self { holder, leader, tools, near, draw: rand::random(), server: None, was_open: false }
    }

    /// Renews periodically until the timer service ends.
    pub async fn run(mut self) {
        let mut ticks = self.tools.timer.subscribe(RENEW_PERIOD);
        loop {
            let asked = Instant::now();
            self.renew().await;
            self.note_gate();
            if self.holder.view().version == ViewVersion::default() {
                // Nothing can be served before the first view.
                sleep(first_view_pause(asked.elapsed())).await;
            } else if ticks.tick().await.is_none() {
                return;
            }
        }
    }

    async fn renew(&mut self) {
        let sent = Instant::now();
        let version = self.holder.view().version;
        match self.ask(version).await {
            Some(grant) => self.take_grant(grant, version, sent),
            None => self.tools.counters.count("not-confirmed"),
        }
    }

    /// Asks a near replica, and the leader too if that one does not answer soon.
    async fn ask(&mut self, version: ViewVersion) -> Option<FreshnessGrant> {
        let request = |may_relay| {
            let entry = Some(self.holder.info());
            let known_replicas = self.leader.replicas_digest();
            let request = FreshnessRequest { entry, version, known_replicas, may_relay };
            PeerRequest::Freshness(request)
        };
        let (near_request, direct_request) = (request(true), request(false));
        let Some(target) = self.near_replica() else {
            return granted(self.leader.ask(&direct_request, RENEW_TIMEOUT, is_granted).await);
        };
        let leader = self.leader.clone();
        let mut near = pin!(leader.ask_one(&target, near_request, RENEW_TIMEOUT));
        let is_first = version == ViewVersion::default();
        let patience = if is_first { FIRST_VIEW_PATIENCE } else { NEAR_PATIENCE };
        let served = timeout(patience, &mut near).await;
        let is_silent = served.is_err();
        if let Some(grant) = granted(served.ok().and_then(Result::ok)) {
            self.near.note_served(target.address, grant.domain.clone());
            self.note_server(&target, &grant);
            return Some(grant);
        }
        self.near.note_failed(target.address, Instant::now());
        self.tools.counters.count("near-replica-failed");
        if self.server.take().is_some() {
            warn!(self.tools.logger, "replica does not confirm the view";
                "replica" => %target.address, "silent" => is_silent);
        }
        let direct = pin!(leader.ask(&direct_request, RENEW_TIMEOUT, is_granted));
        if !is_silent {
            return granted(direct.await);
        }
        match select(near, direct).await {
            Either::Left((answer, direct)) => match granted(answer.ok()) {
                Some(grant) => Some(grant),
                None => granted(direct.await),
            },
            Either::Right((answer, _)) => granted(answer),
        }
    }

    fn note_server(&mut self, target: &PeerTarget, grant: &FreshnessGrant) {
        if self.server.replace(target.address) != Some(target.address) {
            info!(self.tools.logger, "replica confirms the view"; "replica" => %target.address,
                "domain" => %grant.domain);
        }
    }

    fn near_replica(&mut self) -> Option<PeerTarget> {
        let replicas = self.leader.replicas();
        let addresses: Vec<SocketAddr> = replicas.iter().map(|replica| replica.address).collect();
        self.near.retain(&addresses);
        let chosen = self.near.choose(Instant::now(), &addresses, self.draw)?;
        replicas.into_iter().find(|replica| replica.address == chosen)
    }

    fn take_grant(&self, grant: FreshnessGrant, asked: ViewVersion, sent: Instant) {
        self.leader.learn(&grant.replicas);
        let current = self.holder.view();
        debug_assert_eq!(current.version, asked, "only this task changes the view");
        let update = match grant.update.unpack() {
            Ok(update) => update,
            Err(error) => {
                self.tools.counters.count("view-malformed");
                warn!(self.tools.logger, "view not usable"; "error" => %error);
                return;
            }
        };
        if !update.is_empty() {
            let mut view = (*current).clone();
            view.update(update);
            let detail = format!("view {}", view.version.0);
            info!(self.tools.logger, "view changed"; "version" => view.version.0,
                "from" => current.version.0, "routing" => view.routing_version().0,
                "servers" => view.servers().count(), "entries" => view.entries().count());
            // The holder must know of drains before the gate is confirmed for this view.
            self.holder.install(Arc::new(view));
            let tags = EventTags::default();
            self.tools.timeline.record(EventKind::ChangeInForce, tags, detail);
        }
        self.holder.confirm(sent);
        self.tools.counters.count("confirmed");
    }

    fn note_gate(&mut self) {
        let is_open = self.holder.is_open();
        if is_open == self.was_open {
            return;
        }
        self.was_open = is_open;
        let tags = EventTags::default();
        let version = self.holder.view().version.0;
        if is_open {
            info!(self.tools.logger, "replicas in touch: the view is confirmed";
                "version" => version);
            self.tools.timeline.record(EventKind::EntryOpened, tags, String::new());
        } else {
            warn!(self.tools.logger, "replicas lost: the view cannot be confirmed";
                "version" => version);
            self.tools.timeline.record(EventKind::EntryClosed, tags, String::new());
        }
    }
}

/// Returns the pause before the next request for a first view.
fn first_view_pause(last_took: Duration) -> Duration {
    (last_took * FIRST_VIEW_BACKOFF).clamp(FIRST_VIEW_PERIOD, MAX_FIRST_VIEW_PERIOD)
}
