//! Connects to servers over HTTP/1.1 and reuses idle connections.

use crate::{
    ServerConnection, ServerTransport, TransportError,
    connection::HttpConnection,
    guarded_stream::{GuardedStream, SendGate},
    pool::IdlePool,
};
use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time::timeout_at};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends requests to servers over HTTP/1.1, with a pool of idle connections.
#[derive(Default)]
pub struct HttpTransport {
    pool: Arc<IdlePool>,
}

#[async_trait]
impl ServerTransport for HttpTransport {
    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Box<dyn ServerConnection>, TransportError> {
        let pool = self.pool.clone();
        if let Some(idle) = pool.take(address) {
            let (sender, gate) = (idle.sender, idle.gate);
            return Ok(Box::new(HttpConnection { address, sender, gate, pool }));
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let (sender, gate) = timeout_at(deadline.into(), open_connection(address))
            .await
            .map_err(|_| TransportError::NotConnected("timed out".to_owned()))??;
        Ok(Box::new(HttpConnection { address, sender, gate, pool }))
    }

    fn close_idle_connections(&self, address: SocketAddr) {
        self.pool.clear(address);
    }
}

/// Opens a connection and starts the task that drives it.
async fn open_connection(
    address: SocketAddr,
) -> Result<(SendRequest<Full<Bytes>>, Arc<SendGate>), TransportError> {
    let stream = TcpStream::connect(address).await.map_err(|error| match error.kind() {
        io::ErrorKind::ConnectionRefused => TransportError::Refused,
        _ => TransportError::NotConnected(error.to_string()),
    })?;
    let not_connected =
        |error: &dyn std::error::Error| TransportError::NotConnected(error.to_string());
    stream.set_nodelay(true).map_err(|error| not_connected(&error))?;
    let gate = Arc::new(SendGate::default());
    let (sender, connection) = http1::handshake(GuardedStream::new(stream, gate.clone()))
        .await
        .map_err(|error| not_connected(&error))?;
    tokio::spawn(async move {
        // The sender reports the connection's errors, so they are not handled here.
        let _ = connection.await;
    });
    Ok((sender, gate))
}
