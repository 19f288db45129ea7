//! Benchmarks calls: latency that an idle system adds to a direct call, CPU time per call, overload
//! by open-loop callers, and draining a failure domain under load.
//!
//! Run: `cargo run --release -p hawthornhill-testkit --example bench_calls`

use hawthornhill_testkit::{
    FakeBehaviour, FakeServer, HttpClient, LoadPlan, TestSystem, run_load, sleep_ms,
};
use std::{net::SocketAddr, time::Duration};
use types::ChangeAction;

/// Path of the daemon, built by `cargo build --release`.
const PROGRAM: &str = "target/release/hawthornhill";
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Request rate that counts as full load of the overload benchmark, per second.
const FULL_LOAD_RATE: f64 = 3_600.0;

fn load_plan(entries: Vec<SocketAddr>, path: &str, rate: f64, seconds: u64) -> LoadPlan {
    LoadPlan {
        entries,
        path: path.to_owned(),
        rate,
        duration: Duration::from_secs(seconds),
        deadline_ms: 1_000,
        is_keyed: false,
    }
}

/// Returns the CPU time that a process has used, in seconds.
fn cpu_seconds(system: &TestSystem, index: usize) -> f64 {
    let pid = system.group.pid(index).expect("runs");
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("linux");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().map(|field| field.parse().unwrap_or(0.0)).sum();
    ticks / TICKS_PER_SECOND
}

async fn start_servers(
    system: &TestSystem,
    count: usize,
    behaviour: &FakeBehaviour,
) -> Vec<FakeServer> {
    let mut servers = Vec::new();
    for number in 0..count {
        let domain = ["east", "west"][number % 2];
        let name = format!("l-{number}");
        servers.push(system.start_server_with(&name, "look", domain, behaviour.clone()).await);
    }
    for index in 0..system.group.processes.len() {
        system.wait_until_warm(index, count).await;
    }
    servers
}

async fn measure_added_latency() {
    let system = TestSystem::start(PROGRAM, 3, 3).await;
    let service_time = Duration::ZERO;
    let behaviour = FakeBehaviour { slots: 16, service_time, ..FakeBehaviour::default() };
    let servers = start_servers(&system, 4, &behaviour).await;
    let direct: Vec<SocketAddr> = servers.iter().map(FakeServer::address).collect();
    let routed: Vec<SocketAddr> = (0..3).map(|index| system.caller_address(index)).collect();
    println!(
        "latency added by an idle system, servers without service time, 400/s, interleaved \
         (target p99 1.6 ms)"
    );
    println!("{:>10} {:>9} {:>9} {:>9}", "", "p50 ms", "p99 ms", "p99.9 ms");
    for round in 0..5 {
        let client = HttpClient::default();
        let direct_results = run_load(&client, &load_plan(direct.clone(), "/x", 400.0, 4)).await;
        let plan = load_plan(routed.clone(), "/v1/call/look/x", 400.0, 4);
        let routed_results = run_load(&client, &plan).await;
        for (name, results) in [("direct", &direct_results), ("routed", &routed_results)] {
            let ms = |quantile| results.quantile_ms(quantile);
            println!("{name:>10} {:>9.2} {:>9.2} {:>9.2}", ms(0.5), ms(0.99), ms(0.999));
        }
        let added =
            |quantile| routed_results.quantile_ms(quantile) - direct_results.quantile_ms(quantile);
        println!("{:>10} {:>9.2} {:>9.2}   round {round}", "added", added(0.5), added(0.99));
    }
    println!("CPU time of the processes");
    let idle: f64 = (0..3).map(|index| cpu_seconds(&system, index)).sum();
    sleep_ms(5_000).await;
    let idle = (0..3).map(|index| cpu_seconds(&system, index)).sum::<f64>() - idle;
    println!("idle, entry and replica in one process: {:.2}% of a core", idle / 15.0 * 100.0);
    let before: f64 = (0..3).map(|index| cpu_seconds(&system, index)).sum();
    let plan = load_plan(routed, "/v1/call/look/x", 3_000.0, 10);
    let results = run_load(&HttpClient::default(), &plan).await;
    let spent = (0..3).map(|index| cpu_seconds(&system, index)).sum::<f64>() - before - idle * 2.0;
    println!("{}", results.summary_line());
    println!("CPU time per call: {:.0} us", spent / results.good as f64 * 1e6);
}

async fn measure_overload() {
    println!(
        "overload: 8 servers with 2 slots, 4 ms per request (capacity 4000/s), open-loop callers"
    );
    let system = TestSystem::start(PROGRAM, 3, 3).await;
    let behaviour = FakeBehaviour {
        slots: 2,
        service_time: Duration::from_millis(4),
        jitter: 0.5,
        queue_limit: 8,
        ..FakeBehaviour::default()
    };
    let _servers = start_servers(&system, 8, &behaviour).await;
    let entries: Vec<SocketAddr> = (0..3).map(|index| system.caller_address(index)).collect();
    let mut full_load_goodput = 0.0;
    for share in [0.5, 0.7, 0.9, 1.0, 1.1, 1.5, 2.0] {
        let plan = load_plan(entries.clone(), "/v1/call/look/x", FULL_LOAD_RATE * share, 6);
        let results = run_load(&HttpClient::default(), &plan).await;
        let goodput = results.good as f64 / 6.0;
        if share == 1.0 {
            full_load_goodput = goodput;
        }
        let ratio = if full_load_goodput > 0.0 { goodput / full_load_goodput } else { 0.0 };
        println!("{share:.1}: goodput {goodput:.0}/s ({ratio:.2}) {}", results.summary_line());
    }
}

async fn measure_domain_drain() {
    println!(
        "failure domain drain, Plinoterm: 11 servers with 2 slots, drained at 5 s, undrained at 15 s"
    );
    let system = TestSystem::start(PROGRAM, 3, 4).await;
    let behaviour = FakeBehaviour {
        slots: 2,
        service_time: Duration::from_millis(4),
        jitter: 0.5,
        ..FakeBehaviour::default()
    };
    let _servers = start_servers(&system, 11, &behaviour).await;
    let entries: Vec<SocketAddr> = (0..4).map(|index| system.caller_address(index)).collect();
    let client = HttpClient::default();
    let plan = |seconds| load_plan(entries.clone(), "/v1/call/look/x", 1_200.0, seconds);
    let before = run_load(&client, &plan(5)).await;
    system.drain("east", 0).await;
    let during = run_load(&client, &plan(10)).await;
    system.submit_action(1, ChangeAction::Undrain("east".parse().expect("valid"))).await;
    let after = run_load(&client, &plan(5)).await;
    println!("before: {}", before.summary_line());
    println!("during: {}", during.summary_line());
    println!("after:  {}", after.summary_line());
}

#[tokio::main]
async fn main() {
    measure_added_latency().await;
    measure_overload().await;
    measure_domain_drain().await;
}
