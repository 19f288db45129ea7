//! The border to the header fields that callers and servers use.

use http::{HeaderMap, HeaderValue};
use policy::ServerLoad;
use std::time::Duration;
use types::ServerName;

/// What a caller states about a request in its header.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTerms {
    /// Id of the caller's attempt; echoed by servers.
    pub id: Option<HeaderValue>,
    /// How long the caller waits for the answer.
    pub time_allowed: Option<Duration>,
}

/// What an entry tells a server about a request.
#[derive(Debug, Clone, Copy)]
pub struct SendTerms<'a> {
    /// The server that is meant; any other one must refuse the request.
    pub server: &'a ServerName,
    /// How long the answer is of use.
    pub time_allowed: Duration,
}

/// What a server's answer says about itself in its header.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerSigns {
    /// Id of the request that is answered.
    pub request_id: Option<HeaderValue>,
    /// The answer carries the mark of a server that handled the request.
    pub is_signed: bool,
    /// The server states that it did not run the request.
    pub is_not_run: bool,
    /// Name of the server.
    pub server: Option<String>,
    /// Load of the server.
    pub load: Option<ServerLoad>,
    /// How much longer the server is cold.
    pub warm_up_left: Option<Duration>,
}

/// Names and formats of header fields.
pub trait WireDialect: Send + Sync {
    /// Reads what a caller states.
    fn request_terms(&self, headers: &HeaderMap) -> RequestTerms;
    /// Writes what a server is told, in place of what the caller stated.
    fn write_send_terms(&self, headers: &mut HeaderMap, terms: &SendTerms<'_>);
    /// Reads what a server says.
    fn answer_signs(&self, headers: &HeaderMap) -> AnswerSigns;
    /// Removes the mark of a server from an answer that is not that server's own.
    fn remove_signature(&self, headers: &mut HeaderMap);
    /// Writes after which time a refused caller should come back.
    fn write_retry_after(&self, headers: &mut HeaderMap, wait: Duration);
}
