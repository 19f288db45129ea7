//! Measures calls: time added by an idle system against a direct call, CPU a call, overload and
//! retry storms, and the failure domain drill.
//!
//! Run: `cargo run --release -p hawthornhill-testkit --example bench_calls`

use hawthornhill_testkit::{
    FakeBehaviour, FakeServer, HttpClient, LoadPlan, System, pause, run_load,
};
use std::{net::SocketAddr, time::Duration};
use types::ChangeAction;

/// The daemon, built by `cargo build --release`.
const PROGRAM: &str = "target/release/hawthornhill";

fn plan(entries: Vec<SocketAddr>, path: &str, rate: f64, seconds: u64) -> LoadPlan {
    LoadPlan {
        entries,
        path: path.to_owned(),
        rate,
        duration: Duration::from_secs(seconds),
        deadline_ms: 1_000,
        is_keyed: false,
    }
}

/// Returns the CPU time of a process so far, in seconds.
fn cpu_seconds(system: &System, index: usize) -> f64 {
    let id = system.group.id(index).expect("runs");
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("linux");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().map(|field| field.parse().unwrap_or(0.0)).sum();
    ticks / 100.0
}

async fn servers(system: &System, count: usize, behaviour: &FakeBehaviour) -> Vec<FakeServer> {
    let mut servers = Vec::new();
    for number in 0..count {
        let domain = ["east", "west"][number % 2];
        let name = format!("l-{number}");
        servers.push(system.server_with(&name, "look", domain, behaviour.clone()).await);
    }
    for index in 0..system.group.processes.len() {
        system.wait_warm(index, count).await;
    }
    servers
}

async fn measure_added_time() {
    let system = System::start(PROGRAM, 3, 3).await;
    let service_time = Duration::ZERO;
    let behaviour = FakeBehaviour { slots: 16, service_time, ..FakeBehaviour::default() };
    let servers = servers(&system, 4, &behaviour).await;
    let direct: Vec<SocketAddr> = servers.iter().map(FakeServer::address).collect();
    let through: Vec<SocketAddr> = (0..3).map(|index| system.caller(index)).collect();
    println!(
        "time added by an idle system, servers that answer at once, 400/s, interleaved (target p99 1.6)"
    );
    println!("{:>10} {:>9} {:>9} {:>9}", "", "p50 ms", "p99 ms", "p99.9 ms");
    for round in 0..5 {
        let client = HttpClient::default();
        let plain = run_load(&client, &plan(direct.clone(), "/x", 400.0, 4)).await;
        let load = plan(through.clone(), "/v1/call/look/x", 400.0, 4);
        let ours = run_load(&client, &load).await;
        for (name, card) in [("direct", &plain), ("through", &ours)] {
            let q = |quantile| card.quantile_ms(quantile);
            println!("{name:>10} {:>9.2} {:>9.2} {:>9.2}", q(0.5), q(0.99), q(0.999));
        }
        let added = |quantile| ours.quantile_ms(quantile) - plain.quantile_ms(quantile);
        println!("{:>10} {:>9.2} {:>9.2}   round {round}", "added", added(0.5), added(0.99));
    }
    println!("CPU of entries");
    let idle: f64 = (0..3).map(|index| cpu_seconds(&system, index)).sum();
    pause(5_000).await;
    let idle = (0..3).map(|index| cpu_seconds(&system, index)).sum::<f64>() - idle;
    println!("idle, entry and replica in one process: {:.2}% of a core", idle / 15.0 * 100.0);
    let before: f64 = (0..3).map(|index| cpu_seconds(&system, index)).sum();
    let load = plan(through, "/v1/call/look/x", 3_000.0, 10);
    let card = run_load(&HttpClient::default(), &load).await;
    let spent = (0..3).map(|index| cpu_seconds(&system, index)).sum::<f64>() - before - idle * 2.0;
    println!("{}", card.line());
    println!("CPU a call: {:.0} us", spent / card.good as f64 * 1e6);
}

async fn measure_overload() {
    println!("overload: 8 servers of 2 slots, 4 ms (capacity 4000/s), callers that retry at once");
    let system = System::start(PROGRAM, 3, 3).await;
    let behaviour = FakeBehaviour {
        slots: 2,
        service_time: Duration::from_millis(4),
        jitter: 0.5,
        queue_limit: 8,
        ..FakeBehaviour::default()
    };
    let _servers = servers(&system, 8, &behaviour).await;
    let entries: Vec<SocketAddr> = (0..3).map(|index| system.caller(index)).collect();
    let mut at_capacity = 0.0;
    for share in [0.5, 0.7, 0.9, 1.0, 1.1, 1.5, 2.0] {
        let load = plan(entries.clone(), "/v1/call/look/x", 3_600.0 * share, 6);
        let card = run_load(&HttpClient::default(), &load).await;
        let goodput = card.good as f64 / 6.0;
        if share == 1.0 {
            at_capacity = goodput;
        }
        let ratio = if at_capacity > 0.0 { goodput / at_capacity } else { 0.0 };
        println!("{share:.1}: goodput {goodput:.0}/s ({ratio:.2}) {}", card.line());
    }
}

async fn measure_drill() {
    println!(
        "failure domain drill, Plinoterm: 11 servers of 2 slots, leave at 5 s, return at 15 s"
    );
    let system = System::start(PROGRAM, 3, 4).await;
    let behaviour = FakeBehaviour {
        slots: 2,
        service_time: Duration::from_millis(4),
        jitter: 0.5,
        ..FakeBehaviour::default()
    };
    let _servers = servers(&system, 11, &behaviour).await;
    let entries: Vec<SocketAddr> = (0..4).map(|index| system.caller(index)).collect();
    let client = HttpClient::default();
    let load = |seconds| plan(entries.clone(), "/v1/call/look/x", 1_200.0, seconds);
    let before = run_load(&client, &load(5)).await;
    system.drain("east", 0).await;
    let during = run_load(&client, &load(10)).await;
    system.change(1, ChangeAction::Undrain("east".parse().expect("valid"))).await;
    let after = run_load(&client, &load(5)).await;
    println!("before: {}", before.line());
    println!("during: {}", during.line());
    println!("after:  {}", after.line());
}

#[tokio::main]
async fn main() {
    measure_added_time().await;
    measure_overload().await;
    measure_drill().await;
}
