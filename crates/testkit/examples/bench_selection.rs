//! Compares server selectors in the selection code of real pools (`policy::ServiceBalancer`), with
//! fake servers over sockets, in several interleaved rounds.
//!
//! Run: `cargo run --release -p hawthornhill-testkit --example bench_selection`

use hawthornhill_testkit::{
    FakeBehaviour, FakeMode, FakeServer, FakeServerSettings, HttpClient, HttpRequest,
    InFlightSelector, RandomSelector, latency_histogram,
};
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use policy::{
    AttemptOutcome, BalancerSettings, LatencySelector, PickResult, ServerReport, ServerSelector,
    ServerStatus, ServiceBalancer,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;
use types::{Announcement, ServerIncarnation, ServerRecord, ServerStage, ServerState, header};

/// Rounds of each case, with the selectors interleaved.
const ROUNDS: u64 = 5;
/// Entries that share the servers; each counts only its own requests in flight.
const ENTRIES: usize = 3;
/// Length of one run.
const RUN_TIME: Duration = Duration::from_millis(700);
/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(8);
/// Time for which a request occupies a slot, used to compute the capacity; longer than
/// [`SERVICE_TIME`].
const SLOT_TIME: Duration = Duration::from_micros(9_200);
/// Length of the phases in which a noisy neighbour alternates between absent and present, in
/// milliseconds.
const NOISE_PHASE_MS: u128 = 60;

/// Fault of one of the servers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ServerFault {
    None,
    /// Three times slower, in alternating phases.
    NoisyNeighbour,
    /// Six times slower.
    SuddenlySlow,
    /// Answers every request with status 500 at once.
    FailFast,
}

/// Number and size of the servers of a user's service.
struct ServiceSize {
    name: &'static str,
    servers: usize,
    slots: u32,
}

/// One entry's pool, with a queue of requests that wait for free capacity.
struct EntryPool {
    load: Mutex<(ServiceBalancer, VecDeque<oneshot::Sender<()>>, SmallRng)>,
}

impl EntryPool {
    fn new(selector: Arc<dyn ServerSelector>, servers: &[FakeServer], seed: u64) -> Self {
        let mut load = ServiceBalancer::new(BalancerSettings {
            cold_concurrency: 1,
            max_ejected_percent: 50,
            selector,
        });
        load.update(servers.iter().map(server_view).collect());
        Self { load: Mutex::new((load, VecDeque::new(), SmallRng::seed_from_u64(seed))) }
    }

    /// Sends a request to a selected server. Returns whether it succeeded; a request that waits in
    /// the queue until the deadline fails.
    async fn call(&self, client: &HttpClient, deadline: Instant) -> bool {
        let server = loop {
            let waiting = {
                let (load, queue, rng) = &mut *self.load.lock();
                match load.pick(&[], false, |_| true, Instant::now(), rng) {
                    PickResult::Picked(server) => break server,
                    PickResult::Busy | PickResult::NoneEligible { .. } => {
                        let (sender, receiver) = oneshot::channel();
                        queue.push_back(sender);
                        receiver
                    }
                }
            };
            if tokio::time::timeout_at(deadline.into(), waiting).await.is_err() {
                return false;
            }
        };
        let started = Instant::now();
        let answer = client.send(server.address, HttpRequest::get("/x")).await;
        let (outcome, report) = match &answer {
            Ok(answer) if answer.status == 200 => {
                let load = answer.header(header::LOAD).parse().ok();
                let report = ServerReport { load, ..ServerReport::default() };
                (AttemptOutcome::Success(started.elapsed()), report)
            }
            Ok(answer) if answer.status == 503 => (AttemptOutcome::Shed, ServerReport::default()),
            _ => (AttemptOutcome::ServerError, ServerReport::default()),
        };
        let (load, queue, _) = &mut *self.load.lock();
        load.release(&server, outcome, &report, Instant::now());
        while let Some(waiter) = queue.pop_front() {
            if waiter.send(()).is_ok() {
                break;
            }
        }
        matches!(outcome, AttemptOutcome::Success(_))
    }
}

fn server_view(server: &FakeServer) -> ServerStatus {
    let announcement = Announcement {
        server: server.name().clone(),
        service: "s".parse().expect("valid"),
        address: server.address(),
        domain: server.domain().clone(),
        slots: server.slots() as u16,
        incarnation: ServerIncarnation(1),
        sequence: 0,
        state: ServerState::Ready,
    };
    let record = ServerRecord { announcement, stage: ServerStage::Warm };
    let owner = "e".parse().expect("valid");
    ServerStatus { record, owner, may_warm: false, is_drained: false }
}

async fn start_servers(size: &ServiceSize) -> Vec<FakeServer> {
    let mut servers = Vec::new();
    for number in 0..size.servers {
        let settings = FakeServerSettings {
            name: format!("s-{number}").parse().expect("valid"),
            service: "s".parse().expect("valid"),
            domain: "d".parse().expect("valid"),
            entries: Vec::new(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed: number as u64,
        };
        let behaviour = FakeBehaviour {
            slots: size.slots,
            service_time: SERVICE_TIME,
            jitter: 0.5,
            queue_limit: 16,
            ..FakeBehaviour::default()
        };
        servers.push(FakeServer::start(settings, behaviour).await.expect("starts"));
    }
    servers
}

fn set_fault(server: &FakeServer, fault: ServerFault, is_active: bool) {
    server.update_behaviour(|behaviour| {
        behaviour.slowdown = match fault {
            ServerFault::SuddenlySlow if is_active => 6.0,
            ServerFault::NoisyNeighbour if is_active => 3.0,
            _ => 1.0,
        };
        behaviour.mode = match fault {
            ServerFault::FailFast if is_active => FakeMode::FailFast,
            _ => FakeMode::Normal,
        };
    });
}

/// Sends requests at a fixed rate for one run. Returns the latencies of the successful requests and
/// the number of failed ones.
async fn run_once(
    servers: &[FakeServer],
    selector: Arc<dyn ServerSelector>,
    rate: f64,
    fault: ServerFault,
    seed: u64,
) -> (Histogram<u64>, u64) {
    let pools: Arc<Vec<EntryPool>> = Arc::new(
        (0..ENTRIES).map(|n| EntryPool::new(selector.clone(), servers, seed + n as u64)).collect(),
    );
    let client = HttpClient::default();
    let results = Arc::new(Mutex::new((latency_histogram(), 0_u64)));
    let total = (rate * RUN_TIME.as_secs_f64()) as u64;
    let shared = results.clone();
    let runtime = tokio::runtime::Handle::current();
    let scheduler = tokio::task::spawn_blocking(move || {
        let started = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..total {
            let scheduled = started + Duration::from_secs_f64(number as f64 / rate);
            std::thread::sleep(scheduled.saturating_duration_since(Instant::now()));
            let (pools, client, shared) = (pools.clone(), client.clone(), shared.clone());
            tasks.push(runtime.spawn(async move {
                let pool = &pools[number as usize % ENTRIES];
                let is_good = pool.call(&client, scheduled + Duration::from_secs(1)).await;
                let mut shared = shared.lock();
                if is_good {
                    shared.0.saturating_record(scheduled.elapsed().as_micros() as u64);
                } else {
                    shared.1 += 1;
                }
            }));
        }
        tasks
    });
    // The fault starts after a quarter of the run; a noisy neighbour alternates between phases.
    let run_start = Instant::now();
    let mut is_active = false;
    while run_start.elapsed() < RUN_TIME {
        let elapsed_ms = run_start.elapsed().as_millis();
        let must_be_active = elapsed_ms > RUN_TIME.as_millis() / 4
            && (fault != ServerFault::NoisyNeighbour
                || (elapsed_ms / NOISE_PHASE_MS).is_multiple_of(2));
        if must_be_active != is_active {
            set_fault(&servers[0], fault, must_be_active);
            is_active = must_be_active;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for task in scheduler.await.expect("the scheduler ends") {
        task.await.expect("a request ends");
    }
    set_fault(&servers[0], fault, false);
    let results = results.lock();
    (results.0.clone(), results.1)
}

#[tokio::main]
async fn main() {
    let sizes = [
        ServiceSize { name: "Flakonwerk proofdesk", servers: 12, slots: 3 },
        ServiceSize { name: "Plinoterm zaloga", servers: 11, slots: 2 },
    ];
    let selectors: [(&str, Arc<dyn ServerSelector>); 3] = [
        ("random", Arc::new(RandomSelector)),
        ("two by in-flight", Arc::new(InFlightSelector)),
        ("two by latency", Arc::new(LatencySelector)),
    ];
    println!(
        "medians of {ROUNDS} rounds (lowest to highest p99), {ENTRIES} entries, 8 ms per request"
    );
    for size in &sizes {
        let servers = start_servers(size).await;
        let capacity = size.servers as f64 * f64::from(size.slots) / SLOT_TIME.as_secs_f64();
        for fault in [
            ServerFault::None,
            ServerFault::NoisyNeighbour,
            ServerFault::SuddenlySlow,
            ServerFault::FailFast,
        ] {
            for share in [0.5, 0.7, 0.9, 1.1] {
                let mut results: Vec<Vec<(f64, f64, f64, u64)>> = vec![Vec::new(); selectors.len()];
                for round in 0..ROUNDS {
                    for (results, (_, selector)) in results.iter_mut().zip(&selectors) {
                        let rate = capacity * share;
                        let (latency, failed) =
                            run_once(&servers, selector.clone(), rate, fault, round).await;
                        let ms = |q| latency.value_at_quantile(q) as f64 / 1_000.0;
                        results.push((ms(0.5), ms(0.99), ms(0.999), failed));
                    }
                }
                for (results, (name, _)) in results.iter_mut().zip(&selectors) {
                    results.sort_by(|a, b| a.1.total_cmp(&b.1));
                    let median = results[results.len() / 2];
                    println!(
                        "{:<21} {fault:<15?} {share:.1} {name:<17} p50 {:>6.1} p99 {:>6.1} \
                         ({:.1}-{:.1}) p99.9 {:>6.1} failed {}",
                        size.name,
                        median.0,
                        median.1,
                        results[0].1,
                        results[results.len() - 1].1,
                        median.2,
                        median.3
                    );
                }
            }
        }
    }
}
