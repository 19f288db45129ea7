//! The gateway: an HTTP/1.1 reverse proxy that forwards callers' requests to registered servers.
//!
//! For each request, an entry probes a few servers for their load and sends the request on a
//! connection on which a server has just responded to a probe. Load-balancing decisions are in
//! `policy`; the names and formats of header fields are defined by a [`WireDialect`].

mod answer;
mod answer_body;
mod attempt;
mod attempt_loop;
mod body;
mod call;
mod connection;
mod crash_reporter;
mod dialect;
mod final_answer;
mod forwarder;
mod http1;
mod listener;
mod local_quarantine;
mod node;
mod placer;
mod reach_monitor;
mod relay;
mod relay_attempt;
mod routes;
mod server_connection;
mod server_probe;
mod server_search;
mod servers;
mod service_queue;

use answer::GatewayAnswer;
pub use dialect::{AnswerMetadata, ForwardMetadata, RequestMetadata, WireDialect};
pub use listener::GatewayListener;
pub use node::{GatewayDependencies, GatewayError, GatewayNode, GatewaySettings};
