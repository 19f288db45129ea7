//! A request of a caller and its answer, in the form in which they pass between processes.

use crate::{CallOutcome, ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Names of the header fields of the caller and server interfaces, in lower case.
pub mod header {
    /// Outcome of a request: `not-run`, `ran` or `unknown`.
    pub const OUTCOME: &str = "hawthornhill-outcome";
    /// Time left for a request, in milliseconds.
    pub const DEADLINE: &str = "hawthornhill-deadline-ms";
    /// Key of a request that may not be repeated (UUIDv7).
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Identifier of a request in the time line.
    pub const REQUEST_ID: &str = "hawthornhill-request-id";
    /// Other entries that a caller may try, as a comma-separated list.
    pub const ENTRIES: &str = "hawthornhill-entries";
    /// Incarnation of the server that answers.
    pub const INCARNATION: &str = "hawthornhill-incarnation";
    /// Requests in flight at the server that answers.
    pub const LOAD: &str = "hawthornhill-load";
    /// State of the server that answers: `ready` or `leaving`.
    pub const STATE: &str = "hawthornhill-state";
    /// Set to `1` by a server that declares that it did not run the request.
    pub const NOT_RUN: &str = "hawthornhill-not-run";
}

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Field name in lower case.
    pub name: String,
    /// Field value.
    pub value: Vec<u8>,
}

impl HeaderField {
    /// Returns the fields to pass on: all but those named, in lower case, in `dropped`.
    pub fn passed_on(headers: &HeaderMap, dropped: &[&str]) -> Vec<Self> {
        let kept = headers.iter().filter(|(name, _)| !dropped.contains(&name.as_str()));
        let field = |(name, value): (&HeaderName, &HeaderValue)| Self {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        };
        kept.map(field).collect()
    }
}

/// A caller's request, received in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Identifier in the time line.
    pub id: Uuid,
    /// The service asked for.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query at the server, starting with `/`.
    pub path: String,
    /// Header fields to pass on.
    pub headers: Vec<HeaderField>,
    /// Body, complete.
    pub body: Vec<u8>,
    /// Key from the `Idempotency-Key` field.
    pub key: Option<Uuid>,
    /// Time left, in milliseconds.
    pub deadline_ms: u32,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// HTTP status code.
    pub status: u16,
    /// What became of the request.
    pub outcome: CallOutcome,
    /// Header fields of the server, or those that the entry adds.
    pub headers: Vec<HeaderField>,
    /// Body, complete.
    pub body: Vec<u8>,
    /// Milliseconds after which the caller should come back, if it may.
    pub retry_after_ms: Option<u32>,
}

impl CallAnswer {
    /// Returns an answer made by the system itself, with a plain text body.
    pub fn refusal(status: u16, outcome: CallOutcome, reason: &str) -> Self {
        Self {
            status,
            outcome,
            headers: Vec::new(),
            body: format!("{reason}\n").into_bytes(),
            retry_after_ms: None,
        }
    }

    /// Returns the same answer with the time after which to come back, in milliseconds.
    pub fn with_retry_after(self, retry_after_ms: u32) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }

    /// Returns the value of the first field with this lower-case name, if it is UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|field| field.name == name)?;
        std::str::from_utf8(&field.value).ok()
    }
}
