//! The settings of a process, parsed from TOML and validated field by field.

use crate::LogFormat;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};
use thiserror::Error;
use types::{DomainName, HostName};

/// All keys of the settings file, from which [`suggest_key`] chooses.
const KNOWN_KEYS: &[&str] = &[
    "name",
    "failure_domain",
    "roles",
    "data_folder",
    "key_folder",
    "peer_address",
    "caller_address",
    "server_address",
    "operator_address",
    "metrics_address",
    "replicas",
    "log_format",
    "threads",
    "max_in_flight",
    "directory_max_age_s",
    "stop_grace_s",
    "max_body_bytes",
    "host",
    "address",
];

/// A role of a process. A process may have several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// Forwards callers' requests to servers.
    Entry,
    /// Stores the replicated state.
    Replica,
}

/// Host and address of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaAddress {
    /// Host name, as in its certificate.
    pub host: HostName,
    /// IP address and port (QUIC over UDP).
    pub address: SocketAddr,
}

/// The settings of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Host name, as in the host's certificate.
    pub name: HostName,
    /// Failure domain of the host.
    pub failure_domain: DomainName,
    /// Roles of the process.
    pub roles: Vec<ProcessRole>,
    /// Folder with all files of the process; required for the replica role.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Folder with the keys that `hawthornctl keys` created.
    pub key_folder: PathBuf,
    /// Address for connections from other processes (QUIC over UDP).
    pub peer_address: SocketAddr,
    /// Address for callers (HTTP). Needed for the entry role, which publishes this address: the
    /// default has port 0.
    #[serde(default = "loopback_any")]
    pub caller_address: SocketAddr,
    /// Address for announcements of servers (HTTP). Needed for the entry role, which publishes this
    /// address: the default has port 0.
    #[serde(default = "loopback_any")]
    pub server_address: SocketAddr,
    /// Address for operators (HTTPS with client certificates).
    pub operator_address: SocketAddr,
    /// Address of the metrics page (HTTP); by default a free port of 127.0.0.1.
    #[serde(default = "loopback_any")]
    pub metrics_address: SocketAddr,
    /// Replicas that an entry contacts first; they send it the addresses of the others.
    pub replicas: Vec<ReplicaAddress>,
    /// Format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Number of worker threads, 1 to 256.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Maximum number of requests in flight and waiting at an entry, 1 to 1,000,000.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// How long callers may cache an answer of the directory, in seconds, 1 to 600.
    #[serde(default = "default_directory_max_age_s")]
    pub directory_max_age_s: u64,
    /// Maximum time that a planned stop waits for requests in flight once the cached answers of the
    /// directory have expired, in seconds, 1 to 600.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: u64,
    /// Maximum size of a request body, in bytes, 1,024 to 16,777,216.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
}

/// The reason why settings are not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// The I/O error.
        reason: String,
    },
    /// The text is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[error("{reason}{suggestion}")]
    Syntax {
        /// Position and description of the error.
        reason: String,
        /// The known key that was probably meant, or empty.
        suggestion: String,
    },
    /// A value is out of range or missing for a role.
    #[error("field {field}: {reason}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Why the value is not valid.
        reason: String,
    },
}

impl Default for ProcessSettings {
    fn default() -> Self {
        let name = |text: &str| text.parse().unwrap_or_else(|_| unreachable!("valid name"));
        Self {
            name: name("host-1"),
            failure_domain: "domain-1".parse().unwrap_or_else(|_| unreachable!("valid name")),
            roles: vec![ProcessRole::Entry, ProcessRole::Replica],
            data_folder: Some(PathBuf::from("data")),
            key_folder: PathBuf::from("keys/host-1"),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 7000)),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 8000)),
            server_address: SocketAddr::from(([127, 0, 0, 1], 8100)),
            operator_address: SocketAddr::from(([127, 0, 0, 1], 9000)),
            metrics_address: SocketAddr::from(([127, 0, 0, 1], 9100)),
            replicas: vec![ReplicaAddress {
                host: name("host-1"),
                address: SocketAddr::from(([127, 0, 0, 1], 7000)),
            }],
            log_format: LogFormat::Terminal,
            threads: default_threads(),
            max_in_flight: default_max_in_flight(),
            directory_max_age_s: default_directory_max_age_s(),
            stop_grace_s: default_stop_grace_s(),
            max_body_bytes: default_max_body_bytes(),
        }
    }
}

impl ProcessSettings {
    /// Reads, parses and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::File {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Parses and validates settings.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| {
            let reason = error.to_string().trim_end().to_owned();
            let suggestion = suggest_key(&reason);
            SettingsError::Syntax { reason, suggestion }
        })?;
        settings.verify()?;
        Ok(settings)
    }

    /// Returns whether the process has a role.
    pub fn has_role(&self, role: ProcessRole) -> bool {
        self.roles.contains(&role)
    }

    /// Checks that each value is in range and that the settings required for each role are present.
    pub fn verify(&self) -> Result<(), SettingsError> {
        if self.roles.is_empty() {
            return Err(field_error("roles", "is empty".to_owned()));
        }
        if self.replicas.is_empty() {
            return Err(field_error("replicas", "is empty".to_owned()));
        }
        if self.has_role(ProcessRole::Replica) && self.data_folder.is_none() {
            return Err(field_error("data_folder", "is required for the replica role".to_owned()));
        }
        check_range("threads", self.threads, 1, 256)?;
        check_range("max_in_flight", self.max_in_flight, 1, 1_000_000)?;
        check_range("directory_max_age_s", self.directory_max_age_s, 1, 600)?;
        check_range("stop_grace_s", self.stop_grace_s, 1, 600)?;
        check_range("max_body_bytes", self.max_body_bytes, 1_024, 16 * 1_024 * 1_024)
    }
}

fn check_range<T: PartialOrd + std::fmt::Display>(
    field: &'static str,
    value: T,
    low: T,
    high: T,
) -> Result<(), SettingsError> {
    if value < low || value > high {
        return Err(field_error(field, format!("{value} is not between {low} and {high}")));
    }
    Ok(())
}

fn field_error(field: &'static str, reason: String) -> SettingsError {
    SettingsError::Field { field, reason }
}

fn loopback_any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_threads() -> usize {
    4
}

fn default_max_in_flight() -> usize {
    4_096
}

fn default_directory_max_age_s() -> u64 {
    5
}

fn default_stop_grace_s() -> u64 {
    30
}

fn default_max_body_bytes() -> usize {
    1024 * 1024
}

/// Returns a hint if `reason` names an unknown key: the known key with the smallest edit distance,
/// unless that exceeds half the length of the unknown key.
fn suggest_key(reason: &str) -> String {
    let Some(unknown) = reason.split("unknown field `").nth(1).and_then(|r| r.split('`').next())
    else {
        return String::new();
    };
    let nearest = KNOWN_KEYS.iter().min_by_key(|key| edit_distance(unknown, key));
    match nearest {
        Some(key) if edit_distance(unknown, key) <= unknown.len() / 2 => {
            format!("\ndid you mean `{key}`?")
        }
        _ => String::new(),
    }
}

/// Returns the Levenshtein distance of two keys, in bytes.
fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.bytes().enumerate() {
            let substituted = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[right.len()]
}
