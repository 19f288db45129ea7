//! The settings of a process, read from TOML and checked field by field.

use crate::LogFormat;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};
use thiserror::Error;
use types::{DomainName, HostName};

/// All keys of the settings file, for suggestions.
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

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// Serves callers.
    Entry,
    /// Keeps the replicated state.
    Replica,
}

/// Where a replica is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaAddress {
    /// Host name, as in its certificate.
    pub host: HostName,
    /// IP number and port (QUIC over UDP).
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
    /// Folder with all files of the process; needed for the replica role.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Folder with the keys made by `hawthornctl keys`.
    pub key_folder: PathBuf,
    /// Where other processes connect (QUIC over UDP).
    pub peer_address: SocketAddr,
    /// Where callers connect (HTTP); needed for the entry role.
    #[serde(default = "loopback_any")]
    pub caller_address: SocketAddr,
    /// Where servers announce themselves (HTTP); needed for the entry role.
    #[serde(default = "loopback_any")]
    pub server_address: SocketAddr,
    /// Where operators connect (HTTPS with client certificates).
    pub operator_address: SocketAddr,
    /// Where the metrics page is (HTTP).
    #[serde(default = "loopback_any")]
    pub metrics_address: SocketAddr,
    /// Replicas that an entry asks first; it learns of others from them.
    pub replicas: Vec<ReplicaAddress>,
    /// Form of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Worker threads, 1 to 256.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Requests in flight and waiting at an entry, 1 to 1,000,000.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// How long callers may keep the directory's answer, in seconds, 1 to 600.
    #[serde(default = "default_directory_max_age_s")]
    pub directory_max_age_s: u64,
    /// Longest wait for requests in flight at a planned stop, after the directory's answers have run
    /// out, in seconds, 1 to 600.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: u64,
    /// The greatest body of a request, in bytes, 1,024 to 16,777,216.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
}

/// Says what is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {reason}")]
    File {
        /// The file.
        path: String,
        /// The system's reason.
        reason: String,
    },
    /// The text is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[error("{reason}{suggestion}")]
    Syntax {
        /// Line and reason.
        reason: String,
        /// What may have been meant.
        suggestion: String,
    },
    /// A value is out of range or missing for a role.
    #[error("field {field}: {reason}")]
    Field {
        /// The field.
        field: &'static str,
        /// What is wrong.
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
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::File {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Reads and checks settings.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| {
            let reason = error.to_string().trim_end().to_owned();
            let suggestion = suggest_key(&reason);
            SettingsError::Syntax { reason, suggestion }
        })?;
        settings.verify()?;
        Ok(settings)
    }

    /// Says whether the process has a role.
    pub fn has_role(&self, role: ProcessRole) -> bool {
        self.roles.contains(&role)
    }

    /// Checks ranges, and that each role has what it needs.
    pub fn verify(&self) -> Result<(), SettingsError> {
        if self.roles.is_empty() {
            return Err(field_error("roles", "is empty".to_owned()));
        }
        if self.replicas.is_empty() {
            return Err(field_error("replicas", "is empty".to_owned()));
        }
        if self.has_role(ProcessRole::Replica) && self.data_folder.is_none() {
            return Err(field_error("data_folder", "is needed for the replica role".to_owned()));
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

/// Returns a hint with the known key nearest to an unknown one that the reason names.
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

/// Returns the Levenshtein distance of two keys.
fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.bytes().enumerate() {
            let replaced = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[right.len()]
}
