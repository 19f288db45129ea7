//! Tests which replica an entry asks to confirm its view: a follower first, and the leader only if
//! the follower does not answer in time.

use async_trait::async_trait;
use hawthornhill_follow::{LeaderClient, RefresherContext, ViewRefresher, ViewStore};
use peer::{
    FreshnessAnswer, FreshnessGrant, PeerAnswer, PeerError, PeerLink, PeerRequest, PeerTarget,
    ViewTransfer,
};
use runtime::{EventTimeline, LogFormat, MetricsRegistry, TimerService, root_logger};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use types::{ClusterView, EntryIncarnation, EntryInfo, ViewUpdate, ViewVersion};

/// Replicas that confirm a view after `delay` when asked as followers, and at once when asked as
/// the leader.
struct SlowFollowers {
    delay: Duration,
    asked_leader: AtomicUsize,
}

#[async_trait]
impl PeerLink for SlowFollowers {
    async fn call(
        &self,
        _target: &PeerTarget,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let PeerRequest::Freshness(request) = request else {
            return Ok(PeerAnswer::Done);
        };
        if !request.may_relay {
            self.asked_leader.fetch_add(1, Ordering::SeqCst);
        } else if timeout(limit, sleep(self.delay)).await.is_err() {
            return Err(PeerError::Malformed("timed out".to_owned()));
        }
        let update = ViewTransfer::Plain(ViewUpdate::Changes(Vec::new()));
        let domain = "a".parse().expect("valid");
        let grant = FreshnessGrant { update, replicas: Vec::new(), domain };
        Ok(PeerAnswer::Freshness(Box::new(FreshnessAnswer::Granted(grant))))
    }

    fn send(&self, _target: &PeerTarget, _request: PeerRequest) {}
}

/// Stores a view of a fixed version and signals its confirmation.
struct SignallingStore {
    version: u64,
    confirmed: Notify,
}

impl ViewStore for SignallingStore {
    fn info(&self) -> EntryInfo {
        let address = ([10, 0, 0, 9], 1).into();
        EntryInfo {
            name: "entry-1".parse().expect("valid"),
            domain: "a".parse().expect("valid"),
            incarnation: EntryIncarnation(1),
            caller_address: address,
            server_address: address,
            peer_address: address,
            operator_address: address,
            serving: true,
            owns_shards: false,
        }
    }

    fn view(&self) -> Arc<ClusterView> {
        let mut view = ClusterView::default();
        view.version = ViewVersion(self.version);
        Arc::new(view)
    }

    fn install(&self, _view: Arc<ClusterView>) {}

    fn confirm(&self, _sent: Instant) {
        self.confirmed.notify_one();
    }

    fn is_open(&self) -> bool {
        true
    }
}

/// Returns how often the leader was asked until a view of this version was confirmed, when
/// followers answer after `delay`. Version 0 means that there is no view yet.
async fn leader_requests(delay: Duration, version: u64) -> usize {
    let link = Arc::new(SlowFollowers { delay, asked_leader: AtomicUsize::new(0) });
    let host = "core-1".parse().expect("valid");
    let target = PeerTarget { host, address: ([10, 0, 0, 1], 1).into() };
    let store = Arc::new(SignallingStore { version, confirmed: Notify::new() });
    let context = RefresherContext {
        counters: MetricsRegistry::default().decisions("freshness", "test"),
        timeline: EventTimeline::new("entry-1"),
        logger: root_logger(LogFormat::Json, "entry-1"),
        timer: TimerService::start(),
    };
    let leader = Arc::new(LeaderClient::new(link.clone(), vec![target]));
    let refresher = tokio::spawn(ViewRefresher::new(store.clone(), leader, context).run());
    store.confirmed.notified().await;
    refresher.abort();
    link.asked_leader.load(Ordering::SeqCst)
}

/// Guards against overloading the leader: a follower delays its read-index request, so its answer
/// can take 250 ms. On a copy of a site with 300 machines, all entries asked the leader after
/// 200 ms.
#[tokio::test(start_paused = true)]
async fn leader_is_not_asked_while_a_follower_delays_its_read_index() {
    // 100 ms before the read index is requested, 50 ms for the leader's quorum round, 100 ms until
    // the next heartbeat.
    assert_eq!(leader_requests(Duration::from_millis(250), 5).await, 0);
}

/// Guards against requesting a large first view a second time, from the leader, while a follower is
/// still sending it.
#[tokio::test(start_paused = true)]
async fn leader_is_not_asked_during_a_large_first_view() {
    // More than the 0.4 s that a view of 3,000 servers takes over a link of 2 Mbit/s.
    assert_eq!(leader_requests(Duration::from_millis(500), 0).await, 0);
}

/// Guards against losing freshness when the selected follower never answers.
#[tokio::test(start_paused = true)]
async fn leader_is_asked_when_the_follower_is_silent() {
    assert!(leader_requests(Duration::from_secs(60), 5).await >= 1);
}
