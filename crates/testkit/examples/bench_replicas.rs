//! Benchmarks the replicated state on this machine's disk: claims, replica restarts and changes.
//!
//! Run: `cargo run --release -p hawthornhill-testkit --example bench_replicas`

use async_trait::async_trait;
use consensus::{CoreSettings, Member, MemberRole, ReplicaId};
use hawthornhill_testkit::{MemoryNet, TestSystem, latency_histogram, sleep_ms};
use peer::{PeerAnswer, PeerHandler, PeerRequest, SubmitAnswer};
use replica::{
    FileStore, HistoryLimits, LEADER_WAIT, ReplicaHandle, ReplicaSettings, start_replica,
};
use runtime::{EventTimeline, MetricsRegistry, TimerService};
use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{AttemptId, ChangeAction, ChangeAnswer, ClaimKey, ClaimRequest, Command, HostName};
use uuid::Uuid;

/// Path of the daemon, built by `cargo build --release`.
const PROGRAM: &str = "target/release/hawthornhill";
/// Claims measured at each concurrency above 1.
const CLAIMS: usize = 20_000;

struct ReplicaHandler(ReplicaHandle);

#[async_trait]
impl PeerHandler for ReplicaHandler {
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer {
        self.0.handle(host, request).await.unwrap_or(PeerAnswer::Done)
    }
}

fn start_member(net: &MemoryNet, folder: &Path, number: u16) -> (ReplicaHandle, ReplicaId) {
    let host: HostName = format!("host-{number}").parse().expect("valid");
    let (store, restored) = FileStore::open(folder, ReplicaId(u64::from(number))).expect("opens");
    let identity = store.identity();
    let address = SocketAddr::from(([127, 0, 0, 1], number));
    let settings = ReplicaSettings {
        identity,
        host: host.clone(),
        address,
        domain: "d".parse().expect("valid"),
        core: CoreSettings { seed: u64::from(number), ..CoreSettings::default() },
        history: HistoryLimits::default(),
        leader_wait: LEADER_WAIT,
        link: net.link(host),
        timer: TimerService::start(),
        timeline: EventTimeline::new("bench"),
        counters: MetricsRegistry::default().decisions("replica", "bench"),
        logger: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let handle = start_replica(settings, Box::new(store), restored).expect("starts");
    net.register(address, Arc::new(ReplicaHandler(handle.clone())));
    (handle, identity)
}

/// Waits until one of the replicas is the leader and returns its handle.
async fn wait_for_leader(handles: &[ReplicaHandle]) -> ReplicaHandle {
    loop {
        for handle in handles {
            if handle.status().await.is_ok_and(|status| status.is_leader) {
                return handle.clone();
            }
        }
        sleep_ms(10).await;
    }
}

/// Returns a claim with a new key.
fn new_claim() -> Command {
    let key = ClaimKey { service: "najem".parse().expect("valid"), key: Uuid::now_v7() };
    let entry = "entry".parse().expect("valid");
    let attempt = AttemptId(Uuid::new_v4());
    Command::Claim(ClaimRequest { key, digest: 0, attempt, entry })
}

async fn measure_claims(folder: &Path) {
    let net = MemoryNet::default();
    let started: Vec<_> =
        (1..=3).map(|n| start_member(&net, &folder.join(format!("r{n}")), n)).collect();
    let members: Vec<Member> = (1..=3)
        .zip(&started)
        .map(|(number, (_, id))| Member {
            id: *id,
            host: format!("host-{number}").parse().expect("valid"),
            address: SocketAddr::from(([127, 0, 0, 1], number)),
            domain: None,
            role: MemberRole::Voter,
        })
        .collect();
    let handles: Vec<ReplicaHandle> = started.into_iter().map(|(handle, _)| handle).collect();
    for handle in &handles {
        handle.bootstrap(members.clone()).await.expect("bootstrap succeeds");
    }
    let leader = wait_for_leader(&handles).await;
    println!("claims, 3 replicas, synced files, in-process links");
    println!("{:>12} {:>12} {:>9} {:>9}", "concurrency", "claims/s", "p50 ms", "p99 ms");
    for concurrency in [1, 8, 32, 128] {
        let count = if concurrency == 1 { CLAIMS / 20 } else { CLAIMS };
        let started = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..concurrency {
            let leader = leader.clone();
            tasks.spawn(async move {
                let mut latencies = Vec::new();
                for _ in 0..count / concurrency {
                    let sent = Instant::now();
                    let answer = leader.submit(new_claim()).await;
                    assert!(matches!(answer, SubmitAnswer::Applied(_)), "{answer:?}");
                    latencies.push(sent.elapsed().as_micros() as u64);
                }
                latencies
            });
        }
        let mut histogram = latency_histogram();
        while let Some(latencies) = tasks.join_next().await {
            latencies.expect("joined").into_iter().for_each(|us| histogram.saturating_record(us));
        }
        let rate = histogram.len() as f64 / started.elapsed().as_secs_f64();
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        println!("{concurrency:>12} {rate:>12.0} {:>9.2} {:>9.2}", ms(0.5), ms(0.99));
    }
}

async fn measure_restart(folder: &Path) {
    println!(
        "restart of one replica: time to open the files; time to open, replay and become leader"
    );
    println!("{:>12} {:>12} {:>12}", "changes", "open ms", "leader ms");
    let mut version = 0;
    for (round, total) in [100_u64, 1_000, 10_000, 50_000].into_iter().enumerate() {
        let net = MemoryNet::default();
        let (handle, id) = start_member(&net, folder, 1);
        if round == 0 {
            let member = Member {
                id,
                host: "host-1".parse().expect("valid"),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: None,
                role: MemberRole::Voter,
            };
            handle.bootstrap(vec![member]).await.expect("bootstrap succeeds");
        }
        wait_for_leader(std::slice::from_ref(&handle)).await;
        while version < total {
            let batch = (total - version).min(256);
            let mut tasks = tokio::task::JoinSet::new();
            for number in 0..batch {
                let handle = handle.clone();
                let domain = format!("d{}", (version + number) % 1_000).parse().expect("valid");
                let change = types::ChangeRequest {
                    id: types::ChangeId(Uuid::now_v7()),
                    expected_version: types::DocumentVersion((version + number) / 1_000),
                    action: ChangeAction::Drain(domain),
                };
                tasks.spawn(async move { handle.submit(Command::Change(change)).await });
            }
            while tasks.join_next().await.is_some() {}
            version += batch;
        }
        handle.stop().await;
        drop(handle);
        drop(net);
        sleep_ms(300).await;
        let started = Instant::now();
        let opened = FileStore::open(folder, ReplicaId(1)).expect("opens");
        let open_ms = started.elapsed().as_secs_f64() * 1e3;
        drop(opened);
        let net = MemoryNet::default();
        let started = Instant::now();
        let (handle, _) = start_member(&net, folder, 1);
        wait_for_leader(std::slice::from_ref(&handle)).await;
        let leader_ms = started.elapsed().as_secs_f64() * 1e3;
        println!("{total:>12} {open_ms:>12.1} {leader_ms:>12.0}");
        handle.stop().await;
        sleep_ms(300).await;
    }
}

/// Submits a change and returns the time until the views of all entries contain it.
async fn time_until_in_force(system: &TestSystem, version: u64) -> Duration {
    let started = Instant::now();
    let answer = system.drain("nowhere", version).await;
    assert!(matches!(answer, ChangeAnswer::Accepted { .. }), "{answer:?}");
    loop {
        let mut is_in_force = true;
        for index in 0..system.group.processes.len() {
            let endpoint = system.endpoint(index);
            let page =
                system.operator_client.get::<operator::ViewPage>(&endpoint, "/v1/view/local").await;
            is_in_force &= page
                .is_ok_and(|page| page.drains.iter().any(|drain| drain.version.0 == version + 1));
        }
        if is_in_force {
            return started.elapsed();
        }
    }
}

async fn measure_changes() {
    println!(
        "time from submitting a change until it is in force at all 5 entries, ms (target: at most 2500)"
    );
    let mut system = TestSystem::start(PROGRAM, 3, 5).await;
    let mut no_fault_ms = Vec::new();
    for version in 0..40 {
        no_fault_ms.push(time_until_in_force(&system, version).await.as_millis());
    }
    no_fault_ms.sort_unstable();
    println!("no fault: p50 {} max {} of 40", no_fault_ms[20], no_fault_ms[39]);
    let mut leader_killed = Vec::new();
    for round in 0..10 {
        let leader = system.leader().await;
        system.group.kill(leader).expect("killed");
        let started = Instant::now();
        let answer = system.drain("nowhere", 40 + round).await;
        assert!(matches!(answer, ChangeAnswer::Accepted { .. }), "{answer:?}");
        let accepted = started.elapsed();
        system.group.spawn(leader).expect("starts");
        let mut pending: Vec<usize> =
            (0..system.group.processes.len()).filter(|index| *index != leader).collect();
        while !pending.is_empty() {
            let endpoint = system.endpoint(pending[0]);
            let page =
                system.operator_client.get::<operator::ViewPage>(&endpoint, "/v1/view/local").await;
            if page.is_ok_and(|page| page.drains.iter().any(|drain| drain.version.0 == 41 + round))
            {
                pending.remove(0);
            }
        }
        leader_killed.push((started.elapsed().as_millis(), accepted.as_millis()));
        sleep_ms(2_000).await;
    }
    leader_killed.sort_unstable();
    println!(
        "submitted right after the leader is killed: p50 {} max {} of 10",
        leader_killed[5].0, leader_killed[9].0
    );
}

#[tokio::main]
async fn main() {
    let folder = tempfile::tempdir_in("target").expect("temporary folder is created in target");
    measure_claims(folder.path()).await;
    measure_restart(&folder.path().join("restart")).await;
    measure_changes().await;
}
