//! Keeps the view of an entry fresh.
//!
//! A granted freshness request confirms that the view was current when the request was sent, not
//! when the answer arrived: the leader answers only after a quorum round that began after the
//! request arrived.

use crate::{LeaderClient, ReplicaSelector, grants::into_grant};
use futures_util::future::{Either, select};
use peer::{FreshnessGrant, FreshnessRequest, PeerAnswer, PeerError, PeerRequest, PeerTarget};
use rand::seq::IteratorRandom;
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
/// Time after which a second replica is asked too if the selected one has not answered. A follower
/// may take 250 ms: up to 100 ms until it requests a read index, 50 ms for the leader's quorum
/// round, and 100 ms until the heartbeat with the commit index. The rest allows for busy hosts.
const HEDGE_DELAY: Duration = Duration::from_millis(400);
/// Replaces [`HEDGE_DELAY`] until there is a first view. A view of 3,000 servers takes 0.4 s over a
/// link of 2 Mbit/s.
const FIRST_VIEW_HEDGE_DELAY: Duration = Duration::from_millis(1_000);
/// Time allowed for the answer of one replica.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Replaces [`REQUEST_TIMEOUT`] until there is a first view. The largest view that the system is
/// designed for takes about 2 s over a link of 2 Mbit/s.
const FIRST_VIEW_TIMEOUT: Duration = Duration::from_millis(3_000);

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

    /// Requests a grant from the selected replica, and from a second one too if the first fails or
    /// does not answer in time. Any replica can answer, so the leader need not be located: its load
    /// does not grow with the number of entries, and entries without an answer do not ask all
    /// replicas at once.
    async fn request_grant(&mut self, version: ViewVersion) -> Option<FreshnessGrant> {
        let request = FreshnessRequest {
            entry: Some(self.store.info()),
            version,
            known_replicas: self.leader.replicas_digest(),
            may_relay: true,
        };
        let request = PeerRequest::Freshness(request);
        let is_first = version == ViewVersion::default();
        let (hedge_delay, request_timeout) = match is_first {
            true => (FIRST_VIEW_HEDGE_DELAY, FIRST_VIEW_TIMEOUT),
            false => (HEDGE_DELAY, REQUEST_TIMEOUT),
        };
        let target = self.select_replica(self.draw)?;
        let leader = self.leader.clone();
        let mut first = pin!(leader.call_replica(&target, request.clone(), request_timeout));
        let answered = timeout(hedge_delay, &mut first).await;
        let has_timed_out = answered.is_err();
        if let Some(grant) = into_grant(answered.ok().and_then(Result::ok)) {
            self.record_success(&target, &grant);
            return Some(grant);
        }
        self.record_failure(&target, has_timed_out);
        let Some(second_target) = self.select_replica(rand::random()).filter(|t| *t != target)
        else {
            return if has_timed_out { into_grant(first.await.ok()) } else { None };
        };
        let second = pin!(leader.call_replica(&second_target, request, request_timeout));
        if !has_timed_out {
            let answer = second.await;
            return self.finish_second(&second_target, answer);
        }
        match select(first, second).await {
            Either::Left((answer, second)) => match into_grant(answer.ok()) {
                Some(grant) => Some(grant),
                None => {
                    let answer = second.await;
                    self.finish_second(&second_target, answer)
                }
            },
            Either::Right((answer, first)) => match self.finish_second(&second_target, answer) {
                Some(grant) => Some(grant),
                None => into_grant(first.await.ok()),
            },
        }
    }

    fn finish_second(
        &mut self,
        target: &PeerTarget,
        answer: Result<PeerAnswer, PeerError>,
    ) -> Option<FreshnessGrant> {
        match into_grant(answer.ok()) {
            Some(grant) => {
                self.record_success(target, &grant);
                Some(grant)
            }
            None => {
                self.record_failure(target, true);
                None
            }
        }
    }

    fn record_success(&mut self, target: &PeerTarget, grant: &FreshnessGrant) {
        self.selector.record_success(target.address, grant.domain.clone());
        self.log_replica_change(target, grant);
    }

    fn record_failure(&mut self, target: &PeerTarget, was_silent: bool) {
        self.selector.record_failure(target.address, Instant::now());
        self.context.counters.count("replica-failed");
        if self.last_replica.take().is_some() {
            warn!(self.context.logger, "replica does not confirm the view";
                "replica" => %target.address, "silent" => was_silent);
        }
    }

    fn log_replica_change(&mut self, target: &PeerTarget, grant: &FreshnessGrant) {
        if self.last_replica.replace(target.address) != Some(target.address) {
            info!(self.context.logger, "replica confirms the view"; "replica" => %target.address,
                "domain" => %grant.domain);
        }
    }

    /// Selects a known replica, or a seed if all known replicas have failed recently.
    fn select_replica(&mut self, draw: f64) -> Option<PeerTarget> {
        let replicas = self.leader.replicas();
        let addresses: Vec<SocketAddr> = replicas.iter().map(|replica| replica.address).collect();
        self.selector.retain(&addresses);
        let chosen = self.selector.choose(Instant::now(), &addresses, draw);
        let all_replicas = self.leader.replicas_and_seeds();
        match chosen {
            Some(chosen) => replicas.into_iter().find(|replica| replica.address == chosen),
            None => all_replicas.into_iter().choose(&mut rand::rng()),
        }
    }

    fn apply_grant(&self, grant: FreshnessGrant, requested: ViewVersion, sent: Instant) {
        self.leader.set_replicas(&grant.replicas);
        let current = self.store.view();
        debug_assert_eq!(current.version, requested, "only this task changes the view");
        if !grant.update.is_empty() {
            let view = match grant.update.apply_to(&current) {
                Ok(view) => view,
                Err(error) => {
                    self.context.counters.count("view-malformed");
                    warn!(self.context.logger, "cannot decode the view update"; "error" => %error);
                    return;
                }
            };
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
