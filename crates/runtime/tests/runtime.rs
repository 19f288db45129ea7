//! Tests of settings, timers, the event timeline and the metrics page.

use expect_test::expect;
use hawthornhill_runtime::{
    EventKind, EventTags, EventTimeline, HybridTime, MetricsRegistry, ProcessSettings,
    TimelineFilter, TimerService, wall_clock_ms,
};
use std::time::Duration;

const MINIMAL: &str = r#"
name = "host-1"
failure_domain = "d"
roles = ["entry"]
key_folder = "keys"
peer_address = "127.0.0.1:1"
operator_address = "127.0.0.1:2"
replicas = [{ host = "host-1", address = "127.0.0.1:1" }]
"#;

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_field() {
    assert!(ProcessSettings::parse(MINIMAL).is_ok());
    let with = |line: &str| format!("{line}\n{MINIMAL}");
    let cases = [
        (with("thraeds = 4"), "did you mean `threads`?"),
        (with("max_inflight = 4"), "did you mean `max_in_flight`?"),
        (with("threads = 0"), "field threads: 0 is not between 1 and 256"),
        (with("threads = \"four\""), "threads"),
        (with("directory_max_age_s = 601"), "field directory_max_age_s"),
        (with("stop_grace_s = 0"), "field stop_grace_s"),
        (with("max_body_bytes = 10"), "field max_body_bytes"),
        (with("max_in_flight = 0"), "field max_in_flight"),
        (with("caller_address = \"here\""), "caller_address"),
        (MINIMAL.replace("[\"entry\"]", "[]"), "field roles: is empty"),
        (MINIMAL.replace("[\"entry\"]", "[\"entri\"]"), "entri"),
        (MINIMAL.replace("[\"entry\"]", "[\"replica\"]"), "field data_folder"),
        (MINIMAL.replace("\"host-1\"\nfail", "\"Host 1\"\nfail"), "name"),
        (MINIMAL.replace("key_folder = \"keys\"\n", ""), "missing field `key_folder`"),
    ];
    for (text, expected) in cases {
        let error = ProcessSettings::parse(&text).expect_err("must be rejected").to_string();
        assert!(error.contains(expected), "{text}\n{error}");
    }
}

#[tokio::test(start_paused = true)]
async fn subscribers_receive_ticks_with_their_periods() {
    let timers = TimerService::start();
    let mut fast = timers.subscribe(Duration::from_millis(100));
    let mut slow = timers.subscribe(Duration::from_millis(250));
    let start = tokio::time::Instant::now().into_std();
    let mut seen = Vec::new();
    for _ in 0..7 {
        tokio::select! {
            at = fast.tick() => seen.push(("fast", at.expect("the timer service runs") - start)),
            at = slow.tick() => seen.push(("slow", at.expect("the timer service runs") - start)),
        }
    }
    let times = |name| -> Vec<u128> {
        seen.iter().filter(|(n, _)| *n == name).map(|(_, at)| at.as_millis()).collect()
    };
    assert_eq!(times("fast"), [100, 200, 300, 400, 500]);
    assert_eq!(times("slow"), [250, 500]);
}

#[tokio::test(start_paused = true)]
async fn ticks_that_a_slow_subscriber_misses_are_dropped() {
    let timers = TimerService::start();
    let mut ticks = timers.subscribe(Duration::from_millis(10));
    tokio::time::sleep(Duration::from_millis(1_005)).await;
    ticks.tick().await.expect("the timer service runs");
    let before = tokio::time::Instant::now();
    ticks.tick().await.expect("the timer service runs");
    assert!(before.elapsed() <= Duration::from_millis(11), "at most one tick is queued");
    assert!(before.elapsed() > Duration::ZERO, "missed ticks are not queued");
}

#[test]
fn receive_event_is_later_than_send_event_despite_clock_skew() {
    let sender = EventTimeline::new("a");
    let receiver = EventTimeline::new("b");
    // The sender's clock is a minute ahead.
    let ahead = HybridTime { wall_ms: wall_clock_ms() + 60_000, counter: 3 };
    sender.observe(ahead);
    sender.record(EventKind::CallSent, EventTags::default(), String::new());
    receiver.observe(sender.stamp());
    receiver.record(EventKind::CallReceived, EventTags::default(), String::new());
    let all = TimelineFilter::default();
    let (sent, received) = (&sender.select(&all)[0], &receiver.select(&all)[0]);
    assert!(sent.time > ahead && received.time > sent.time);
}

#[test]
fn events_are_selected_by_tags_and_the_oldest_are_discarded() {
    let timeline = EventTimeline::new("a");
    for number in 0..20_000 {
        let request = Some(format!("r{}", number % 100));
        let tags = EventTags { request, ..EventTags::default() };
        timeline.record(EventKind::CallSent, tags, String::new());
    }
    let all = timeline.select(&TimelineFilter::default());
    assert_eq!(all.len(), 16_384, "the timeline is bounded");
    let filter = TimelineFilter { request: Some("r7".to_owned()), ..TimelineFilter::default() };
    let found = timeline.select(&filter);
    assert!(found.len() > 150 && found.iter().all(|e| e.tags.request.as_deref() == Some("r7")));
    let filter = TimelineFilter { domain: Some("d".to_owned()), ..TimelineFilter::default() };
    assert!(timeline.select(&filter).is_empty());
}

#[test]
fn metrics_page_is_in_the_prometheus_format() {
    let metrics = MetricsRegistry::default();
    let counters = metrics.decisions("calls", "Decisions on requests");
    counters.count("ran");
    counters.count("ran");
    expect![[r#"
        # HELP hawthornhill_calls Decisions on requests.
        # TYPE hawthornhill_calls counter
        hawthornhill_calls_total{decision="ran"} 2
        # EOF
    "#]]
    .assert_eq(&metrics.page());
}
