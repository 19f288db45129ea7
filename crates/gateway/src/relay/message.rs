//! What entries tell each other in the header field of relayed requests and of their responses.

use crate::GatewayAnswer;
use http::{HeaderMap, HeaderName, HeaderValue};
use policy::ServerReach;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use types::{RoutingVersion, ServerIncarnation, ServerName, ServiceName};

/// Header field between entries. Callers and servers never see it.
pub(crate) const RELAY_FIELD: HeaderName = HeaderName::from_static("hawthornhill-relay");

/// The question that a request between entries asks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum RelayQuestion {
    /// How many servers of a service does the entry reach? The request has no other content.
    Reach(ServiceName),
    /// Does the entry reach a server, and those of a sample? The request has no other content.
    Crash(CrashQuestion),
    /// The request comes from a caller of the sender and is to be forwarded to a server.
    Forward(ForwardTerms),
}

/// What the sender of a relayed request already decided about it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardTerms {
    /// The service that the sender picked among the parts of the route.
    pub(crate) service: ServiceName,
    /// The version of the routing document that the sender applied.
    pub(crate) routing: RoutingVersion,
    /// Time since the request arrived at the sender, in milliseconds.
    pub(crate) elapsed_ms: u64,
    /// Whether the receiver records the request in its share of the retry budget. The sender has
    /// handed it over then.
    pub(crate) is_budgeted: bool,
    /// Servers that the request was already sent to.
    pub(crate) tried: SmallVec<[ServerName; 2]>,
}

/// The answer to a [`RelayQuestion`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum RelayAnswer {
    /// The entry's reach and the version of its routing document.
    Reach {
        /// Servers that the entry has a path to.
        reachable: usize,
        /// Servers that the view lists.
        listed: usize,
        /// The version of the routing document.
        routing: RoutingVersion,
    },
    /// What the entry observed about a server and the sample.
    Crash {
        /// Whether the entry reached the server.
        reached_server: bool,
        /// Whether it reached each server of the sample.
        reached_sample: SmallVec<[bool; 4]>,
    },
    /// The response is that of a server.
    Answered(TriedServers),
    /// No server has run the request, and none will.
    NotRun {
        /// Servers that refused it.
        tried: TriedServers,
        /// Time after which the caller should come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// A server may have run the request; the response is the entry's own.
    Unknown(TriedServers),
}

/// Servers that a request was sent to, those of [`ForwardTerms`] included. The last one sent the
/// response, if a server did.
pub(crate) type TriedServers = SmallVec<[ServerName; 2]>;

/// One incarnation of a server.
pub(crate) type ServerInstance = (ServerName, ServerIncarnation);

/// A server that seems to have crashed, and others that show whether paths are lost.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CrashQuestion {
    /// The server.
    pub(crate) server: ServerInstance,
    /// The others.
    pub(crate) sample: SmallVec<[ServerInstance; 4]>,
}

impl RelayAnswer {
    /// Returns the answer to a request that is refused with this response.
    pub(crate) fn not_run(tried: TriedServers, refusal: &GatewayAnswer) -> Self {
        let retry_after = refusal.retry_after.unwrap_or_default();
        Self::NotRun { tried, retry_after_ms: retry_after.as_millis() as u64 }
    }

    /// Returns the answer about an entry's reach.
    pub(crate) fn reach(reach: ServerReach, routing: RoutingVersion) -> Self {
        Self::Reach { reachable: reach.reachable, listed: reach.listed, routing }
    }
}

/// Encodes a question or an answer as a value of [`RELAY_FIELD`].
pub(crate) fn encode<T: Serialize>(message: &T) -> Option<HeaderValue> {
    HeaderValue::from_bytes(&serde_json::to_vec(message).ok()?).ok()
}

/// Returns the question in the header of a request, or `None` if there is none that can be decoded.
pub(crate) fn relay_question(headers: &HeaderMap) -> Option<RelayQuestion> {
    serde_json::from_slice(headers.get(RELAY_FIELD)?.as_bytes()).ok()
}

/// Returns the answer in the header of a response, or `None` if there is none that can be decoded.
pub(crate) fn relay_answer(headers: &HeaderMap) -> Option<RelayAnswer> {
    serde_json::from_slice(headers.get(RELAY_FIELD)?.as_bytes()).ok()
}

/// Sets the answer in the header of a response. A response without one counts as of unknown outcome.
pub(crate) fn attach_answer(headers: &mut HeaderMap, answer: &RelayAnswer) {
    match encode(answer) {
        Some(value) => headers.insert(RELAY_FIELD, value),
        None => headers.remove(RELAY_FIELD),
    };
}
