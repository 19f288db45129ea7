//! The gateway: forwards callers' requests along routes to registered servers.
//!
//! An entry asks a few servers for their load when it places a request, and sends the request on a
//! connection that has just answered. Decisions live in `policy`; the names of header fields come
//! from a [`WireDialect`].

mod answer;
mod attempt;
mod body;
mod call;
mod connection;
mod dialect;
mod final_answer;
mod forwarder;
mod http1;
mod listener;
mod node;
mod placer;
mod routes;
mod server_connection;
mod server_search;
mod servers;
mod service_queue;

pub use answer::GatewayAnswer;
pub use dialect::{AnswerSigns, RequestTerms, SendTerms, WireDialect};
pub use listener::GatewayListener;
pub use node::{GatewayError, GatewayNode, GatewaySettings, GatewayTools};
