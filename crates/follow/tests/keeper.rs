//! Whom an entry asks to confirm its view: a near replica, and the leader only if that is silent.

use async_trait::async_trait;
use hawthornhill_follow::{FreshnessKeeper, KeeperTools, LeaderFinder, ViewHolder};
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

/// Replicas that confirm a view after a while if they are asked as followers, and at once as leaders.
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

/// An entry that holds a view of this version.
struct NotingHolder {
    version: u64,
    confirmed: Notify,
}

impl ViewHolder for NotingHolder {
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

/// Returns how often the leader was asked until the view was confirmed.
async fn leader_requests(delay: Duration, version: u64) -> usize {
    let link = Arc::new(SlowFollowers { delay, asked_leader: AtomicUsize::new(0) });
    let host = "core-1".parse().expect("valid");
    let target = PeerTarget { host, address: ([10, 0, 0, 1], 1).into() };
    let holder = Arc::new(NotingHolder { version, confirmed: Notify::new() });
    let tools = KeeperTools {
        counters: MetricsRegistry::default().decisions("freshness", "test"),
        timeline: EventTimeline::new("entry-1"),
        logger: root_logger(LogFormat::Json, "entry-1"),
        timer: TimerService::start(),
    };
    let leader = Arc::new(LeaderFinder::new(link.clone(), vec![target]));
    let keeper = tokio::spawn(FreshnessKeeper::new(holder.clone(), leader, tools).run());
    holder.confirmed.notified().await;
    keeper.abort();
    link.asked_leader.load(Ordering::SeqCst)
}

/// Found on a copy of a grown site with 300 machines: followers took 250 ms, since they space their
/// requests to the leader, and all entries turned to the leader after 200.
#[tokio::test(start_paused = true)]
async fn follower_that_spaces_its_requests_is_waited_for() {
    // 100 ms of spacing, 50 to the leader's round, 100 to the heartbeat after it.
    assert_eq!(leader_requests(Duration::from_millis(250), 5).await, 0);
}

#[tokio::test(start_paused = true)]
async fn large_first_view_is_waited_for() {
    // A view of 3,000 servers over 2 Mbit/s.
    assert_eq!(leader_requests(Duration::from_millis(500), 0).await, 0);
}

#[tokio::test(start_paused = true)]
async fn leader_is_asked_when_the_follower_is_silent() {
    assert!(leader_requests(Duration::from_secs(60), 5).await >= 1);
}
