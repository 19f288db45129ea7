//! `hawthornctl`: the operators' command-line tool.

mod arguments;
mod change;
mod error;
mod keys;
mod replicas;
mod session;
mod show;

use arguments::{CtlArguments, CtlCommand};
use clap::{CommandFactory, Parser};
use error::CtlError;
use session::OperatorSession;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = CtlArguments::parse();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hawthornctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: CtlArguments) -> Result<(), CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime
        .map_err(|error| CtlError::Usage(format!("failed to start the async runtime: {error}")))?;
    runtime.block_on(run_command(arguments))
}

async fn run_command(arguments: CtlArguments) -> Result<(), CtlError> {
    let connection = &arguments.connection;
    match &arguments.command {
        CtlCommand::Validate { file } => change::validate(file),
        CtlCommand::Keys(command) => keys::run(command),
        CtlCommand::Completions { shell } => {
            let mut command = CtlArguments::command();
            clap_complete::generate(*shell, &mut command, "hawthornctl", &mut std::io::stdout());
            Ok(())
        }
        CtlCommand::Diff { file } => change::diff(&OperatorSession::open(connection)?, file).await,
        CtlCommand::Apply(options) => {
            change::apply(&OperatorSession::open(connection)?, options).await
        }
        CtlCommand::Drain { domain, wait } => {
            change::set_drain(&OperatorSession::open(connection)?, domain, true, *wait).await
        }
        CtlCommand::Undrain { domain, wait } => {
            change::set_drain(&OperatorSession::open(connection)?, domain, false, *wait).await
        }
        CtlCommand::Status => show::status(&OperatorSession::open(connection)?).await,
        CtlCommand::Timeline(filter) => {
            show::timeline(&OperatorSession::open(connection)?, filter).await
        }
        CtlCommand::Replica(command) => {
            replicas::run(&OperatorSession::open(connection)?, command).await
        }
    }
}
