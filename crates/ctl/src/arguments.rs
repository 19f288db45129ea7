//! The command line's grammar.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use operator::OperatorEndpoint;
use std::path::PathBuf;
use types::{DomainName, HostName};

/// Operate hawthornhill.
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
pub struct Arguments {
    /// How to reach the system.
    #[command(flatten)]
    pub connection: ConnectionArguments,

    /// What to do.
    #[command(subcommand)]
    pub command: CtlCommand,
}

/// How to reach the system.
#[derive(Debug, Args)]
pub struct ConnectionArguments {
    /// Process to talk to, HOST=IP:PORT; may be repeated.
    #[arg(long, global = true, value_name = "HOST=IP:PORT")]
    pub endpoint: Vec<OperatorEndpoint>,

    /// The operator's key folder, made by `hawthornctl keys operator`.
    #[arg(long, global = true, value_name = "DIR")]
    pub key_folder: Option<PathBuf>,

    /// Settings file (TOML) with `endpoints` and `key_folder`.
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,

    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum CtlCommand {
    /// Check a document without talking to the system.
    Validate {
        /// The document, or `-` for standard input.
        file: PathBuf,
    },
    /// Show how a document differs from the one in force.
    Diff {
        /// The document, or `-` for standard input.
        file: PathBuf,
    },
    /// Put a document in force.
    Apply(ApplyArguments),
    /// Take a failure domain out of service.
    Drain {
        /// The failure domain.
        domain: DomainName,
        /// Wait until it is in force at every entry.
        #[arg(long)]
        wait: bool,
    },
    /// Bring a failure domain back into service.
    Undrain {
        /// The failure domain.
        domain: DomainName,
        /// Wait until it is in force at every entry.
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
    /// Make keys.
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
    /// The version that the document replaces; the one in force if not given.
    #[arg(long)]
    pub expected_version: Option<u64>,
    /// The change id (UUID), to resend a change whose answer was lost.
    #[arg(long)]
    pub change_id: Option<uuid::Uuid>,
    /// Wait until it is in force at every entry.
    #[arg(long)]
    pub wait: bool,
}

/// Which events to show.
#[derive(Debug, Args)]
pub struct TimelineArguments {
    /// Only of this request.
    #[arg(long)]
    pub request: Option<String>,
    /// Only of this change.
    #[arg(long)]
    pub change: Option<String>,
    /// Only of this server.
    #[arg(long)]
    pub server: Option<String>,
    /// Only of this failure domain.
    #[arg(long)]
    pub domain: Option<String>,
    /// Only of the last seconds.
    #[arg(long, value_name = "SECONDS")]
    pub last: Option<u64>,
}

/// Manages the set of replicas.
#[derive(Debug, Subcommand)]
pub enum ReplicaCommand {
    /// Form a new group of the replicas at all given endpoints. Once in a system's life.
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

/// Makes keys.
#[derive(Debug, Subcommand)]
pub enum KeysCommand {
    /// Make the key folder of a host.
    Host(KeyArguments),
    /// Make the key folder of an operator.
    Operator(KeyArguments),
}

/// Which key to make.
#[derive(Debug, Args)]
pub struct KeyArguments {
    /// Name of the host or operator.
    pub name: HostName,
    /// Folder of the authorities; made if missing. Keep it off the hosts.
    #[arg(long, value_name = "DIR")]
    pub authority: PathBuf,
    /// The new key folder.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
    /// Days for which the certificate is valid.
    #[arg(long, default_value_t = 365)]
    pub days: i64,
}
