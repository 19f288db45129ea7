//! The configuration document of a team and its validation, which runs in the operator's tool and
//! again in the process that accepts the document.

use crate::{ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// Maximum number of services in a document.
const MAX_SERVICES: usize = 256;
/// Maximum number of rules of a service.
const MAX_RULES: usize = 64;
/// The lowest priority; 0 is the highest.
const MAX_PRIORITY: u8 = 9;
const MAX_TIMEOUT_MS: u32 = 120_000;

/// The services that one team declares.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDocument {
    /// The team that owns the document.
    pub team: TeamName,
    /// The team's services.
    pub services: Vec<ServiceSpec>,
}

/// Load balancing settings of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name; only one team may declare it.
    pub name: ServiceName,
    /// Priority from 0 (highest) to 9 (lowest). Requests of the lowest priority are shed first.
    pub priority: u8,
    /// Rules that match requests that must never be repeated.
    #[serde(default)]
    pub non_repeatable: Vec<NonRepeatableRule>,
    /// Timeout of a request without a deadline of its own, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
    /// Retry budget, in percent of requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u8,
    /// Budget of hedged requests, in percent of requests.
    #[serde(default)]
    pub hedge_percent: u8,
    /// Maximum number of concurrent requests to a cold server.
    #[serde(default = "default_cold_concurrency")]
    pub cold_concurrency: u16,
    /// Maximum number of probes of each server per minute.
    #[serde(default = "default_probes_per_minute")]
    pub probes_per_minute: u16,
}

/// Matches requests that must never be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NonRepeatableRule {
    /// HTTP method in upper case, or `*` for all methods.
    pub method: String,
    /// Prefix of the path, starting with `/`.
    pub path: String,
}

/// The reason why a document is not valid, and the field concerned.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The text cannot be parsed: wrong syntax, unknown or missing field, wrong type or unit.
    #[error("line {line}, column {column}, field {field}: {reason}")]
    Syntax {
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1.
        column: usize,
        /// Path of the field.
        field: String,
        /// Explanation of the error.
        reason: String,
    },
    /// A value is out of range or conflicts with another.
    #[error("field {field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// Explanation of the error.
        reason: String,
    },
}

impl TeamDocument {
    /// Parses a document from JSON and verifies it.
    ///
    /// Errors name the field. Syntax and type errors also give the line and column.
    pub fn parse(text: &[u8]) -> Result<Self, DocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(field_error(
                "document",
                format!("has {} bytes, more than {MAX_DOCUMENT_BYTES}", text.len()),
            ));
        }
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let document: Self =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
                let field = error.path().to_string();
                syntax_error(field, error.into_inner())
            })?;
        deserializer.end().map_err(|error| syntax_error("document".to_owned(), error))?;
        document.verify()?;
        Ok(document)
    }

    /// Returns the canonical JSON text of the document.
    pub fn to_json(&self) -> String {
        let mut text = serde_json::to_string_pretty(self).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Checks the range of every value and that service names are unique.
    pub fn verify(&self) -> Result<(), DocumentError> {
        if self.services.len() > MAX_SERVICES {
            return Err(field_error("services", format!("holds more than {MAX_SERVICES}")));
        }
        let mut names = BTreeSet::new();
        for (index, service) in self.services.iter().enumerate() {
            let path = format!("services[{index}]");
            if !names.insert(&service.name) {
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
    /// Returns a specification with default values for all optional fields.
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

    /// Returns whether a request may be sent to servers more than once.
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
    // serde_path_to_error writes "." or "?" for the document as a whole.
    let field = if matches!(field.as_str(), "." | "?") { "document".to_owned() } else { field };
    let text = error.to_string();
    let reason = text.split(" at line ").next().unwrap_or(&text).to_owned();
    DocumentError::Syntax { line, column, field, reason }
}
