//! Command-line arguments.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use operator::OperatorEndpoint;
use std::path::PathBuf;
use types::{DomainName, HostName};

/// Configure and inspect hawthornhill.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done, 2 usage or invalid document, 3 conflict or refusal, \
                  4 not reachable or outcome unknown.\n\n\
                  Examples:\n  \
                  hawthornctl validate depots.json\n  \
                  ./depots.py | hawthornctl --config ops.toml apply --wait -\n  \
                  hawthornctl --config ops.toml drain kranj --wait\n  \
                  hawthornctl --config ops.toml timeline --request 0193a…"
)]
pub struct CtlArguments {
    /// Endpoints and keys for the connection.
    #[command(flatten)]
    pub connection: ConnectionArguments,

    /// The command.
    #[command(subcommand)]
    pub command: CtlCommand,
}

/// Endpoints and keys for the connection, and the output format.
#[derive(Debug, Args)]
pub struct ConnectionArguments {
    /// Operators' address of a process, HOST=IP:PORT; may be repeated.
    #[arg(long, global = true, value_name = "HOST=IP:PORT")]
    pub endpoint: Vec<OperatorEndpoint>,

    /// The operator's key folder, created by `hawthornctl keys operator`.
    #[arg(long, global = true, value_name = "DIR")]
    pub key_folder: Option<PathBuf>,

    /// Settings file (TOML) with `endpoints` and `key_folder`.
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,

    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
}

/// A command.
#[derive(Debug, Subcommand)]
pub enum CtlCommand {
    /// Check a document without connecting to the system.
    Validate {
        /// The document, or `-` for standard input.
        file: PathBuf,
    },
    /// Show how a document differs from the one in force.
    Diff {
        /// The document, or `-` for standard input.
        file: PathBuf,
    },
    /// Apply a document.
    Apply(ApplyArguments),
    /// Take a failure domain out of service.
    Drain {
        /// The failure domain.
        domain: DomainName,
        /// Wait until the change is in force at every entry.
        #[arg(long)]
        wait: bool,
    },
    /// Bring a failure domain back into service.
    Undrain {
        /// The failure domain.
        domain: DomainName,
        /// Wait until the change is in force at every entry.
        #[arg(long)]
        wait: bool,
    },
    /// Show leader, replicas, entries, servers and drains.
    Status,
    /// Show the events of all processes in order.
    Timeline(TimelineArguments),
    /// Manage the set of replicas.
    #[command(subcommand)]
    Replica(ReplicaCommand),
    /// Create keys.
    #[command(subcommand)]
    Keys(KeysCommand),
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Options of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// The document, or `-` for standard input.
    pub file: PathBuf,
    /// The version that the document replaces [default: the version in force].
    #[arg(long)]
    pub expected_version: Option<u64>,
    /// The change id (UUID), to resend a change whose answer was lost.
    #[arg(long)]
    pub change_id: Option<uuid::Uuid>,
    /// Wait until the change is in force at every entry.
    #[arg(long)]
    pub wait: bool,
}

/// Filters of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArguments {
    /// Only events of this request.
    #[arg(long)]
    pub request: Option<String>,
    /// Only events of this change.
    #[arg(long)]
    pub change: Option<String>,
    /// Only events of this server.
    #[arg(long)]
    pub server: Option<String>,
    /// Only events of this failure domain.
    #[arg(long)]
    pub domain: Option<String>,
    /// Only events of the last SECONDS seconds.
    #[arg(long, value_name = "SECONDS")]
    pub last: Option<u64>,
}

/// A command on the set of replicas.
#[derive(Debug, Subcommand)]
pub enum ReplicaCommand {
    /// Form a new group of the replicas at all given endpoints. A system is formed only once.
    Init,
    /// Add the replica at an endpoint, wait until it has caught up, and make it a voter.
    Add {
        /// The new replica, HOST=IP:PORT.
        replica: OperatorEndpoint,
    },
    /// Remove a replica.
    Remove {
        /// Its id, as `status` shows it.
        id: String,
    },
}

/// A command that creates keys.
#[derive(Debug, Subcommand)]
pub enum KeysCommand {
    /// Create the key folder of a host.
    Host(KeyArguments),
    /// Create the key folder of an operator.
    Operator(KeyArguments),
}

/// Options of `keys host` and `keys operator`.
#[derive(Debug, Args)]
pub struct KeyArguments {
    /// Name of the host or operator.
    pub name: HostName,
    /// Folder of the certificate authorities; created if missing. Do not store it on the hosts.
    #[arg(long, value_name = "DIR")]
    pub authority: PathBuf,
    /// The key folder to create.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
    /// Days for which the certificate is valid.
    #[arg(long, default_value_t = 365)]
    pub days: i64,
}
