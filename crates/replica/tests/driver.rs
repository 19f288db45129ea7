//! Replica thread: freshness during network partitions, disk write failures, and restarts.

use async_trait::async_trait;
use consensus::{CoreSettings, Member, MemberRole, ReplicaId, RestoredState};
use hawthornhill_replica::{
    FileStore, HistoryLimits, LogBatch, ReplicaHandle, ReplicaSettings, ReplicaStore, StoreError,
    start_replica,
};
use peer::{
    FreshnessAnswer, FreshnessGrant, FreshnessRequest, PeerAnswer, PeerHandler, PeerRequest,
    ReadIndexRequest, SubmitAnswer, ViewTransfer, replicas_digest,
};
use runtime::{EventTimeline, LogFormat, MetricsRegistry, TimerService, root_logger};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tempfile::{TempDir, tempdir};
use testkit::{LinkSwitch, MemoryNet};
use types::{
    ChangeAction, ChangeAnswer, ChangeId, ChangeRequest, ClusterView, Command, CommandAnswer,
    DocumentVersion, EntryIncarnation, EntryInfo, HostName, ViewVersion,
};
use uuid::Uuid;

/// Longer than any election in these tests, so that requests wait until there is a leader.
const LONG_WAIT: Duration = Duration::from_secs(60);

struct Handler(ReplicaHandle);

#[async_trait]
impl PeerHandler for Handler {
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer {
        self.0.handle(host, request).await.unwrap_or(PeerAnswer::Done)
    }
}

fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number as u16))
}

fn host(number: u64) -> HostName {
    format!("host-{number}").parse().expect("valid")
}

struct Node {
    handle: ReplicaHandle,
    switch: Arc<LinkSwitch>,
    identity: ReplicaId,
}

struct Cluster {
    net: MemoryNet,
    nodes: Vec<Node>,
    folders: Vec<TempDir>,
}

fn start(
    net: &MemoryNet,
    number: u64,
    store: Box<dyn ReplicaStore>,
    identity: ReplicaId,
    restored: RestoredState,
) -> Node {
    let switch = LinkSwitch::new(net.link(host(number)));
    let settings = ReplicaSettings {
        identity,
        host: host(number),
        address: address(number),
        domain: "d".parse().expect("valid"),
        core: CoreSettings { seed: number, ..CoreSettings::default() },
        history: HistoryLimits::default(),
        leader_wait: LONG_WAIT,
        link: switch.clone(),
        timer: TimerService::start(),
        timeline: EventTimeline::new("test"),
        counters: MetricsRegistry::default().decisions("replica", "test"),
        logger: root_logger(LogFormat::Terminal, "test"),
    };
    let handle = start_replica(settings, store, restored).expect("starts");
    net.register(address(number), Arc::new(Handler(handle.clone())));
    Node { handle, switch, identity }
}

fn open(folder: &Path, number: u64) -> (FileStore, RestoredState) {
    FileStore::open(folder, ReplicaId(number)).expect("opens")
}

impl Cluster {
    async fn start(count: u64) -> Self {
        let net = MemoryNet::default();
        let (mut nodes, mut folders) = (Vec::new(), Vec::new());
        for number in 1..=count {
            let folder = tempdir().expect("folder");
            let (store, restored) = open(folder.path(), number);
            let identity = store.identity();
            nodes.push(start(&net, number, Box::new(store), identity, restored));
            folders.push(folder);
        }
        let cluster = Self { net, nodes, folders };
        cluster.bootstrap().await;
        cluster
    }

    async fn bootstrap(&self) {
        let members: Vec<Member> = (1..)
            .zip(&self.nodes)
            .map(|(number, node)| Member {
                id: node.identity,
                host: host(number),
                address: address(number),
                domain: None,
                role: MemberRole::Voter,
            })
            .collect();
        for node in &self.nodes {
            node.handle.bootstrap(members.clone()).await.expect("formed");
        }
    }

    async fn leader(&self) -> usize {
        for _ in 0..400 {
            for (index, node) in self.nodes.iter().enumerate() {
                if node.handle.status().await.is_ok_and(|status| status.is_leader) {
                    return index;
                }
            }
            pause(25).await;
        }
        panic!("no leader");
    }

    /// Cuts the links between one node and all others, in both directions.
    fn isolate(&self, isolated: usize) {
        for (index, node) in self.nodes.iter().enumerate() {
            if index == isolated {
                (0..self.nodes.len() as u64).for_each(|n| node.switch.block(address(n + 1)));
            } else {
                node.switch.block(address(isolated as u64 + 1));
            }
        }
    }
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

fn freshness_request() -> FreshnessRequest {
    let entry = EntryInfo {
        name: "entry".parse().expect("valid"),
        domain: "d".parse().expect("valid"),
        incarnation: EntryIncarnation(1),
        caller_address: address(1),
        server_address: address(1),
        peer_address: address(1),
        operator_address: address(1),
        serving: true,
        owns_shards: true,
    };
    FreshnessRequest {
        entry: Some(entry),
        version: ViewVersion(0),
        known_replicas: 0,
        may_relay: false,
    }
}

fn drain(number: u128, expected: u64) -> Command {
    Command::Change(ChangeRequest {
        id: ChangeId(Uuid::from_u128(number)),
        expected_version: DocumentVersion(expected),
        action: ChangeAction::Drain("d".parse().expect("valid")),
    })
}

fn is_accepted(answer: &SubmitAnswer, version: u64) -> bool {
    let accepted = ChangeAnswer::Accepted { version: DocumentVersion(version) };
    *answer == SubmitAnswer::Applied(CommandAnswer::Change(accepted))
}

/// Guards against stale reads and lost changes: a partitioned leader still believes that it leads,
/// but must neither confirm a view nor accept a change without a quorum.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_leader_confirms_no_view_and_accepts_no_change() {
    let cluster = Cluster::start(3).await;
    let old_leader = cluster.leader().await;
    let granted = cluster.nodes[old_leader].handle.freshness(freshness_request()).await;
    assert!(matches!(granted, FreshnessAnswer::Granted(_)), "{granted:?}");
    cluster.isolate(old_leader);
    // Sent right after the partition, while the old leader still believes that it leads.
    let (view, change) = tokio::join!(
        cluster.nodes[old_leader].handle.freshness(freshness_request()),
        cluster.nodes[old_leader].handle.submit(drain(1, 0)),
    );
    assert!(matches!(view, FreshnessAnswer::NotLeader(_)), "{view:?}");
    assert!(!is_accepted(&change, 1), "{change:?}");
    let new_leader = cluster.leader().await;
    assert_ne!(new_leader, old_leader);
    let change = cluster.nodes[new_leader].handle.submit(drain(2, 0)).await;
    assert!(is_accepted(&change, 1), "{change:?}");
    cluster.nodes.iter().for_each(|node| node.switch.heal());
    pause(1_500).await;
    let view = cluster.nodes[old_leader].handle.view();
    assert!(view.is_drained(&"d".parse().expect("valid")), "the old leader follows");
    let status = cluster.nodes[old_leader].handle.status().await.expect("runs");
    assert_eq!(
        status.commit,
        cluster.nodes[new_leader].handle.status().await.expect("runs").commit
    );
}

/// Guards against slow recovery after a power loss on all hosts: entries whose requests came
/// before a leader was elected were rejected, and retried up to 200 ms after the election.
#[tokio::test(flavor = "multi_thread")]
async fn request_before_the_election_is_answered_once_there_is_a_leader() {
    let cluster = Cluster::start(3).await;
    let ask = |index: usize| cluster.nodes[index].handle.freshness(freshness_request());
    let answers = <[FreshnessAnswer; 3]>::from(tokio::join!(ask(0), ask(1), ask(2)));
    let is_granted = |answer: &&FreshnessAnswer| matches!(answer, FreshnessAnswer::Granted(_));
    let names_leader =
        |answer: &&FreshnessAnswer| matches!(answer, FreshnessAnswer::NotLeader(Some(_)));
    assert_eq!(answers.iter().filter(is_granted).count(), 1, "{answers:?}");
    assert_eq!(answers.iter().filter(names_leader).count(), 2, "{answers:?}");
}

fn granted(answer: FreshnessAnswer) -> FreshnessGrant {
    match answer {
        FreshnessAnswer::Granted(grant) => grant,
        FreshnessAnswer::NotLeader(_) => panic!("not granted"),
    }
}

/// Guards against stale follower reads: a follower may lag behind the leader, but must have applied
/// every change that was committed before the request.
#[tokio::test(flavor = "multi_thread")]
async fn followers_serve_views_with_all_changes_committed_before() {
    let cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let request = FreshnessRequest { may_relay: true, ..freshness_request() };
    for number in 0..20 {
        let change = cluster.nodes[leader].handle.submit(drain(number, number as u64)).await;
        assert!(is_accepted(&change, number as u64 + 1), "{change:?}");
        let follower = (leader + 1 + number as usize % 2) % 3;
        let grant = granted(cluster.nodes[follower].handle.freshness(request.clone()).await);
        assert!(
            matches!(grant.update, ViewTransfer::Packed { base: Some(_), .. }),
            "an entry without a view gets the whole view"
        );
        let view = grant.update.apply_to(&ClusterView::default()).expect("a whole view");
        let version = view.drain_version(&"d".parse().expect("valid"));
        assert_eq!(version, DocumentVersion(number as u64 + 1), "stale view from a follower");
    }
    let status = cluster.nodes[leader].handle.status().await.expect("runs");
    let ages: Vec<_> = status.entries.iter().map(|entry| entry.age_ms).collect();
    assert!(matches!(ages[..], [Some(_)]), "the leader tracks entries that followers serve");
}

#[tokio::test(flavor = "multi_thread")]
async fn grant_omits_replica_addresses_that_the_entry_already_knows() {
    let cluster = Cluster::start(3).await;
    let leader = &cluster.nodes[cluster.leader().await].handle;
    let first = granted(leader.freshness(freshness_request()).await);
    assert_eq!(first.replicas.len(), 3);
    let known_replicas = replicas_digest(first.replicas.iter().rev().map(|r| r.address));
    let request = FreshnessRequest { known_replicas, ..freshness_request() };
    assert!(granted(leader.freshness(request).await).replicas.is_empty());
    let others = replicas_digest(first.replicas[1..].iter().map(|r| r.address));
    let request = FreshnessRequest { known_replicas: others, ..freshness_request() };
    assert_eq!(granted(leader.freshness(request).await).replicas.len(), 3);
}

/// Guards against reports from processes that are not members: these must neither get a read index
/// nor register entries.
#[tokio::test(flavor = "multi_thread")]
async fn non_member_gets_no_read_index() {
    let cluster = Cluster::start(3).await;
    let leader = &cluster.nodes[cluster.leader().await].handle;
    let FreshnessRequest { entry, .. } = freshness_request();
    let request = |replica| {
        let changed = entry.clone().into_iter().collect();
        PeerRequest::ReadIndex(ReadIndexRequest { replica, entries: Vec::new(), changed })
    };
    let answer = leader.handle(&host(9), request(ReplicaId(999))).await;
    assert!(matches!(answer, Some(PeerAnswer::ReadIndex(None))), "{answer:?}");
    let status = leader.status().await.expect("runs");
    assert!(status.entries.is_empty(), "a non-member registers no entry");
    // Members are recognised by id: replicas that formed the set from seed addresses know each
    // other by address, not by host name.
    let member = cluster.nodes[0].identity;
    let answer = leader.handle(&host(9), request(member)).await;
    assert!(matches!(answer, Some(PeerAnswer::ReadIndex(Some(_)))), "{answer:?}");
}

/// Guards against stale follower reads during a partition, when the follower cannot learn what was
/// committed.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_follower_serves_no_entry() {
    let cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let follower = (leader + 1) % 3;
    let request = FreshnessRequest { may_relay: true, ..freshness_request() };
    granted(cluster.nodes[follower].handle.freshness(request.clone()).await);
    cluster.isolate(follower);
    let asked = cluster.nodes[follower].handle.freshness(request.clone());
    let answer = tokio::time::timeout(Duration::from_secs(5), asked).await;
    assert!(
        !matches!(answer, Ok(FreshnessAnswer::Granted(_))),
        "a follower without its leader cannot learn what was committed"
    );
    cluster.nodes.iter().for_each(|node| node.switch.heal());
}

/// A store whose disk is full while the flag is set.
struct FullStore {
    inner: FileStore,
    is_full: Arc<AtomicBool>,
}

impl FullStore {
    fn check(&self) -> Result<(), StoreError> {
        if self.is_full.load(Ordering::SeqCst) {
            let source = io::ErrorKind::StorageFull.into();
            return Err(StoreError::File { path: "log".into(), source });
        }
        Ok(())
    }
}

impl ReplicaStore for FullStore {
    fn append(&mut self, batch: &LogBatch) -> Result<(), StoreError> {
        self.check()?;
        self.inner.append(batch)
    }

    fn install_snapshot(
        &mut self,
        image: &consensus::SnapshotImage,
        batch: &LogBatch,
    ) -> Result<(), StoreError> {
        self.check()?;
        self.inner.install_snapshot(image, batch)
    }

    fn log_bytes(&self) -> u64 {
        self.inner.log_bytes()
    }
}

/// Guards against a replica that exits or stays stalled after a full disk: it must reject requests
/// while writes fail, and serve them again afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn replica_with_a_full_disk_rejects_requests_and_recovers() {
    let net = MemoryNet::default();
    let folder = tempdir().expect("folder");
    let (store, restored) = open(folder.path(), 1);
    let identity = store.identity();
    let is_full = Arc::new(AtomicBool::new(false));
    let store = FullStore { inner: store, is_full: is_full.clone() };
    let node = start(&net, 1, Box::new(store), identity, restored);
    let cluster = Cluster { net, nodes: vec![node], folders: vec![folder] };
    cluster.bootstrap().await;
    let handle = cluster.nodes[cluster.leader().await].handle.clone();
    assert!(is_accepted(&handle.submit(drain(1, 0)).await, 1));
    is_full.store(true, Ordering::SeqCst);
    // The first command is already proposed when the write fails, so its outcome is unknown.
    assert_eq!(handle.submit(drain(2, 1)).await, SubmitAnswer::Unknown);
    assert!(matches!(handle.submit(drain(3, 1)).await, SubmitAnswer::Refused(_)));
    let view = handle.freshness(freshness_request()).await;
    assert!(matches!(view, FreshnessAnswer::NotLeader(_)), "{view:?}");
    assert!(handle.status().await.expect("alive").is_stalled);
    is_full.store(false, Ordering::SeqCst);
    pause(300).await;
    assert!(!handle.status().await.expect("alive").is_stalled);
    cluster.leader().await;
    let again = handle.submit(drain(2, 1)).await;
    assert!(is_accepted(&again, 2), "{again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_after_a_thousand_changes_loses_none() {
    let mut cluster = Cluster::start(1).await;
    let handle = cluster.nodes[cluster.leader().await].handle.clone();
    for number in 0..1_000 {
        let answer = handle.submit(drain(u128::from(number) + 1, number)).await;
        assert!(is_accepted(&answer, number + 1), "{answer:?}");
    }
    handle.stop().await;
    drop(handle);
    let node = cluster.nodes.remove(0);
    drop(node);
    let folder = cluster.folders[0].path().to_owned();
    let started = Instant::now();
    let (store, restored) = loop {
        // The thread of the stopped replica closes its files shortly after it replies.
        match FileStore::open(&folder, ReplicaId(9)) {
            Ok(opened) => break opened,
            Err(StoreError::InUse { .. }) if started.elapsed() < Duration::from_secs(20) => {
                pause(10).await;
            }
            Err(error) => panic!("{error}"),
        }
    };
    let identity = store.identity();
    assert_eq!(identity, ReplicaId(1), "the identity stored in the folder");
    cluster.nodes.push(start(&cluster.net, 1, Box::new(store), identity, restored));
    let handle = cluster.nodes[cluster.leader().await].handle.clone();
    for number in [0, 499, 999] {
        let answer = handle.submit(drain(u128::from(number) + 1, number)).await;
        assert!(is_accepted(&answer, number + 1), "resent: {answer:?}");
    }
    let version = handle.view().drain_version(&"d".parse().expect("valid"));
    assert_eq!(version, DocumentVersion(1_000));
}
