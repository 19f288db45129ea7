//! The peer "server": sends requests to servers over HTTP/1.1, and takes their announcements.

mod announce;
mod connection;
mod guarded_stream;
mod http_transport;
mod pool;
mod transport;

pub use announce::{AnnounceAnswer, AnnounceHandler, AnnounceRefusal, serve_announcements};
pub use http_transport::HttpTransport;
pub use transport::{
    SendError, ServerAnswer, ServerConnection, ServerRequest, ServerTransport, StartGuard,
    TransportError,
};
