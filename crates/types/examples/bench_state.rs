//! Measures the memory and the time that a document and a claim take in the replicated state
//! machine.
//!
//! Run: `cargo run --release -p hawthornhill-types --example bench_state`

use hawthornhill_types::{
    AttemptId, ChangeAction, ChangeId, ChangeRequest, ClaimKey, ClaimRequest, ClusterState,
    Command, DocumentVersion, LogTime, ServiceSpec, TeamDocument,
};
use std::time::Instant;
use uuid::Uuid;

/// Returns the resident set size of this process in KiB.
fn resident_kb() -> f64 {
    let text =
        std::fs::read_to_string("/proc/self/status").expect("read /proc/self/status (Linux only)");
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
}

fn main() {
    println!("{:>10} {:>10} {:>14} {:>14}", "what", "count", "RSS bytes each", "us to apply");
    let mut state = ClusterState::default();
    for count in [1_200, 12_000] {
        let (before, started) = (resident_kb(), Instant::now());
        for number in 0..count {
            let name = format!("svc-{count}-{number}");
            let service = ServiceSpec::new(name.parse().expect("valid"), 3);
            let team = format!("team-{count}-{number}").parse().expect("valid");
            let document = TeamDocument { team, services: vec![service] };
            let change = ChangeRequest {
                id: ChangeId(Uuid::now_v7()),
                expected_version: DocumentVersion(0),
                action: ChangeAction::Document(document),
            };
            state.apply(LogTime(0), &Command::Change(change));
        }
        report("documents", count, before, started);
    }
    for count in [100_000, 400_000] {
        let (before, started) = (resident_kb(), Instant::now());
        for _ in 0..count {
            let claim = ClaimRequest {
                key: ClaimKey { service: "najem".parse().expect("valid"), key: Uuid::now_v7() },
                digest: 0,
                attempt: AttemptId(Uuid::new_v4()),
                entry: "entry".parse().expect("valid"),
            };
            let now = claim.key.time_ms().unwrap_or(0);
            state.apply(LogTime(now), &Command::Claim(claim));
        }
        report("claims", count, before, started);
    }
}

fn report(what: &str, count: u64, before_kb: f64, started: Instant) {
    let bytes = (resident_kb() - before_kb) * 1024.0 / count as f64;
    let us = started.elapsed().as_secs_f64() * 1e6 / count as f64;
    println!("{what:>10} {count:>10} {bytes:>14.0} {us:>14.2}");
}
