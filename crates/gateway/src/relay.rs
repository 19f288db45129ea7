//! Relays between entries.
//!
//! An entry that lacks paths to servers sends a request to another entry, which finds a server for
//! it as for a request of its own callers. Entries speak HTTP/1.1 to each other on an internal port,
//! so that bodies are streamed and a closed connection cancels a request. A header field carries
//! what the other entry needs besides the request. Before a request is sent, the other entry has
//! answered a question on the same connection, so that a dead connection costs no request. A
//! relayed request is never relayed again.

mod client;
mod link;
mod message;
mod responder;

pub(crate) use client::{FoundEntry, RelayClient};
pub(crate) use message::{
    CrashQuestion, ForwardTerms, RELAY_FIELD, RelayAnswer, RelayQuestion, ServerInstance,
    TriedServers, attach_answer, encode, relay_answer,
};
