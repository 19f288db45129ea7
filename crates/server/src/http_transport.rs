//! Opens connections to servers, or takes them from the idle ones.

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

/// The longest wait for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reaches servers over HTTP/1.1.
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
        let (sender, gate) = timeout_at(deadline.into(), open(address))
            .await
            .map_err(|_| TransportError::NotConnected("timed out".to_owned()))??;
        Ok(Box::new(HttpConnection { address, sender, gate, pool }))
    }

    fn forget(&self, address: SocketAddr) {
        self.pool.clear(address);
    }
}

async fn open(
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
        // The sender reports errors; the task only drives the connection.
        let _ = connection.await;
    });
    Ok((sender, gate))
}
