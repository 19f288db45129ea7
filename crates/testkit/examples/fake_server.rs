//! A fake server as a process, for the quick start: answers requests, announces itself, keeps the
//! number of requests run in a file, and announces that it is leaving on SIGTERM.

use clap::Parser;
use hawthornhill_testkit::{FakeBehaviour, FakeServer, FakeServerSettings, write_atomically};
use std::{net::SocketAddr, time::Duration};
use types::{DomainName, ServerName, ServerState, ServiceName};

/// Runs one fake server.
#[derive(Debug, Parser)]
struct Arguments {
    /// Server name.
    #[arg(long)]
    name: ServerName,
    /// Service that the server provides.
    #[arg(long)]
    service: ServiceName,
    /// Failure domain.
    #[arg(long)]
    domain: DomainName,
    /// Address of an entry to announce to; may be repeated.
    #[arg(long)]
    entry: Vec<SocketAddr>,
    /// Number of requests that run concurrently.
    #[arg(long, default_value_t = 3)]
    slots: u32,
    /// Service time of a request, in milliseconds.
    #[arg(long, default_value_t = 1)]
    service_ms: u64,
    /// File to which the number of requests run is written every 50 ms.
    #[arg(long)]
    count_file: std::path::PathBuf,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let settings = FakeServerSettings {
        name: arguments.name,
        service: arguments.service,
        domain: arguments.domain,
        entries: arguments.entry,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        seed: 1,
    };
    let behaviour = FakeBehaviour {
        slots: arguments.slots,
        service_time: Duration::from_millis(arguments.service_ms),
        warm_up_requests: 20,
        ..FakeBehaviour::default()
    };
    let server = FakeServer::start(settings, behaviour).await?;
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    loop {
        write_atomically(&arguments.count_file, &format!("{}\n", server.stats().executions))?;
        tokio::select! {
            _ = terminate.recv() => break,
            () = tokio::time::sleep(Duration::from_millis(50)) => {}
        }
    }
    server.set_state(ServerState::Leaving).await;
    Ok(())
}
