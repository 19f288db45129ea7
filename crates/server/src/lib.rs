//! Communication with servers: sends requests over HTTP/1.1 and receives announcements.

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
