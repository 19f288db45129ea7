//! The configuration document of a team, and the checks that every document passes twice: in the
//! operator's tool and again where it is accepted.

use crate::{ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// The greatest size of a document in bytes.
const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// The greatest number of services in a document.
const MAX_SERVICES: usize = 256;
/// The greatest number of rules of a service.
const MAX_RULES: usize = 64;
/// The least important priority.
const MAX_PRIORITY: u8 = 9;
/// The longest timeout in milliseconds.
const MAX_TIMEOUT_MS: u32 = 120_000;

/// All services of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDocument {
    /// The team that owns the document.
    pub team: TeamName,
    /// The team's services.
    pub services: Vec<ServiceSpec>,
}

/// How one service is balanced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name, held by one team only.
    pub name: ServiceName,
    /// Importance from 0 (most) to 9 (least); the least important is shed first.
    pub priority: u8,
    /// Requests that may never be repeated.
    #[serde(default)]
    pub non_repeatable: Vec<NonRepeatableRule>,
    /// Time allowed for a request that names no deadline, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
    /// Retries allowed, in percent of requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u8,
    /// Hedged requests allowed, in percent of requests.
    #[serde(default)]
    pub hedge_percent: u8,
    /// Concurrent requests that a cold server bears.
    #[serde(default = "default_cold_concurrency")]
    pub cold_concurrency: u16,
    /// Probes allowed for each server, a minute.
    #[serde(default = "default_probes_per_minute")]
    pub probes_per_minute: u16,
}

/// Matches requests that may never be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NonRepeatableRule {
    /// HTTP method in upper case, or `*` for all.
    pub method: String,
    /// Prefix of the path, starting with `/`.
    pub path: String,
}

/// Says where a document is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The text is not a document: wrong syntax, unknown or missing field, wrong type or unit.
    #[error("line {line}, column {column}, field {field}: {reason}")]
    Syntax {
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1.
        column: usize,
        /// Path of the field.
        field: String,
        /// What is wrong.
        reason: String,
    },
    /// A value is out of range or contradicts another.
    #[error("field {field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong.
        reason: String,
    },
}

impl TeamDocument {
    /// Reads a document from JSON and verifies it.
    ///
    /// Errors name the field, and the line and column where the syntax or a type is wrong.
    pub fn parse(text: &[u8]) -> Result<Self, DocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(field_error(
                "document",
                format!("has {} bytes, more than {MAX_DOCUMENT_BYTES}", text.len()),
            ));
        }
        let mut reader = serde_json::Deserializer::from_slice(text);
        let document: Self = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let field = error.path().to_string();
            syntax_error(field, error.into_inner())
        })?;
        reader.end().map_err(|error| syntax_error("document".to_owned(), error))?;
        document.verify()?;
        Ok(document)
    }

    /// Returns the canonical JSON text of the document.
    pub fn to_json(&self) -> String {
        let mut text = serde_json::to_string_pretty(self).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Checks ranges, and that no service stands twice.
    pub fn verify(&self) -> Result<(), DocumentError> {
        if self.services.len() > MAX_SERVICES {
            return Err(field_error("services", format!("holds more than {MAX_SERVICES}")));
        }
        let mut seen = BTreeSet::new();
        for (index, service) in self.services.iter().enumerate() {
            let path = format!("services[{index}]");
            if !seen.insert(&service.name) {
                return Err(field_error(
                    &format!("{path}.name"),
                    format!("{} stands twice", service.name),
                ));
            }
            service.verify(&path)?;
        }
        Ok(())
    }
}

impl ServiceSpec {
    /// Returns a specification with the default of every optional field.
    pub fn new(name: ServiceName, priority: u8) -> Self {
        Self {
            name,
            priority,
            non_repeatable: Vec::new(),
            timeout_ms: default_timeout_ms(),
            retry_percent: default_retry_percent(),
            hedge_percent: 0,
            cold_concurrency: default_cold_concurrency(),
            probes_per_minute: default_probes_per_minute(),
        }
    }

    /// Says whether a request may be sent to servers more than once.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        !self.non_repeatable.iter().any(|rule| rule.matches(method, path))
    }

    fn verify(&self, path: &str) -> Result<(), DocumentError> {
        check_range(path, "priority", self.priority, 0, MAX_PRIORITY)?;
        check_range(path, "timeout_ms", self.timeout_ms, 1, MAX_TIMEOUT_MS)?;
        check_range(path, "retry_percent", self.retry_percent, 0, 100)?;
        check_range(path, "hedge_percent", self.hedge_percent, 0, 20)?;
        check_range(path, "cold_concurrency", self.cold_concurrency, 1, 64)?;
        check_range(path, "probes_per_minute", self.probes_per_minute, 0, 600)?;
        if self.non_repeatable.len() > MAX_RULES {
            return Err(field_error(
                &format!("{path}.non_repeatable"),
                format!("holds more than {MAX_RULES}"),
            ));
        }
        for (index, rule) in self.non_repeatable.iter().enumerate() {
            rule.verify(&format!("{path}.non_repeatable[{index}]"))?;
        }
        Ok(())
    }
}

impl NonRepeatableRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        (self.method == "*" || self.method == method) && path.starts_with(&self.path)
    }

    fn verify(&self, path: &str) -> Result<(), DocumentError> {
        let is_method = self.method == "*"
            || (!self.method.is_empty() && self.method.bytes().all(|b| b.is_ascii_uppercase()));
        if !is_method {
            return Err(field_error(
                &format!("{path}.method"),
                format!("{:?} is neither an HTTP method in upper case nor '*'", self.method),
            ));
        }
        if !self.path.starts_with('/') {
            return Err(field_error(
                &format!("{path}.path"),
                format!("{:?} does not start with '/'", self.path),
            ));
        }
        Ok(())
    }
}

fn default_timeout_ms() -> u32 {
    2_000
}

fn default_retry_percent() -> u8 {
    10
}

fn default_cold_concurrency() -> u16 {
    1
}

fn default_probes_per_minute() -> u16 {
    12
}

fn check_range<T: PartialOrd + std::fmt::Display>(
    path: &str,
    field: &str,
    value: T,
    low: T,
    high: T,
) -> Result<(), DocumentError> {
    if value < low || value > high {
        return Err(field_error(
            &format!("{path}.{field}"),
            format!("{value} is not between {low} and {high}"),
        ));
    }
    Ok(())
}

fn field_error(field: &str, reason: String) -> DocumentError {
    DocumentError::Field { field: field.to_owned(), reason }
}

fn syntax_error(field: String, error: serde_json::Error) -> DocumentError {
    let (line, column) = (error.line(), error.column());
    // The path is "." or "?" where the whole document is meant.
    let field = if matches!(field.as_str(), "." | "?") { "document".to_owned() } else { field };
    let text = error.to_string();
    let reason = text.split(" at line ").next().unwrap_or(&text).to_owned();
    DocumentError::Syntax { line, column, field, reason }
}
