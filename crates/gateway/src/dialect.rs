//! The interface to the header fields that callers and servers use.

use http::{HeaderMap, HeaderValue, StatusCode};
use policy::{ServerLoad, ServerSignals};
use std::time::Duration;
use types::ServerName;

/// Data from the header fields of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the caller's attempt, which servers echo in their responses.
    pub id: Option<HeaderValue>,
    /// How long the caller waits for the response.
    pub time_allowed: Option<Duration>,
}

/// Data for the header fields of a request to a server.
#[derive(Debug, Clone, Copy)]
pub struct ForwardMetadata<'a> {
    /// The intended server; any other server must refuse the request.
    pub server: &'a ServerName,
    /// Time left until the caller or the entry stops waiting for the response.
    pub time_allowed: Duration,
}

/// Data from the header fields of a server's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Id of the request that this is the response to.
    pub request_id: Option<HeaderValue>,
    /// Whether the response carries the signature of a server that handled the request.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Name of the server.
    pub server: Option<String>,
    /// Current load of the server.
    pub load: Option<ServerLoad>,
    /// Time left until the server is warm; zero if it is warm.
    pub warm_up_left: Option<Duration>,
    /// Whether the server states that it is leaving.
    pub is_leaving: bool,
    /// Time for which the server wants no further requests. Only valid in a refusal.
    pub retry_after: Option<Duration>,
    /// Requests per 1000 s that the server accepts from all entries together, if it limits them.
    pub limit_milli: Option<u32>,
}

impl AnswerMetadata {
    /// Returns what a response with this status says about further requests.
    pub(crate) fn signals(&self, status: StatusCode) -> ServerSignals {
        let is_refusal = status == StatusCode::SERVICE_UNAVAILABLE;
        ServerSignals {
            is_leaving: self.is_leaving,
            hold: self.retry_after.filter(|_| is_refusal),
            limit_milli: self.limit_milli,
        }
    }
}

/// Defines the names and formats of header fields.
pub trait WireDialect: Send + Sync {
    /// Parses the header fields of a caller's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Writes the header fields for a server and replaces the caller's fields of the same name.
    fn write_forward_metadata(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);
    /// Parses the header fields of a server's response.
    fn answer_metadata(&self, headers: &HeaderMap) -> AnswerMetadata;
    /// Removes a server's signature from a response that the entry has changed.
    fn remove_signature(&self, headers: &mut HeaderMap);
    /// Writes how long a refused caller should wait before it retries.
    fn write_retry_after(&self, headers: &mut HeaderMap, wait: Duration);
}
