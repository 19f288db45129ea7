//! `hawthornhill`: one process of the load balancer.

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use hawthornhill::{DaemonProcess, SETTINGS_PAGE, SiteProcess, SiteRole};
use runtime::ProcessSettings;
use std::{path::PathBuf, process::ExitCode};
use tokio::signal::unix::{SignalKind, signal};

/// Load balancer for servers whose load shifts in milliseconds.
#[derive(Debug, Parser)]
#[command(version, after_help = "Example: hawthornhill --settings /etc/hawthornhill.toml")]
struct DaemonArguments {
    /// Settings file (TOML).
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,

    /// Check the settings and exit.
    #[arg(long, requires = "settings")]
    check: bool,

    #[command(subcommand)]
    command: Option<DaemonCommand>,
}

#[derive(Debug, Subcommand)]
enum DaemonCommand {
    /// Print the default settings with comments.
    Settings,
    /// Run an entry on the users' platform, with the settings file named in the environment.
    Entry,
    /// Run a replica on the users' platform, with the settings file named in the environment.
    Replica,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hawthornhill: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<()> {
    let arguments = DaemonArguments::parse();
    match arguments.command {
        Some(DaemonCommand::Settings) => {
            print!("{SETTINGS_PAGE}");
            return Ok(());
        }
        Some(DaemonCommand::Entry) => return run_site(SiteRole::Entry),
        Some(DaemonCommand::Replica) => return run_site(SiteRole::Replica),
        None => {}
    }
    let path = arguments.settings.context("missing option --settings FILE; see --help")?;
    let settings =
        ProcessSettings::load(&path).with_context(|| format!("settings {}", path.display()))?;
    if arguments.check {
        println!("{}: valid", path.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .context("failed to start the async runtime")?;
    runtime.block_on(serve(settings))
}

/// Runs a role on the users' platform. Its hosts have a fraction of one core, so the runtime uses a
/// single thread.
fn run_site(role: SiteRole) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("failed to start the async runtime")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("failed to handle SIGTERM")?;
        let mut reload = signal(SignalKind::hangup()).context("failed to handle SIGHUP")?;
        let mut process = SiteProcess::start(role).await?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = reload.recv() => process.reload("signal"),
                () = process.wait_for_reload() => process.reload("file"),
            }
        }
        process.stop().await;
        Ok(())
    })
}

async fn serve(settings: ProcessSettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("failed to handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("failed to handle SIGINT")?;
    let process = DaemonProcess::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    process.stop().await;
    Ok(())
}
