//! Keeps the view of an entry fresh.
//!
//! A granted freshness request confirms that the view was current when the request was sent, not
//! when the answer arrived: the leader answers only after a quorum round that began after the
//! request arrived.

use crate::{
    LeaderClient, ReplicaSelector,
    grants::{freshness_source, into_grant},
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
const REQUEST_PERIOD: Duration = Duration::from_millis(250);
/// Minimum pause between freshness requests until there is a first view.
const MIN_FIRST_VIEW_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause between freshness requests until there is a first view.
const MAX_FIRST_VIEW_PAUSE: Duration = Duration::from_millis(200);
/// Pause before the next request for a first view, as a multiple of the duration of the last
/// request. It reduces the load on slow replicas when all entries start together.
const FIRST_VIEW_BACKOFF: u32 = 2;
/// Time after which the leader is asked too if the selected replica has not answered. A follower
/// may take 250 ms: up to 100 ms until it requests a read index, 50 ms for the leader's quorum
/// round, and 100 ms until the heartbeat with the commit index. The rest allows for busy hosts.
const LEADER_HEDGE_DELAY: Duration = Duration::from_millis(400);
/// Replaces [`LEADER_HEDGE_DELAY`] until there is a first view. A view of 3,000 servers takes 0.4 s
/// over a link of 2 Mbit/s, and sending it to all entries would overload the leader.
const FIRST_VIEW_HEDGE_DELAY: Duration = Duration::from_millis(1_000);
/// Time allowed for one freshness request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Stores the view of an entry.
pub trait ViewStore: Send + Sync {
    /// Returns the entry's registration, which is sent to the replicas.
    fn info(&self) -> EntryInfo;
    /// Returns the current view.
    fn view(&self) -> Arc<ClusterView>;
    /// Replaces the view with a newer one. [`confirm`](Self::confirm) is called for it afterwards.
    fn install(&self, view: Arc<ClusterView>);
    /// Records that a freshness request sent at this time confirmed the view.
    fn confirm(&self, sent: Instant);
    /// Returns whether the last confirmation is recent enough to start new work.
    fn is_open(&self) -> bool;
}

/// Services of the process that a [`ViewRefresher`] uses.
#[derive(Clone)]
pub struct RefresherContext {
    /// Counters of freshness requests and their results.
    pub counters: DecisionCounters,
    /// Event timeline.
    pub timeline: EventTimeline,
    /// Logger.
    pub logger: Logger,
    /// Timer service.
    pub timer: TimerService,
}

/// Keeps the view in a [`ViewStore`] fresh by periodic freshness requests.
pub struct ViewRefresher {
    store: Arc<dyn ViewStore>,
    leader: Arc<LeaderClient>,
    context: RefresherContext,
    selector: ReplicaSelector,
    /// Random number in `0.0..1.0`, fixed so that the choice among the replicas of a failure domain
    /// is stable.
    draw: f64,
    /// The replica that confirmed the view last, unless it has failed since.
    last_replica: Option<SocketAddr>,
    was_open: bool,
}

impl ViewRefresher {
    /// Returns a refresher for the view in this store.
    pub fn new(
        store: Arc<dyn ViewStore>,
        leader: Arc<LeaderClient>,
        context: RefresherContext,
    ) -> Self {
        let selector = ReplicaSelector::new(store.info().domain);
        Self {
            store,
            leader,
            context,
            selector,
            draw: rand::random(),
            last_replica: None,
            was_open: false,
        }
    }

    /// Sends freshness requests periodically until the timer service ends.
    pub async fn run(mut self) {
        let mut ticks = self.context.timer.subscribe(REQUEST_PERIOD);
        loop {
            let started = Instant::now();
            self.refresh().await;
            self.record_gate_change();
            if self.store.view().version == ViewVersion::default() {
                // Nothing can be served before the first view, so the next request does not wait
                // for the period.
                sleep(first_view_pause(started.elapsed())).await;
            } else if ticks.tick().await.is_none() {
                return;
            }
        }
    }

    /// Sends one freshness request and applies the grant in its answer.
    async fn refresh(&mut self) {
        let sent = Instant::now();
        let version = self.store.view().version;
        match self.request_grant(version).await {
            Some(grant) => self.apply_grant(grant, version, sent),
            None => self.context.counters.count("not-confirmed"),
        }
    }

    /// Requests a grant from the selected replica, and from the leader too if the replica fails or
    /// does not answer in time.
    async fn request_grant(&mut self, version: ViewVersion) -> Option<FreshnessGrant> {
        let request = |may_relay| {
            let entry = Some(self.store.info());
            let known_replicas = self.leader.replicas_digest();
            let request = FreshnessRequest { entry, version, known_replicas, may_relay };
            PeerRequest::Freshness(request)
        };
        let (replica_request, leader_request) = (request(true), request(false));
        let Some(target) = self.select_replica() else {
            return into_grant(
                self.leader.call_leader(&leader_request, REQUEST_TIMEOUT, freshness_source).await,
            );
        };
        let leader = self.leader.clone();
        let mut from_replica = pin!(leader.call_replica(&target, replica_request, REQUEST_TIMEOUT));
        let is_first = version == ViewVersion::default();
        let hedge_delay = if is_first { FIRST_VIEW_HEDGE_DELAY } else { LEADER_HEDGE_DELAY };
        let answered = timeout(hedge_delay, &mut from_replica).await;
        let has_timed_out = answered.is_err();
        if let Some(grant) = into_grant(answered.ok().and_then(Result::ok)) {
            self.selector.record_success(target.address, grant.domain.clone());
            self.log_replica_change(&target, &grant);
            return Some(grant);
        }
        self.selector.record_failure(target.address, Instant::now());
        self.context.counters.count("near-replica-failed");
        if self.last_replica.take().is_some() {
            warn!(self.context.logger, "replica does not confirm the view";
                "replica" => %target.address, "silent" => has_timed_out);
        }
        let from_leader =
            pin!(leader.call_leader(&leader_request, REQUEST_TIMEOUT, freshness_source));
        if !has_timed_out {
            return into_grant(from_leader.await);
        }
        match select(from_replica, from_leader).await {
            Either::Left((answer, from_leader)) => match into_grant(answer.ok()) {
                Some(grant) => Some(grant),
                None => into_grant(from_leader.await),
            },
            Either::Right((answer, _)) => into_grant(answer),
        }
    }

    fn log_replica_change(&mut self, target: &PeerTarget, grant: &FreshnessGrant) {
        if self.last_replica.replace(target.address) != Some(target.address) {
            info!(self.context.logger, "replica confirms the view"; "replica" => %target.address,
                "domain" => %grant.domain);
        }
    }

    fn select_replica(&mut self) -> Option<PeerTarget> {
        let replicas = self.leader.replicas();
        let addresses: Vec<SocketAddr> = replicas.iter().map(|replica| replica.address).collect();
        self.selector.retain(&addresses);
        let chosen = self.selector.choose(Instant::now(), &addresses, self.draw)?;
        replicas.into_iter().find(|replica| replica.address == chosen)
    }

    fn apply_grant(&self, grant: FreshnessGrant, requested: ViewVersion, sent: Instant) {
        self.leader.set_replicas(&grant.replicas);
        let current = self.store.view();
        debug_assert_eq!(current.version, requested, "only this task changes the view");
        let update = match grant.update.unpack() {
            Ok(update) => update,
            Err(error) => {
                self.context.counters.count("view-malformed");
                warn!(self.context.logger, "cannot decode the view update"; "error" => %error);
                return;
            }
        };
        if !update.is_empty() {
            let mut view = (*current).clone();
            view.update(update);
            let detail = format!("view {}", view.version.0);
            info!(self.context.logger, "view changed"; "version" => view.version.0,
                "from" => current.version.0, "routing" => view.routing_version().0,
                "servers" => view.servers().count(), "entries" => view.entries().count());
            // The store must apply the view's drains before `confirm` lets new work start.
            self.store.install(Arc::new(view));
            let tags = EventTags::default();
            self.context.timeline.record(EventKind::ChangeInForce, tags, detail);
        }
        self.store.confirm(sent);
        self.context.counters.count("confirmed");
    }

    /// Logs and records whether the entry has started or stopped accepting new work.
    fn record_gate_change(&mut self) {
        let is_open = self.store.is_open();
        if is_open == self.was_open {
            return;
        }
        self.was_open = is_open;
        let tags = EventTags::default();
        let version = self.store.view().version.0;
        if is_open {
            info!(self.context.logger, "replicas in touch: the view is confirmed";
                "version" => version);
            self.context.timeline.record(EventKind::EntryOpened, tags, String::new());
        } else {
            warn!(self.context.logger, "replicas lost: the view cannot be confirmed";
                "version" => version);
            self.context.timeline.record(EventKind::EntryClosed, tags, String::new());
        }
    }
}

/// Returns the pause before the next request for a first view.
fn first_view_pause(last_duration: Duration) -> Duration {
    (last_duration * FIRST_VIEW_BACKOFF).clamp(MIN_FIRST_VIEW_PAUSE, MAX_FIRST_VIEW_PAUSE)
}
