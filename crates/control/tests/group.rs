//! The set of replicas forms itself from seeds over real links and disks, and repairs itself.

use consensus::{CoreSettings, MemberRole, ReplicaId};
use follow::LeaderClient;
use hawthornhill_control::{GroupKeeper, GroupSettings, seed_identity};
use peer::{PeerAnswer, PeerHandler, PeerLink, PeerRequest, PeerTarget, StreamNode};
use replica::{
    FileStore, LEADER_WAIT, ReplicaHandle, ReplicaSettings, ReplicaStatus, start_replica,
};
use runtime::{EventTimeline, LogFormat, MetricsRegistry, TimerService, root_logger};
use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};
use types::HostName;

/// Longest wait for a change; far above what it takes, since only the change counts.
const LIMIT: Duration = Duration::from_secs(60);

struct ReplicaOnly(ReplicaHandle);

#[async_trait::async_trait]
impl PeerHandler for ReplicaOnly {
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer {
        let answer = self.0.handle(host, request).await;
        answer.unwrap_or_else(|| PeerAnswer::Refused("not for a replica".to_owned()))
    }
}

/// One replica with its keeper, as a process would run them.
struct TestReplica {
    handle: ReplicaHandle,
    server: JoinHandle<()>,
    keeper: JoinHandle<()>,
}

impl TestReplica {
    fn start(listener: TcpListener, seeds: &[SocketAddr], folder: &Path, is_first: bool) -> Self {
        let address = listener.local_addr().expect("bound");
        let host: HostName = format!("core-{}", address.port()).parse().expect("name");
        let timeline = EventTimeline::new(host.as_str());
        let counters = MetricsRegistry::default().decisions("x", "x");
        let node = StreamNode::new(host.clone(), timeline.clone(), counters.clone());
        let link: Arc<dyn PeerLink> = Arc::new(node.clone());
        let target = |address: &SocketAddr| PeerTarget { host: host.clone(), address: *address };
        let targets = seeds.iter().map(target).collect();
        let leader = Arc::new(LeaderClient::new(link.clone(), targets));
        let identity = if is_first { seed_identity(address) } else { ReplicaId(rand::random()) };
        let (store, restored) = FileStore::open(folder, identity).expect("a usable folder");
        let logger = root_logger(LogFormat::Json, host.as_str());
        let timer = TimerService::start();
        let settings = ReplicaSettings {
            identity: store.identity(),
            host: host.clone(),
            address,
            domain: "d".parse().expect("valid"),
            core: CoreSettings { seed: u64::from(address.port()), ..CoreSettings::default() },
            leader_wait: LEADER_WAIT,
            link,
            timer: timer.clone(),
            timeline,
            counters,
            logger: logger.clone(),
        };
        let handle = start_replica(settings, Box::new(store), restored).expect("started");
        let server = tokio::spawn(node.serve(listener, Arc::new(ReplicaOnly(handle.clone()))));
        let group = GroupSettings {
            host,
            address,
            seeds: seeds.to_vec(),
            is_first_start: is_first,
            min_voters: 3,
        };
        let keeper = GroupKeeper::new(group, handle.clone(), leader, logger);
        let keeper = tokio::spawn(keeper.run(timer));
        Self { handle, server, keeper }
    }

    async fn status(&self) -> ReplicaStatus {
        self.handle.status().await.expect("running")
    }

    async fn stop(self) {
        self.keeper.abort();
        self.server.abort();
        self.handle.stop().await;
    }
}

async fn wait_for_voters(replica: &TestReplica, count: usize, absent: Option<ReplicaId>) {
    let started = Instant::now();
    loop {
        let status = replica.status().await;
        let voters = status.members.iter().filter(|m| m.member.role == MemberRole::Voter).count();
        let is_gone = absent.is_none_or(|id| status.members.iter().all(|m| m.member.id != id));
        if voters == count && status.members.len() == count && is_gone {
            return;
        }
        assert!(started.elapsed() < LIMIT, "{:?}", status.members);
        sleep(Duration::from_millis(20)).await;
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

#[tokio::test]
async fn seeds_form_a_set_that_others_join_and_that_replaces_a_lost_disk() {
    let folders = tempfile::tempdir().expect("a folder");
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(listen().await);
    }
    let seeds: Vec<SocketAddr> =
        listeners[..3].iter().map(|l| l.local_addr().expect("bound")).collect();
    let mut replicas = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let folder = folders.path().join(number.to_string());
        replicas.push(TestReplica::start(listener, &seeds, &folder, true));
    }
    for replica in &replicas {
        wait_for_voters(replica, 4, None).await;
    }
    // The last seed loses its disk and starts again at its address.
    let lost = replicas.remove(2);
    let (former, address) = (lost.status().await.id, seeds[2]);
    lost.stop().await;
    let started = Instant::now();
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => assert!(started.elapsed() < LIMIT, "{error}"),
        }
        sleep(Duration::from_millis(20)).await;
    };
    let folder = folders.path().join("empty");
    replicas.push(TestReplica::start(listener, &seeds, &folder, false));
    for replica in &replicas {
        wait_for_voters(replica, 4, Some(former)).await;
    }
}
