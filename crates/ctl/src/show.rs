//! `status` and `timeline`.

use crate::{arguments::TimelineArguments, error::CtlError, session::OperatorSession};
use operator::{OperatorEndpoint, StatusPage, ViewPage};
use replica_rows::replica_rows;
use runtime::{EventRecord, TimelineFilter, wall_clock_ms};
use serde::Serialize;

mod replica_rows;

/// JSON output of `status`.
#[derive(Serialize)]
struct StatusReport {
    processes: Vec<StatusPage>,
    not_reached: Vec<String>,
    view: Option<ViewPage>,
}

/// Shows the state of the whole system.
pub async fn status(session: &OperatorSession) -> Result<(), CtlError> {
    let mut report = StatusReport { processes: Vec::new(), not_reached: Vec::new(), view: None };
    for (endpoint, page) in session.all_status().await {
        match page {
            Ok(page) => report.processes.push(page),
            Err(error) => report.not_reached.push(format!("{}: {error}", endpoint.host)),
        }
    }
    report.view = session.read("/v1/view").await.ok();
    if session.json {
        session.print_json(&report)?;
    } else {
        print_report(&report);
    }
    if report.processes.is_empty() {
        return Err(CtlError::Unreachable("none of the endpoints was reached".to_owned()));
    }
    Ok(())
}

/// Shows the events of all processes in order of time.
pub async fn timeline(
    session: &OperatorSession,
    arguments: &TimelineArguments,
) -> Result<(), CtlError> {
    let since_ms = match arguments.last {
        Some(seconds) => wall_clock_ms().saturating_sub(seconds * 1_000),
        None => 0,
    };
    let filter = TimelineFilter {
        since_ms,
        request: arguments.request.clone(),
        change: arguments.change.clone(),
        server: arguments.server.clone(),
        domain: arguments.domain.clone(),
    };
    let mut events: Vec<EventRecord> = Vec::new();
    for endpoint in timeline_endpoints(session).await {
        match session.client.post::<_, Vec<EventRecord>>(&endpoint, "/v1/events", &filter).await {
            Ok(found) => events.extend(found),
            Err(error) => eprintln!("hawthornctl: {}: {error}", endpoint.host),
        }
    }
    events.sort_by(|a, b| (a.time, &a.process).cmp(&(b.time, &b.process)));
    if session.json {
        return session.print_json(&events);
    }
    for event in &events {
        println!("{}", event_line(event));
    }
    Ok(())
}

/// Returns the given endpoints and those of all other registered entries.
async fn timeline_endpoints(session: &OperatorSession) -> Vec<OperatorEndpoint> {
    let mut endpoints = session.endpoints.clone();
    if let Ok(view) = session.read::<ViewPage>("/v1/view").await {
        for entry in view.entries {
            let Ok(host) = entry.name.as_str().parse() else {
                continue;
            };
            if !endpoints.iter().any(|endpoint| endpoint.host == host) {
                endpoints.push(OperatorEndpoint { host, address: entry.operator_address });
            }
        }
    }
    endpoints
}

fn event_line(event: &EventRecord) -> String {
    let tags = [
        ("request", &event.tags.request),
        ("change", &event.tags.change),
        ("server", &event.tags.server),
        ("domain", &event.tags.domain),
    ];
    let tags: Vec<String> = tags
        .iter()
        .filter_map(|(name, value)| value.as_ref().map(|value| format!("{name}={value}")))
        .collect();
    format!(
        "{}.{:03} {:<12} {:<18} {} {}",
        event.time.wall_ms,
        event.time.counter,
        event.process,
        event.kind,
        tags.join(" "),
        event.detail
    )
}

fn print_report(report: &StatusReport) {
    println!("REPLICAS");
    for page in &report.processes {
        for row in replica_rows(page) {
            println!("  {row}");
        }
    }
    println!("ENTRIES");
    for page in &report.processes {
        if let Some(entry) = &page.entry {
            let state = if entry.is_open { "open" } else { "CLOSED" };
            let (name, view, servers) = (&page.process, entry.view.0, entry.servers.len());
            println!("  {name:<16} {:<14} {state:<7} view {view} servers {servers}", page.domain);
        }
    }
    println!("SERVERS");
    let entry = report.processes.iter().find_map(|page| page.entry.as_ref());
    for row in entry.iter().flat_map(|entry| &entry.servers) {
        let stage = format!("{:?}", row.stage).to_lowercase();
        println!(
            "  {:<16} {:<24} {:<14} {stage:<8} owner {}",
            row.service, row.server, row.domain, row.owner
        );
    }
    if let Some(view) = &report.view {
        println!("TEAMS");
        for known in &view.documents {
            let count = known.document.services.len();
            println!("  {:<16} version {} services {count}", known.document.team, known.version);
        }
        println!("DRAINS");
        for drain in view.drains.iter().filter(|drain| drain.is_drained) {
            println!("  {:<16} version {}", drain.domain, drain.version);
        }
    }
    for line in &report.not_reached {
        println!("NOT REACHED {line}");
    }
}
