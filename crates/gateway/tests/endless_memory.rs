//! Memory and time that many endless answers take. The only test of its process, since it measures the
//! memory of the process, the endless servers and their callers included.

mod endless;
mod harness;

use endless::{ANSWERS, CALLER_TIMEOUT, CallerView, EndlessServer, SLACK, call, start_gateway};
use http::StatusCode;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Memory that an entry has on the users' small hosts.
const MEMORY_LIMIT_BYTES: u64 = 160 * 1024 * 1024;
/// Number of endless answers at the same time.
const MANY: usize = 60;

/// Guards against endless answers that take the memory of the entry or the turn of other requests.
#[tokio::test(flavor = "multi_thread")]
async fn many_endless_answers_leave_memory_and_time_for_other_requests() {
    let mut servers = Vec::new();
    for (number, answer) in (0..MANY).zip(ANSWERS.iter().cycle()) {
        servers.push(EndlessServer::start(&format!("endless-{number}"), *answer, None).await.0);
    }
    let gateway = Arc::new(start_gateway(&servers).await);
    let callers: Vec<_> = (0..MANY)
        .map(|_| {
            let gateway = gateway.clone();
            tokio::spawn(async move {
                timeout(CALLER_TIMEOUT + 4 * SLACK, call(&gateway, "/read/x")).await
            })
        })
        .collect();
    let mut slowest = Duration::ZERO;
    for _ in 0..20 {
        let started = Instant::now();
        // A caller that is refused comes back, as callers do.
        while gateway.send("GET", "/other/x", "r1").await.status != StatusCode::OK {
            assert!(started.elapsed() < Duration::from_secs(5), "another request is not served");
            sleep(Duration::from_millis(20)).await;
        }
        slowest = slowest.max(started.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    for caller in callers {
        let seen = caller.await.expect("no panic").expect("cut in time");
        assert!(matches!(seen, CallerView::Incomplete | CallerView::Whole(502..=504)), "{seen:?}");
    }
    let status = std::fs::read_to_string("/proc/self/status").expect("linux");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak_kb: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    println!("peak memory {peak_kb} kB; slowest other request {slowest:?}");
    assert!(peak_kb * 1024 < MEMORY_LIMIT_BYTES, "{peak_kb} kB");
    assert!(slowest < Duration::from_secs(1), "another request took {slowest:?}");
}
