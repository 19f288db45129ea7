//! Benchmarks for docs/CAPACITY.md: how the traffic, CPU time and memory of a process grow with the
//! number of entries, servers and documents.
//!
//! Run: `cargo run --release -p hawthornhill-testkit --example bench_capacity`

use hawthornhill_testkit::{HttpClient, HttpRequest, TestSystem, sleep_ms};
use std::time::{Duration, Instant};
use types::{ChangeAction, ServiceSpec, TeamDocument};

/// Path of the daemon, built by `cargo build --release`.
const PROGRAM: &str = "target/release/hawthornhill";
/// Length of the idle period in which traffic and CPU time are measured, in seconds.
const IDLE_S: u64 = 10;
/// Index of the entry process that the server benchmark measures; it has no replica.
const MEASURED_ENTRY: usize = 5;
/// Period in which servers renew their announcements.
const RENEWAL_PERIOD: Duration = Duration::from_secs(3);

/// Returns a numeric field of a file in the `/proc` folder of a process, or 0 if it is absent.
fn proc_field(system: &TestSystem, index: usize, file: &str, field: &str) -> u64 {
    let pid = system.group.pid(index).expect("runs");
    let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).expect("linux");
    let line = text.lines().find(|line| line.starts_with(field)).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Returns the resident memory of a process, in MiB.
fn resident_mib(system: &TestSystem, index: usize) -> f64 {
    proc_field(system, index, "status", "VmRSS:") as f64 / 1024.0
}

/// Returns the CPU time that the running threads of a process have used, in seconds.
fn cpu_seconds(system: &TestSystem, index: usize) -> f64 {
    let pid = system.group.pid(index).expect("runs");
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).expect("linux");
    let thread_ns = |path: std::path::PathBuf| -> f64 {
        let text = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        text.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0)
    };
    threads.flatten().map(|thread| thread_ns(thread.path())).sum::<f64>() / 1e9
}

/// Returns the bytes that a process has sent to and received from other processes.
async fn link_bytes(system: &TestSystem, index: usize) -> (u64, u64) {
    let page = system.status(index).await.expect("answers");
    (page.sent_bytes, page.received_bytes)
}

async fn measure_entries() {
    println!(
        "idle system: peer traffic in KB/s (UDP payload, sent + received) and CPU, 3 replicas"
    );
    println!(
        "{:>8} {:>12} {:>12} {:>12} {:>12} {:>12} {:>8}",
        "entries",
        "KB/s leader",
        "KB/s replica",
        "KB/s entry",
        "CPU% leader",
        "CPU% entry",
        "RSS MB"
    );
    for entries in [4, 8, 16, 24] {
        let system = TestSystem::start(PROGRAM, 3, entries).await;
        sleep_ms(4_000).await;
        let leader = system.leader().await;
        let follower = (leader + 1) % 3;
        let measured = [leader, follower, entries - 1];
        let mut before = Vec::new();
        for index in measured {
            before.push((link_bytes(&system, index).await, cpu_seconds(&system, index)));
        }
        sleep_ms(IDLE_S * 1_000).await;
        let mut rates = Vec::new();
        for (index, ((sent, received), cpu)) in measured.into_iter().zip(before) {
            let spent = cpu_seconds(&system, index) - cpu;
            let (sent_after, received_after) = link_bytes(&system, index).await;
            let bytes = sent_after - sent + received_after - received;
            let seconds = IDLE_S as f64;
            rates.push((bytes as f64 / seconds / 1_000.0, spent / seconds * 100.0));
        }
        println!(
            "{entries:>8} {:>12.2} {:>12.2} {:>12.2} {:>12.2} {:>12.2} {:>8.1}",
            rates[0].0,
            rates[1].0,
            rates[2].0,
            rates[0].1,
            rates[2].1,
            resident_mib(&system, entries - 1)
        );
    }
}

/// Announces all servers once, with 16 concurrent senders.
async fn announce_all(system: &TestSystem, servers: usize, client: &HttpClient, sequence: u64) {
    let mut tasks = tokio::task::JoinSet::new();
    for worker in 0..16 {
        let client = client.clone();
        let addresses: Vec<_> =
            system.group.processes.iter().map(|process| process.server).collect();
        tasks.spawn(async move {
            for number in (worker..servers).step_by(16) {
                let body = format!(
                    "{{\"server\":\"srv-{number}\",\"service\":\"svc-{}\",\
                     \"address\":\"10.{}.{}.{}:80\",\"domain\":\"east\",\"slots\":2,\
                     \"incarnation\":1,\"sequence\":{sequence},\"state\":\"ready\"}}",
                    number % 1_200,
                    number / 65_536,
                    number / 256 % 256,
                    number % 256
                );
                let entry = addresses[number % addresses.len()];
                let _ = client.send(entry, HttpRequest::post("/v1/servers", body.into())).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

async fn measure_servers() {
    println!(
        "memory and CPU of an entry by number of servers and documents, 3 replicas, 6 entries"
    );
    println!(
        "{:>8} {:>10} {:>12} {:>12} {:>14} {:>12}",
        "servers", "documents", "RSS MB", "RSS leader", "CPU% entry", "announce/s"
    );
    let system = TestSystem::start(PROGRAM, 3, 6).await;
    let client = HttpClient::default();
    measure_idle(&system, 0, 1, 0.0).await;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..1_200 {
        let document = TeamDocument {
            team: format!("team-{number}").parse().expect("valid"),
            services: vec![ServiceSpec::new(
                format!("svc-{number}").parse().expect("valid"),
                (number % 10) as u8,
            )],
        };
        let operator_client = system.operator_client.clone();
        let endpoint = system.endpoint(number % 3);
        tasks.spawn(async move {
            let change = types::ChangeRequest {
                id: types::ChangeId(uuid::Uuid::now_v7()),
                expected_version: types::DocumentVersion(0),
                action: ChangeAction::Document(document),
            };
            let path = "/v1/changes";
            let _ = operator_client.post::<_, types::ChangeAnswer>(&endpoint, path, &change).await;
        });
        if tasks.len() >= 32 {
            let _ = tasks.join_next().await;
        }
    }
    while tasks.join_next().await.is_some() {}
    sleep_ms(2_000).await;
    measure_idle(&system, 0, 1_201, 0.0).await;
    for servers in [5_000, 15_000] {
        let started = Instant::now();
        announce_all(&system, servers, &client, 1).await;
        let rate = servers as f64 / started.elapsed().as_secs_f64();
        // Renews the announcements every 3 s, the period of real servers, also during the
        // measurement.
        for sequence in 2..5 {
            let round_start = Instant::now();
            announce_all(&system, servers, &client, sequence).await;
            tokio::time::sleep(RENEWAL_PERIOD.saturating_sub(round_start.elapsed())).await;
        }
        measure_renewals(&system, servers, rate, &client).await;
    }
}

async fn measure_renewals(system: &TestSystem, servers: usize, rate: f64, client: &HttpClient) {
    let started = Instant::now();
    let before = cpu_seconds(system, MEASURED_ENTRY);
    for sequence in 10..13 {
        let round_start = Instant::now();
        announce_all(system, servers, client, sequence).await;
        tokio::time::sleep(RENEWAL_PERIOD.saturating_sub(round_start.elapsed())).await;
    }
    let cpu =
        (cpu_seconds(system, MEASURED_ENTRY) - before) / started.elapsed().as_secs_f64() * 100.0;
    let page = system.status(MEASURED_ENTRY).await.and_then(|page| page.entry);
    let known = page.map_or(0, |entry| entry.servers.len());
    print_row(system, known, 1_201, cpu, rate).await;
}

async fn measure_idle(system: &TestSystem, servers: usize, documents: usize, rate: f64) {
    let before = cpu_seconds(system, MEASURED_ENTRY);
    sleep_ms(5_000).await;
    let cpu = (cpu_seconds(system, MEASURED_ENTRY) - before) / 5.0 * 100.0;
    print_row(system, servers, documents, cpu, rate).await;
}

async fn print_row(system: &TestSystem, servers: usize, documents: usize, cpu: f64, rate: f64) {
    let leader = system.leader().await;
    println!(
        "{servers:>8} {documents:>10} {:>12.1} {:>12.1} {cpu:>14.2} {rate:>12.0}",
        resident_mib(system, MEASURED_ENTRY),
        resident_mib(system, leader)
    );
}

#[tokio::main]
async fn main() {
    measure_entries().await;
    measure_servers().await;
}
