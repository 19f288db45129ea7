//! Tests which replicas an entry asks to confirm its view: one, and a second one only if the first
//! does not answer in time.

use async_trait::async_trait;
use hawthornhill_follow::{LeaderClient, RefresherContext, ViewRefresher, ViewStore};
use peer::{
    FreshnessAnswer, FreshnessGrant, PeerAnswer, PeerError, PeerLink, PeerRequest, PeerTarget,
    ViewTransfer,
};
use runtime::{EventTimeline, LogFormat, MetricsRegistry, TimerService, root_logger};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use types::{ClusterView, EntryIncarnation, EntryInfo, ViewUpdate, ViewVersion};

/// Number of replicas that the entry knows.
const REPLICAS: u16 = 19;

/// Replicas of which the first `silent` ones asked answer after `delay`, and all others at once.
struct SlowReplicas {
    delay: Duration,
    silent: usize,
    /// Addresses of the replicas asked until the first view was confirmed, in order.
    asked: Mutex<Vec<SocketAddr>>,
    is_confirmed: AtomicBool,
}

#[async_trait]
impl PeerLink for SlowReplicas {
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let PeerRequest::Freshness(request) = request else {
            return Ok(PeerAnswer::Done);
        };
        assert!(request.may_relay, "no entry needs the leader itself");
        let asked_before = {
            let mut asked = self.asked.lock().expect("not poisoned");
            if !self.is_confirmed.load(Ordering::SeqCst) {
                asked.push(target.address);
            }
            asked.len() - 1
        };
        if asked_before < self.silent && timeout(limit, sleep(self.delay)).await.is_err() {
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
    link: Arc<SlowReplicas>,
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
        self.link.is_confirmed.store(true, Ordering::SeqCst);
        self.confirmed.notify_one();
    }

    fn is_open(&self) -> bool {
        true
    }
}

/// Runs an entry with a view of `version` (0 for none) for `period`, or until its view is confirmed.
/// Returns the replicas that it asked, in order.
async fn replicas_asked(
    link: SlowReplicas,
    version: u64,
    period: Option<Duration>,
) -> Vec<SocketAddr> {
    let link = Arc::new(link);
    let target = |number: u16| PeerTarget {
        host: format!("core-{number}").parse().expect("valid"),
        address: ([10, 0, 0, 1], number).into(),
    };
    let store = Arc::new(SignallingStore { version, link: link.clone(), confirmed: Notify::new() });
    let context = RefresherContext {
        counters: MetricsRegistry::default().decisions("freshness", "test"),
        timeline: EventTimeline::new("entry-1"),
        logger: root_logger(LogFormat::Json, "entry-1"),
        timer: TimerService::start(),
    };
    let targets = (1..=REPLICAS).map(target).collect();
    let leader = Arc::new(LeaderClient::new(link.clone(), targets));
    let refresher = tokio::spawn(ViewRefresher::new(store.clone(), leader, context).run());
    match period {
        Some(period) => sleep(period).await,
        None => store.confirmed.notified().await,
    }
    refresher.abort();
    link.asked.lock().expect("not poisoned").clone()
}

fn slow_replicas(delay: Duration, silent: usize) -> SlowReplicas {
    SlowReplicas { delay, silent, asked: Mutex::default(), is_confirmed: AtomicBool::new(false) }
}

/// Guards against asking a second replica while the first delays its read index request, which can
/// take 250 ms. On a copy of a site with 300 machines, all entries asked the leader after 200 ms.
#[tokio::test(start_paused = true)]
async fn second_replica_is_not_asked_while_the_first_delays_its_read_index() {
    // 100 ms before the read index is requested, 50 ms for the leader's quorum round, 100 ms until
    // the next heartbeat.
    let link = slow_replicas(Duration::from_millis(250), usize::MAX);
    assert_eq!(replicas_asked(link, 5, None).await.len(), 1);
}

/// Guards against requesting a large first view a second time while a replica is still sending it.
#[tokio::test(start_paused = true)]
async fn second_replica_is_not_asked_during_a_large_first_view() {
    // More than the 0.4 s that a view of 3,000 servers takes over a link of 2 Mbit/s.
    let link = slow_replicas(Duration::from_millis(500), usize::MAX);
    assert_eq!(replicas_asked(link, 0, None).await.len(), 1);
}

/// Guards against a first view that is given up while it is transferred, and requested again and
/// again. The largest view that the system is designed for takes about 2 s.
#[tokio::test(start_paused = true)]
async fn first_view_that_takes_two_seconds_arrives() {
    let link = slow_replicas(Duration::from_secs(2), usize::MAX);
    assert!(replicas_asked(link, 0, None).await.len() <= 2);
}

/// Guards against losing freshness when the selected replica never answers.
#[tokio::test(start_paused = true)]
async fn another_replica_is_asked_when_the_selected_one_is_silent() {
    let asked = replicas_asked(slow_replicas(Duration::from_secs(60), 1), 5, None).await;
    assert_eq!(asked.len(), 2);
    assert_ne!(asked[0], asked[1]);
}

/// Pattern: the set of replicas has no leader, and hundreds of entries get no answer. Guards against
/// entries that ask all replicas at once: with 451 entries and 19 replicas these requests took the
/// processor time that the election needed.
#[tokio::test(start_paused = true)]
async fn entry_without_answers_asks_few_replicas_at_a_time() {
    let link = slow_replicas(Duration::from_secs(60), usize::MAX);
    let period = Duration::from_secs(6);
    let asked = replicas_asked(link, 5, Some(period)).await;
    // Each round asks two replicas and lasts until the second one times out after 1 s.
    assert!(asked.len() <= 2 * 6 + 2, "{} requests in {period:?}", asked.len());
    let distinct: BTreeSet<_> = asked.iter().collect();
    assert!(distinct.len() >= 6, "the same replicas are asked again: {asked:?}");
}
