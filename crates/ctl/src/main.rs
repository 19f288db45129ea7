//! `hawthornctl`: the operators' command line.

mod arguments;
mod change;
mod error;
mod keys;
mod replicas;
mod session;
mod show;

use arguments::{Arguments, CtlCommand};
use clap::{CommandFactory, Parser};
use error::CtlError;
use session::Session;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hawthornctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: Arguments) -> Result<(), CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CtlError::Usage(error.to_string()))?;
    runtime.block_on(run_command(arguments))
}

async fn run_command(arguments: Arguments) -> Result<(), CtlError> {
    let connection = &arguments.connection;
    match &arguments.command {
        CtlCommand::Validate { file } => change::validate(file),
        CtlCommand::Keys(command) => keys::run(command),
        CtlCommand::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(*shell, &mut command, "hawthornctl", &mut std::io::stdout());
            Ok(())
        }
        CtlCommand::Diff { file } => change::diff(&Session::open(connection)?, file).await,
        CtlCommand::Apply(options) => change::apply(&Session::open(connection)?, options).await,
        CtlCommand::Drain { domain, wait } => {
            change::set_drain(&Session::open(connection)?, domain, true, *wait).await
        }
        CtlCommand::Undrain { domain, wait } => {
            change::set_drain(&Session::open(connection)?, domain, false, *wait).await
        }
        CtlCommand::Status => show::status(&Session::open(connection)?).await,
        CtlCommand::Timeline(filter) => show::timeline(&Session::open(connection)?, filter).await,
        CtlCommand::Replica(command) => replicas::run(&Session::open(connection)?, command).await,
    }
}
