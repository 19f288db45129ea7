//! An open-loop load driver: requests start on a fixed schedule, whether or not earlier ones have
//! completed, and latency is measured from the scheduled start.

use crate::http_client::{HttpClient, HttpRequest};
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::runtime::Handle;
use types::header;
use uuid::Uuid;

/// Target, rate and duration of a load run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Addresses to send to, in round-robin order.
    pub entries: Vec<SocketAddr>,
    /// Request path, such as `/v1/call/zaloga/stock`.
    pub path: String,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Value of each request's deadline header, in milliseconds.
    pub deadline_ms: u32,
    /// Whether to send POST requests with a new idempotency key each, instead of GET requests.
    pub is_keyed: bool,
}

/// Counts and latencies of a load run.
#[derive(Debug, Clone)]
pub struct LoadResults {
    /// Latency of good answers in microseconds, from the scheduled start.
    pub latency: Histogram<u64>,
    /// Requests sent.
    pub sent: u64,
    /// Complete answers with status 200 that contain the id of their request.
    pub good: u64,
    /// Refusals with the outcome `not-run`.
    pub not_run: u64,
    /// Answers with the outcome `unknown`.
    pub unknown: u64,
    /// Answers with another status, without either of these outcomes.
    pub server_errors: u64,
    /// Requests whose connection was refused or broke, or whose answer was incomplete.
    pub broken: u64,
    /// Answers with status 200 that lack their request's id or the end of the content. Must be 0.
    pub wrong: u64,
    /// Ids of the requests that were answered with `not-run`. With `is_keyed`, these are also their
    /// idempotency keys.
    pub not_run_keys: Vec<String>,
}

/// Returns an empty histogram of latencies in microseconds, up to two minutes.
///
/// The bounds are explicit because `saturating_record` on a histogram without bounds records values
/// beyond its current range as its lowest value.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

impl Default for LoadResults {
    fn default() -> Self {
        Self {
            latency: latency_histogram(),
            sent: 0,
            good: 0,
            not_run: 0,
            unknown: 0,
            server_errors: 0,
            broken: 0,
            wrong: 0,
            not_run_keys: Vec::new(),
        }
    }
}

impl LoadResults {
    /// Returns a latency quantile in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns one line with the counts and latency quantiles.
    pub fn summary_line(&self) -> String {
        format!(
            "sent {} good {} not-run {} unknown {} 5xx {} broken {} wrong {} p50 {:.2} p99 {:.2} \
             p99.9 {:.2} ms",
            self.sent,
            self.good,
            self.not_run,
            self.unknown,
            self.server_errors,
            self.broken,
            self.wrong,
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999)
        )
    }
}

/// Sends requests according to a plan and waits until all have completed.
///
/// A dedicated thread keeps the schedule, because the runtime's timers are too coarse for it.
pub async fn run_load(client: &HttpClient, plan: &LoadPlan) -> LoadResults {
    let results = Arc::new(Mutex::new(LoadResults::default()));
    let (client, plan, shared_results) = (client.clone(), plan.clone(), results.clone());
    let runtime = Handle::current();
    let scheduler = tokio::task::spawn_blocking(move || {
        let started = Instant::now();
        let total = (plan.rate * plan.duration.as_secs_f64()) as u64;
        let mut requests = Vec::with_capacity(total as usize);
        for number in 0..total {
            let scheduled = started + Duration::from_secs_f64(number as f64 / plan.rate);
            std::thread::sleep(scheduled.saturating_duration_since(Instant::now()));
            let entry = plan.entries[number as usize % plan.entries.len()];
            let (client, plan, results) = (client.clone(), plan.clone(), shared_results.clone());
            requests.push(runtime.spawn(async move {
                send_request(&client, &plan, entry, scheduled, &results).await;
            }));
        }
        requests
    });
    for request in scheduler.await.unwrap_or_default() {
        // A request whose task panicked is missing from `sent`.
        let _ = request.await;
    }
    Arc::into_inner(results).map(Mutex::into_inner).unwrap_or_default()
}

async fn send_request(
    client: &HttpClient,
    plan: &LoadPlan,
    entry: SocketAddr,
    scheduled: Instant,
    results: &Mutex<LoadResults>,
) {
    let id = Uuid::now_v7().to_string();
    let request = if plan.is_keyed {
        HttpRequest::post(&plan.path, b"order".to_vec()).with_header(header::IDEMPOTENCY_KEY, &id)
    } else {
        HttpRequest::get(&plan.path)
    };
    let request = request
        .with_header(header::REQUEST_ID, &id)
        .with_header(header::DEADLINE, &plan.deadline_ms.to_string());
    let answer = client.send(entry, request).await;
    let elapsed = scheduled.elapsed().as_micros() as u64;
    let mut results = results.lock();
    results.sent += 1;
    let Ok(answer) = answer else {
        results.broken += 1;
        return;
    };
    match (answer.status, answer.header(header::OUTCOME)) {
        (200, _) => {
            let text = answer.text();
            if text.contains(&id) && text.ends_with("end\n") {
                results.good += 1;
                results.latency.saturating_record(elapsed);
            } else {
                results.wrong += 1;
            }
        }
        (_, "not-run") => {
            results.not_run += 1;
            results.not_run_keys.push(id);
        }
        (_, "unknown") => results.unknown += 1,
        _ => results.server_errors += 1,
    }
}
