//! Measures ways of choosing a server side by side: real pools' choice (`policy::ServiceLoad`)
//! with fakes over sockets, interleaved, several repetitions.
//!
//! Run: `cargo run --release -p hawthornhill-testkit --example bench_selection`

use hawthornhill_testkit::{
    FakeBehaviour, FakeServer, FakeServerSettings, HttpClient, HttpRequest, InFlightSelector,
    RandomSelector, latency_histogram,
};
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use policy::{
    AttemptOutcome, LatencySelector, LoadSettings, PickResult, ServerReport, ServerSelector,
    ServerView, ServiceLoad,
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

/// Repetitions of each case, all ways interleaved.
const ROUNDS: u64 = 5;
/// Entries that share the servers without knowing of each other's requests.
const ENTRIES: usize = 3;
/// Length of one run.
const RUN: Duration = Duration::from_millis(700);

/// What is wrong with one of the servers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    NoisyNeighbour,
    SuddenlySlow,
    FailFast,
}

struct UserSize {
    name: &'static str,
    servers: usize,
    slots: u32,
}

/// One entry's pool, with a queue for requests that find no room.
struct Pool {
    load: Mutex<(ServiceLoad, VecDeque<oneshot::Sender<()>>, SmallRng)>,
}

impl Pool {
    fn new(selector: Arc<dyn ServerSelector>, servers: &[FakeServer], seed: u64) -> Self {
        let mut load = ServiceLoad::new(LoadSettings {
            cold_concurrency: 1,
            max_ejected_percent: 50,
            selector,
        });
        load.update(servers.iter().map(server_view).collect());
        Self { load: Mutex::new((load, VecDeque::new(), SmallRng::seed_from_u64(seed))) }
    }

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
        let (outcome, stated) = match &answer {
            Ok(answer) if answer.status == 200 => {
                let load = answer.header(header::LOAD).parse().ok();
                let stated = ServerReport { load, ..ServerReport::default() };
                (AttemptOutcome::Success(started.elapsed()), stated)
            }
            Ok(answer) if answer.status == 503 => (AttemptOutcome::Shed, ServerReport::default()),
            _ => (AttemptOutcome::ServerError, ServerReport::default()),
        };
        let (load, queue, _) = &mut *self.load.lock();
        load.release(&server, outcome, &stated, Instant::now());
        while let Some(next) = queue.pop_front() {
            if next.send(()).is_ok() {
                break;
            }
        }
        matches!(outcome, AttemptOutcome::Success(_))
    }
}

fn server_view(server: &FakeServer) -> ServerView {
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
    ServerView { record, owner, may_warm: false, is_drained: false }
}

async fn start_servers(size: &UserSize) -> Vec<FakeServer> {
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
            service_time: Duration::from_millis(8),
            jitter: 0.5,
            queue_limit: 16,
            ..FakeBehaviour::default()
        };
        servers.push(FakeServer::start(settings, behaviour).await.expect("starts"));
    }
    servers
}

fn set_trouble(server: &FakeServer, trouble: Trouble, on: bool) {
    server.change(|behaviour| {
        behaviour.slowness = match trouble {
            Trouble::SuddenlySlow if on => 6.0,
            Trouble::NoisyNeighbour if on => 3.0,
            _ => 1.0,
        };
        behaviour.mode = match trouble {
            Trouble::FailFast if on => hawthornhill_testkit::FakeMode::FailFast,
            _ => hawthornhill_testkit::FakeMode::Normal,
        };
    });
}

async fn run_once(
    servers: &[FakeServer],
    selector: Arc<dyn ServerSelector>,
    rate: f64,
    trouble: Trouble,
    seed: u64,
) -> (Histogram<u64>, u64) {
    let pools: Arc<Vec<Pool>> = Arc::new(
        (0..ENTRIES).map(|n| Pool::new(selector.clone(), servers, seed + n as u64)).collect(),
    );
    let client = HttpClient::default();
    let results = Arc::new(Mutex::new((latency_histogram(), 0_u64)));
    let total = (rate * RUN.as_secs_f64()) as u64;
    let shared = results.clone();
    let runtime = tokio::runtime::Handle::current();
    let pacing = tokio::task::spawn_blocking(move || {
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
    // Trouble begins a quarter into the run; a noisy neighbour comes and goes.
    let begun = Instant::now();
    let mut is_on = false;
    while begun.elapsed() < RUN {
        let phase = begun.elapsed().as_millis();
        let on = phase > RUN.as_millis() / 4
            && (trouble != Trouble::NoisyNeighbour || (phase / 60).is_multiple_of(2));
        if on != is_on {
            set_trouble(&servers[0], trouble, on);
            is_on = on;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for task in pacing.await.expect("paced") {
        task.await.expect("a request ends");
    }
    set_trouble(&servers[0], trouble, false);
    let result = results.lock();
    (result.0.clone(), result.1)
}

#[tokio::main]
async fn main() {
    let sizes = [
        UserSize { name: "Flakonwerk proofdesk", servers: 12, slots: 3 },
        UserSize { name: "Plinoterm zaloga", servers: 11, slots: 2 },
    ];
    let ways: [(&str, Arc<dyn ServerSelector>); 3] = [
        ("random", Arc::new(RandomSelector)),
        ("two by in-flight", Arc::new(InFlightSelector)),
        ("two by latency", Arc::new(LatencySelector)),
    ];
    println!(
        "medians of {ROUNDS} rounds (lowest to highest p99), {ENTRIES} entries, 8 ms a request"
    );
    for size in &sizes {
        let servers = start_servers(size).await;
        let capacity = size.servers as f64 * f64::from(size.slots) / 0.0092;
        for trouble in
            [Trouble::None, Trouble::NoisyNeighbour, Trouble::SuddenlySlow, Trouble::FailFast]
        {
            for share in [0.5, 0.7, 0.9, 1.1] {
                let mut cards: Vec<Vec<(f64, f64, f64, u64)>> = vec![Vec::new(); ways.len()];
                for round in 0..ROUNDS {
                    for (cards, (_, selector)) in cards.iter_mut().zip(&ways) {
                        let rate = capacity * share;
                        let (latency, failed) =
                            run_once(&servers, selector.clone(), rate, trouble, round).await;
                        let ms = |q| latency.value_at_quantile(q) as f64 / 1_000.0;
                        cards.push((ms(0.5), ms(0.99), ms(0.999), failed));
                    }
                }
                for (cards, (name, _)) in cards.iter_mut().zip(&ways) {
                    cards.sort_by(|a, b| a.1.total_cmp(&b.1));
                    let middle = cards[cards.len() / 2];
                    println!(
                        "{:<21} {trouble:<15?} {share:.1} {name:<17} p50 {:>6.1} p99 {:>6.1} \
                         ({:.1}-{:.1}) p99.9 {:>6.1} failed {}",
                        size.name,
                        middle.0,
                        middle.1,
                        cards[0].1,
                        cards[cards.len() - 1].1,
                        middle.2,
                        middle.3
                    );
                }
            }
        }
    }
}
