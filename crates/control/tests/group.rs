//! Changes of the set of replicas over real connections and disks: bootstrap from seeds, a later
//! join, and replacement of a replica that lost its disk.

use consensus::{CoreSettings, MemberRole, MembershipChange, ReplicaId};
use follow::LeaderClient;
use hawthornhill_control::{MembershipManager, MembershipSettings, VoterLimits, seed_identity};
use peer::{PeerAnswer, PeerHandler, PeerLink, PeerRequest, PeerTarget, TcpNode};
use replica::{
    FileStore, HistoryLimits, LEADER_WAIT, ReplicaHandle, ReplicaSettings, ReplicaStatus,
    start_replica,
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

/// Timeout of a wait for a membership change; far above the usual time, since the test checks only
/// that the change happens.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

struct ReplicaPeerHandler(ReplicaHandle);

#[async_trait::async_trait]
impl PeerHandler for ReplicaPeerHandler {
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer {
        let answer = self.0.handle(host, request).await;
        answer.unwrap_or_else(|| PeerAnswer::Refused("not for a replica".to_owned()))
    }
}

/// One replica with its membership manager, as a process runs them.
struct TestReplica {
    handle: ReplicaHandle,
    server: JoinHandle<()>,
    manager: JoinHandle<()>,
}

impl TestReplica {
    fn start(
        listener: TcpListener,
        seeds: &[SocketAddr],
        folder: &Path,
        is_first_start: bool,
    ) -> Self {
        let address = listener.local_addr().expect("bound");
        let host: HostName = format!("core-{}", address.port()).parse().expect("name");
        let timeline = EventTimeline::new(host.as_str());
        let counters = MetricsRegistry::default().decisions("x", "x");
        let node = TcpNode::new(host.clone(), timeline.clone(), counters.clone());
        let link: Arc<dyn PeerLink> = Arc::new(node.clone());
        let target = |address: &SocketAddr| PeerTarget { host: host.clone(), address: *address };
        let targets = seeds.iter().map(target).collect();
        let leader = Arc::new(LeaderClient::new(link.clone(), targets));
        let identity =
            if is_first_start { seed_identity(address) } else { ReplicaId(rand::random()) };
        let (store, restored) = FileStore::open(folder, identity).expect("a usable folder");
        let logger = root_logger(LogFormat::Json, host.as_str());
        let timer = TimerService::start();
        let settings = ReplicaSettings {
            identity: store.identity(),
            host: host.clone(),
            address,
            domain: "d".parse().expect("valid"),
            core: CoreSettings { seed: u64::from(address.port()), ..CoreSettings::default() },
            history: HistoryLimits::default(),
            leader_wait: LEADER_WAIT,
            link: link.clone(),
            timer: timer.clone(),
            timeline,
            counters,
            logger: logger.clone(),
        };
        let handle = start_replica(settings, Box::new(store), restored).expect("started");
        let server =
            tokio::spawn(node.serve(listener, Arc::new(ReplicaPeerHandler(handle.clone()))));
        let membership_settings = MembershipSettings {
            host,
            address,
            seeds: seeds.to_vec(),
            domain: "d".parse().expect("valid"),
            is_first_start,
            limits: VoterLimits::for_losses(1),
        };
        let manager =
            MembershipManager::new(membership_settings, handle.clone(), leader, link, logger);
        let manager = tokio::spawn(manager.run(timer));
        Self { handle, server, manager }
    }

    async fn status(&self) -> ReplicaStatus {
        self.handle.status().await.expect("running")
    }

    async fn stop(self) {
        self.manager.abort();
        self.server.abort();
        self.handle.stop().await;
    }
}

async fn wait_for_voters(replica: &TestReplica, count: usize, absent: Option<ReplicaId>) {
    let started = Instant::now();
    loop {
        let status = replica.status().await;
        let voters = status.members.iter().filter(|m| m.member.role == MemberRole::Voter).count();
        let is_removed = absent.is_none_or(|id| status.members.iter().all(|m| m.member.id != id));
        if voters == count && status.members.len() == count && is_removed {
            return;
        }
        assert!(started.elapsed() < CHANGE_TIMEOUT, "{:?}", status.members);
        sleep(Duration::from_millis(20)).await;
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

/// Guards against a lost disk that permanently costs the set of replicas a voter. The replica
/// restarts with a new identity at the same address: this one must become a voter, and the previous
/// one must be removed.
#[tokio::test]
async fn replica_joins_the_bootstrapped_set_and_a_seed_that_lost_its_disk_is_replaced() {
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
    // The last seed loses its disk and restarts at its address.
    let lost = replicas.remove(2);
    let (lost_id, address) = (lost.status().await.id, seeds[2]);
    lost.stop().await;
    let started = Instant::now();
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => assert!(started.elapsed() < CHANGE_TIMEOUT, "{error}"),
        }
        sleep(Duration::from_millis(20)).await;
    };
    let folder = folders.path().join("empty");
    replicas.push(TestReplica::start(listener, &seeds, &folder, false));
    for replica in &replicas {
        wait_for_voters(replica, 4, Some(lost_id)).await;
    }
}

/// Guards against a replica that stays outside for good: it was removed while it was away, and its
/// own log still says that it is a voter. It receives no log, so it never learns otherwise.
#[tokio::test]
async fn member_that_was_removed_while_it_was_away_joins_again() {
    let folders = tempfile::tempdir().expect("a folder");
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(listen().await);
    }
    let seeds: Vec<SocketAddr> =
        listeners[..3].iter().map(|l| l.local_addr().expect("bound")).collect();
    let address = listeners[3].local_addr().expect("bound");
    let mut replicas = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let folder = folders.path().join(number.to_string());
        replicas.push(TestReplica::start(listener, &seeds, &folder, true));
    }
    for replica in &replicas {
        wait_for_voters(replica, 4, None).await;
    }
    let away = replicas.remove(3);
    let away_id = away.status().await.id;
    away.stop().await;
    let started = Instant::now();
    while replicas[0].status().await.members.len() > 3 {
        for replica in &replicas {
            replica.handle.change_membership(MembershipChange::Remove(away_id)).await;
        }
        assert!(started.elapsed() < CHANGE_TIMEOUT);
        sleep(Duration::from_millis(20)).await;
    }
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => assert!(started.elapsed() < CHANGE_TIMEOUT, "{error}"),
        }
        sleep(Duration::from_millis(20)).await;
    };
    replicas.push(TestReplica::start(listener, &seeds, &folders.path().join("3"), false));
    for replica in &replicas {
        wait_for_voters(replica, 4, None).await;
    }
    assert_eq!(replicas[3].status().await.id, away_id, "it has its disk");
}
