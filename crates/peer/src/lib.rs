//! Links between the system's own processes: typed messages over QUIC with mutual TLS, or over
//! plain TCP on trusted networks.
//!
//! Other crates use the [`PeerLink`] and [`PeerHandler`] traits, so that tests can simulate link
//! failures without a network.

mod connect;
mod error;
mod frame;
mod keys;
mod link;
mod message;
mod packing;
mod quic_node;
mod tcp_node;
mod tls;

pub use connect::{ATTEMPT_PERIOD, connect_repeatedly};
pub use error::PeerError;
pub use frame::{MAX_FRAME_BYTES, decode_frame, encode_frame};
pub use keys::{KeyError, KeyFiles, KeyIssuer};
pub use link::{PeerHandler, PeerLink, PeerTarget};
pub use message::{
    ConsensusMessage, FreshnessAnswer, FreshnessGrant, FreshnessRequest, PeerAnswer, PeerRequest,
    ReadIndexRequest, SubmitAnswer, ViewTransfer, replicas_digest,
};
pub use packing::{PackedChanges, PackedView};
pub use quic_node::{LinkTraffic, QuicNode};
pub use tcp_node::TcpNode;
pub use tls::{TlsMaterial, operator_client_config, operator_server_config};
